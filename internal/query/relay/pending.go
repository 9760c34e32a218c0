package relay

import "github.com/samphirestair/samphirestair/internal/base/ident"

// PendingAttempt is an attempt without a reply.
type PendingAttempt struct {
	Shard, Attempt int
	Server         ident.ServerID
}

// PendingAttempts lists the attempts of unanswered shards that have no reply yet.
func (q *Query) PendingAttempts() []PendingAttempt {
	var pendingAttempts []PendingAttempt
	for i := range q.shards {
		if q.shards[i].state == shardAnswered {
			continue
		}
		for j := range q.shards[i].attempts {
			if a := &q.shards[i].attempts[j]; a.pending {
				pendingAttempts = append(pendingAttempts, PendingAttempt{Shard: i, Attempt: j, Server: a.server})
			}
		}
	}
	return pendingAttempts
}
