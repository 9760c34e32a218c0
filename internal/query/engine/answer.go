package engine

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/query/choose"
	"github.com/samphirestair/samphirestair/internal/query/hedge"
)

// overloadQueuePerSlot is the queue length per slot from which a refusal counts
// as overload.
const overloadQueuePerSlot = 2

// onAnswer handles an answer if its query, sender, server and shard match an
// attempt in flight, and otherwise only counts it.
func (q *Query) onAnswer(now time.Time, from ident.VMID, queryID uint64, answer *msgs.Answer) {
	a := q.inFlightAttempt(answer.Seq)
	if a == nil {
		q.deps.Counter.Count("query_late_answer")
		return
	}
	if a.queryID != queryID || a.owner.Process.VM != from || string(a.server) != answer.Server {
		q.deps.Counter.Count("query_crossed_answer")
		return
	}
	if a.shardIndex == probeIndex {
		a.inFlight = false
		if !q.redirectProbe(now, *a, answer) {
			q.onProbeAnswered(now)
		}
		return
	}
	if uint32(a.shardNumber) != answer.Shard {
		q.deps.Counter.Count("query_crossed_answer")
		return
	}
	q.onShardAnswer(now, a, answer)
}

func (q *Query) onShardAnswer(now time.Time, a *attempt, answer *msgs.Answer) {
	index, server := a.shardIndex, a.server
	s := &q.shards[index]
	q.endAttempt(a)
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
		s.stateOf(server).versionDropped = true
		q.retryShard(now, index, hedge.NotRun)
	default:
		q.mayHaveRun = true
		s.stateOf(server).backOff(now, 0)
		q.retryShard(now, index, hedge.Failed)
	}
}

// onOK merges the answer and cancels the shard's other attempts. An answer from
// another version than the pinned one is dropped and the shard is retried.
func (q *Query) onOK(now time.Time, a *attempt, answer *msgs.Answer) {
	index := a.shardIndex
	s := &q.shards[index]
	if answer.Version != uint64(q.plan.Version) {
		q.deps.Counter.Count("query_other_version")
		s.stateOf(a.server).versionDropped = true
		q.retryShard(now, index, hedge.Failed)
		return
	}
	q.recordLatency(now, a, answer)
	if s.state != statePending {
		return
	}
	s.state = stateAnswered
	q.answered++
	switch {
	case q.spec.Kind == msgs.KindLookup:
		q.body = answer.Body
	case answer.Held != nil:
		// A search would hold the answers of all shards, of which it keeps few hits.
		q.topK.AddCopy(s.number, answer.Hits)
	default:
		q.topK.Add(s.number, answer.Hits)
	}
	q.cancelShardAttempts(now, index)
}

func (q *Query) onNotRun(now time.Time, index int, server ident.ServerID, answer *msgs.Answer) {
	retryAfter := time.Duration(answer.RetryMicros) * time.Microsecond
	q.retryAfter = max(q.retryAfter, q.shards[index].stateOf(server).backOff(now, retryAfter))
	q.overloaded = q.overloaded || isOverload(answer)
	q.retryShard(now, index, hedge.NotRun)
}

// isOverload reports whether a sub-request was refused because of the server's
// queue, and not because the server is unreachable or out of service.
func isOverload(answer *msgs.Answer) bool {
	return answer.Queued >= overloadQueuePerSlot*max(answer.Slots, 1)
}

// onWrongOwner sends the sub-request to the owner named in the answer, once per
// server and shard. It is charged to the retry budget.
func (q *Query) onWrongOwner(now time.Time, index int, server ident.ServerID, answer *msgs.Answer) {
	q.deps.Counter.Count("query_wrong_owner")
	s := &q.shards[index]
	t := s.stateOf(server)
	owner, known := q.deps.Fleet.Member(ident.VMID(answer.Owner))
	if known && !t.redirected && s.state == statePending && q.deps.Hedge.Allow(q.spec.Service, hedge.NotRun) {
		t.redirected = true
		q.send(now, index, target{server: server, owner: owner})
		return
	}
	t.backOff(now, ownerPollInterval)
	q.retryShard(now, index, hedge.NotRun)
}

// onLost ends an attempt whose query was lost on the way. sent is false if it
// certainly did not reach the owner.
func (q *Query) onLost(now time.Time, a *attempt, sent bool) {
	index, server := a.shardIndex, a.server
	if index == probeIndex {
		a.inFlight = false
		q.onProbeAnswered(now)
		return
	}
	q.deps.Counter.Count("query_lost")
	q.endAttempt(a)
	q.deps.Choose.Abandoned(now, server, now.Sub(a.sentAt))
	reason := hedge.NotRun
	if sent {
		q.mayHaveRun = true
		reason = hedge.Failed
	}
	q.shards[index].stateOf(server).backOff(now, 0)
	q.retryShard(now, index, reason)
}

// retryShard is called when an attempt ended without a usable answer. It
// dispatches the shard again unless another attempt is in flight.
func (q *Query) retryShard(now time.Time, index int, reason hedge.Reason) {
	s := &q.shards[index]
	s.retryReason = reason
	if reason == hedge.Failed {
		s.failures++
	}
	if s.state == statePending && s.inFlight == 0 {
		q.dispatch(now, index)
	}
}

// recordLatency reports the latency, queue wait and run time of a completed
// sub-request to the hedging and admission policies.
func (q *Query) recordLatency(now time.Time, a *attempt, answer *msgs.Answer) {
	service := q.spec.Service
	q.deps.Hedge.Observe(service, now.Sub(a.sentAt), int(answer.Queued), int(answer.Slots))
	wait := time.Duration(answer.WaitMicros) * time.Microsecond
	run := time.Duration(answer.ServiceMicros) * time.Microsecond
	q.deps.Latency.Observe(now, service, q.spec.Class, wait, run)
}

// sampleOf returns what the answer reports about its server, for the
// replica-choice policy.
func sampleOf(answer *msgs.Answer) choose.Sample {
	sample := choose.Sample{
		ServiceTime: time.Duration(answer.ServiceMicros) * time.Microsecond,
		Queued:      int(answer.Queued),
		Slots:       int(answer.Slots),
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
