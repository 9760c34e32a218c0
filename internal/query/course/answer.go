package course

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/query/choose"
	"github.com/samphirestair/samphirestair/internal/query/hedge"
)

// longQueue is the number of sub-requests per slot from which on a server that
// refuses is overloaded.
const longQueue = 2

// onAnswer checks that an answer belongs to an open attempt and handles it.
func (q *Query) onAnswer(now time.Time, from ident.VMID, message uint64, answer *msgs.Answer) {
	a := q.openAttempt(answer.Seq)
	if a == nil {
		q.deps.Counter.Count("query_late_answer")
		return
	}
	if a.message != message || a.owner.Process.VM != from || string(a.server) != answer.Server {
		q.deps.Counter.Count("query_crossed_answer")
		return
	}
	if a.shard == probeShard {
		a.open = false
		if !q.redirectProbe(now, *a, answer) {
			q.onProbeAnswered(now)
		}
		return
	}
	if uint32(a.number) != answer.Shard {
		q.deps.Counter.Count("query_crossed_answer")
		return
	}
	q.onShardAnswer(now, a, answer)
}

func (q *Query) onShardAnswer(now time.Time, a *attempt, answer *msgs.Answer) {
	index, server := a.shard, a.server
	s := &q.shards[index]
	q.closeAttempt(a)
	q.deps.Choose.Answered(now, server, sampleOf(answer))
	switch answer.Status {
	case msgs.StatusOK:
		q.mayHaveRun = true
		q.onOK(now, a, answer)
	case msgs.StatusNotRun:
		q.onNotRun(now, index, server, answer)
	case msgs.StatusWrongOwner:
		q.onWrongOwner(now, index, server, answer)
	case msgs.StatusWrongVersion:
		s.trial(server).gone = true
		q.again(now, index, hedge.NotRun)
	default:
		q.mayHaveRun = true
		s.trial(server).block(now, 0)
		q.again(now, index, hedge.Failed)
	}
}

// onOK merges an answer, or drops it if it is not of the pinned version.
func (q *Query) onOK(now time.Time, a *attempt, answer *msgs.Answer) {
	index := a.shard
	s := &q.shards[index]
	if answer.Version != uint64(q.plan.Version) {
		q.deps.Counter.Count("query_other_version")
		s.trial(a.server).gone = true
		q.again(now, index, hedge.Failed)
		return
	}
	q.observe(now, a, answer)
	if s.state != statePending {
		return
	}
	s.state = stateAnswered
	q.answered++
	if q.spec.Kind == msgs.KindLookup {
		q.body = answer.Body
	} else {
		q.top.Add(s.number, answer.Hits)
	}
	q.closeOpen(now, index)
}

func (q *Query) onNotRun(now time.Time, index int, server ident.ServerID, answer *msgs.Answer) {
	told := time.Duration(answer.RetryMicros) * time.Microsecond
	q.retryAfter = max(q.retryAfter, q.shards[index].trial(server).block(now, told))
	q.overloaded = q.overloaded || isOverload(answer)
	q.again(now, index, hedge.NotRun)
}

// isOverload reports whether a server was refused because of its queue, and not
// because it is out of reach or out of service.
func isOverload(answer *msgs.Answer) bool {
	return answer.Queued >= longQueue*max(answer.Slots, 1)
}

// onWrongOwner sends the sub-request to the owner that the answer names. It
// counts as a retry.
func (q *Query) onWrongOwner(now time.Time, index int, server ident.ServerID, answer *msgs.Answer) {
	q.deps.Counter.Count("query_wrong_owner")
	s := &q.shards[index]
	t := s.trial(server)
	owner, known := q.deps.Fleet.Member(ident.VMID(answer.Owner))
	if known && !t.redirected && s.state == statePending && q.deps.Hedge.Take(q.spec.Service, hedge.NotRun) {
		t.redirected = true
		q.send(now, index, target{server: server, owner: owner})
		return
	}
	t.block(now, ownerPoll)
	q.again(now, index, hedge.NotRun)
}

// onLost handles an attempt whose query did not arrive, or may not have.
func (q *Query) onLost(now time.Time, a *attempt, sent bool) {
	index, server := a.shard, a.server
	if index == probeShard {
		a.open = false
		q.onProbeAnswered(now)
		return
	}
	q.deps.Counter.Count("query_lost")
	q.closeAttempt(a)
	q.deps.Choose.Abandoned(now, server, now.Sub(a.sentAt))
	cause := hedge.NotRun
	if sent {
		q.mayHaveRun = true
		cause = hedge.Failed
	}
	q.shards[index].trial(server).block(now, 0)
	q.again(now, index, cause)
}

// again dispatches a shard whose last open attempt has ended.
func (q *Query) again(now time.Time, index int, cause hedge.Reason) {
	s := &q.shards[index]
	s.cause = cause
	if cause == hedge.Failed {
		s.failures++
	}
	if s.state == statePending && s.open == 0 {
		q.dispatch(now, index)
	}
}

// observe passes on what a completed sub-request tells of the service.
func (q *Query) observe(now time.Time, a *attempt, answer *msgs.Answer) {
	service := q.spec.Service
	q.deps.Hedge.Observe(service, now.Sub(a.sentAt), int(answer.Queued), int(answer.Slots))
	wait := time.Duration(answer.WaitMicros) * time.Microsecond
	run := time.Duration(answer.ServiceMicros) * time.Microsecond
	q.deps.Latency.Observe(now, service, q.spec.Class, wait, run)
}

func sampleOf(answer *msgs.Answer) choose.Sample {
	sample := choose.Sample{
		Service: time.Duration(answer.ServiceMicros) * time.Microsecond,
		Queued:  int(answer.Queued),
		Slots:   int(answer.Slots),
	}
	switch answer.Status {
	case msgs.StatusOK:
		sample.Completed = true
	case msgs.StatusNotRun, msgs.StatusWrongOwner:
		sample.Refused = true
		sample.RetryAfter = time.Duration(answer.RetryMicros) * time.Microsecond
	default:
	}
	return sample
}
