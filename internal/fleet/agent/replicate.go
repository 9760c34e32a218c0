package agent

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/lease"
)

// Replicate stores a claim record at a majority of a group's voters. It returns
// nil only if a majority confirmed it while this process held the lease in the
// given term. Otherwise it returns ErrNotOwner, ErrNoQuorum, ErrStopped or the
// error of ctx; some voters may have stored the record then.
func (a *Agent) Replicate(ctx context.Context, group ident.GroupID, term uint64, key string, record []byte) error {
	w := &claimWrite{group: group, term: term, acks: map[ident.Process]bool{}}
	var failure error
	stored := false
	err := a.do(ctx, func() {
		w.start(a, key, record)
		failure, stored = w.err, w.stored
	})
	if err != nil || failure != nil || stored {
		return errors.CombineErrors(err, failure)
	}
	return w.await(ctx, a)
}

// claimWrite is the replication of one record. start sets its fields on the
// control goroutine; afterwards only acks, stored and err are changed, on the
// control goroutine too.
type claimWrite struct {
	group     ident.GroupID
	term      uint64
	request   lease.Request
	heartbeat heartbeat
	sent      time.Time
	peers     []claimPeer
	acks      map[ident.Process]bool
	// callsEnded receives a value for each peer whose call has ended.
	callsEnded chan struct{}
	stored     bool
	err        error
}

// claimPeer is a voter with its control address.
type claimPeer struct {
	process ident.Process
	addr    string
}

// start sends the record to all voters if this process holds the lease.
func (w *claimWrite) start(a *Agent, key string, record []byte) {
	now := time.Now()
	l, ok := a.leases[w.group]
	if !ok || l.holding == nil || l.holder.Term() != w.term || !l.holder.Held(now) {
		w.err = errors.Wrapf(ErrNotOwner, "group %s, term %d", w.group, w.term)
		return
	}
	w.request, w.sent = l.holder.ClaimRequest(key, record, now), now
	w.heartbeat = a.newHeartbeat([]lease.Request{w.request}, now)
	for _, p := range l.holder.Peers() {
		if p == a.self.Process {
			w.handleAnswer(a, p, a.voter.Handle(p, w.request, now))
			continue
		}
		w.peers = append(w.peers, claimPeer{p, a.peer(p).addr})
	}
	w.callsEnded = make(chan struct{}, len(w.peers))
	for _, p := range w.peers {
		a.calls.Go(func() {
			w.send(a, p)
			w.callsEnded <- struct{}{}
		})
	}
}

// send sends the record to one voter and handles its answer.
func (w *claimWrite) send(a *Agent, p claimPeer) {
	ctx, cancel := a.callContext()
	defer cancel()
	var reply heartbeatReply
	if a.deps.Client.Call(ctx, p.addr, methodHeartbeat, w.heartbeat, &reply) != nil || ident.Process(reply.From) != p.process {
		return
	}
	answers := reply.answers([]lease.Request{w.request})
	if len(answers) != 1 {
		return
	}
	_ = a.do(a.ctx, func() { w.handleAnswer(a, p.process, answers[0]) })
}

// handleAnswer handles one voter's answer. It sets stored if a majority has granted
// the request while the lease is still held in the same term.
func (w *claimWrite) handleAnswer(a *Agent, from ident.Process, answer lease.Answer) {
	a.handleLeaseAnswer(from, w.request, answer, w.sent)
	if answer.Refusal == lease.Granted {
		w.acks[from] = true
	}
	now := time.Now()
	l, ok := a.leases[w.group]
	held := ok && l.holding != nil && l.holder.Term() == w.term && l.holder.Held(now)
	if held && l.holder.Quorum(w.acks, now) {
		w.stored = true
	}
}

// await waits until the record is stored, all calls have ended, or ctx ends.
func (w *claimWrite) await(ctx context.Context, a *Agent) error {
	for range w.peers {
		select {
		case <-w.callsEnded:
		case <-ctx.Done():
			return errors.Wrapf(ErrNoQuorum, "group %s: %v", w.group, ctx.Err())
		}
		stored := false
		if err := a.do(ctx, func() { stored = w.stored }); err != nil || stored {
			return err
		}
	}
	return errors.Wrapf(ErrNoQuorum, "group %s", w.group)
}
