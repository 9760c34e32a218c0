package agent

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/lease"
	"github.com/samphirestair/samphirestair/internal/fleet/member"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
)

// leavePoll is the interval at which Leave checks whether it is done.
const leavePoll = 100 * time.Millisecond

// Leave prepares a planned stop. It marks the process as leaving, which takes
// it off address lists and plans, and returns when it owns no group and votes
// on none, or when ctx ends. The process stays reachable until Run ends.
func (a *Agent) Leave(ctx context.Context) error {
	if err := a.do(ctx, a.beginLeave); err != nil {
		return err
	}
	for {
		done := false
		if err := a.do(ctx, func() { done = a.canLeave() }); err != nil {
			return err
		}
		if done {
			break
		}
		select {
		case <-time.After(leavePoll):
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "agent: leave")
		}
	}
	return a.depart(ctx)
}

func (a *Agent) beginLeave() {
	now := time.Now()
	a.leaving = true
	a.self.Leaving = true
	a.record("leave_began", a.self.Process.String(), "planned stop")
	a.sendLeave(now)
	a.rumors.Announce(a.self, now)
	a.rumorsChanged(now)
	for _, t := range a.tenures {
		if t.holding == nil && t.holder.Active() {
			a.sendRelease(t, ignore)
		}
	}
}

// canLeave reports whether nothing depends on this process any more. While the
// key-value service is down its votes cannot be moved and are not waited for. If
// no VM is left that could own anything, there is nothing to wait for.
func (a *Agent) canLeave() bool {
	deserted := len(a.roster.candidates) == 0
	if deserted {
		a.releaseAll()
	}
	for _, t := range a.tenures {
		if t.holding != nil {
			return false
		}
	}
	if time.Since(a.storeHeard) > 2*a.options.IsolatedAfter || deserted {
		return true
	}
	for _, e := range a.value.Groups {
		if slices.Contains(e.All(), a.self.Process) {
			return false
		}
	}
	return true
}

// releaseAll gives up all groups when nobody is there to take them.
func (a *Agent) releaseAll() {
	for group, t := range a.tenures {
		a.drop(group, t)
	}
}

// depart takes the process off the membership value, so that nobody suspects
// it once it has stopped.
func (a *Agent) depart(ctx context.Context) error {
	var remove member.Change
	var registrar view.Member
	var found bool
	err := a.do(ctx, func() {
		remove = member.Change{Kind: member.Remove, Member: a.self}
		a.left = true
		a.dirty = true
		registrar, found = member.Registrar(a.value, func(m view.Member) bool {
			return a.roster.has(m.Process) && m.Process != a.self.Process
		})
	})
	if err != nil {
		return err
	}
	if found && a.askChange(registrar, []member.Change{remove}) {
		return nil
	}
	_, _, err = a.swap([]member.Change{remove}, member.Inputs{})
	if err != nil {
		a.deps.Logger.Info("departure not written", "error", err)
	}
	return nil
}

// Replicate stores a record at a majority of a group's voters. It returns nil
// only if that succeeded while the lease was held in the given term. It fails
// with ErrNotOwner or ErrNoQuorum; the record may then be stored at some.
func (a *Agent) Replicate(ctx context.Context, group ident.GroupID, term uint64, key string, record []byte) error {
	w := &claimWrite{group: group, term: term, acks: map[ident.Process]bool{}}
	var failure error
	stored := false
	err := a.do(ctx, func() {
		w.begin(a, key, record)
		failure, stored = w.err, w.stored
	})
	if err != nil || failure != nil || stored {
		return errors.CombineErrors(err, failure)
	}
	return w.await(ctx, a)
}

// claimWrite is one record on its way to the voters. Its fields belong to the
// control goroutine once begin has run.
type claimWrite struct {
	group   ident.GroupID
	term    uint64
	request lease.Request
	beat    beat
	sent    time.Time
	peers   []claimPeer
	acks    map[ident.Process]bool
	// results receives a value per peer whose call has ended.
	results chan struct{}
	stored  bool
	err     error
}

// claimPeer is a voter with its address.
type claimPeer struct {
	process ident.Process
	addr    string
}

func (w *claimWrite) begin(a *Agent, key string, record []byte) {
	now := time.Now()
	t, ok := a.tenures[w.group]
	if !ok || t.holding == nil || t.holder.Term() != w.term || !t.holder.Held(now) {
		w.err = errors.Wrapf(ErrNotOwner, "group %s, term %d", w.group, w.term)
		return
	}
	w.request, w.sent = t.holder.ClaimRequest(key, record, now), now
	w.beat = a.beat([]lease.Request{w.request}, now)
	for _, p := range t.holder.Peers() {
		if p == a.self.Process {
			w.answered(a, p, a.voter.Handle(p, w.request, now))
			continue
		}
		w.peers = append(w.peers, claimPeer{p, a.peer(p).addr})
	}
	w.results = make(chan struct{}, len(w.peers))
	for _, p := range w.peers {
		a.calls.Go(func() {
			w.send(a, p)
			w.results <- struct{}{}
		})
	}
}

func (w *claimWrite) send(a *Agent, p claimPeer) {
	ctx, cancel := a.callContext()
	defer cancel()
	var reply beatReply
	if a.deps.Client.Call(ctx, p.addr, methodBeat, w.beat, &reply) != nil || ident.Process(reply.From) != p.process {
		return
	}
	answers := reply.answers([]lease.Request{w.request})
	if len(answers) != 1 {
		return
	}
	_ = a.do(a.ctx, func() { w.answered(a, p.process, answers[0]) })
}

// answered takes one voter's answer.
func (w *claimWrite) answered(a *Agent, from ident.Process, answer lease.Answer) {
	a.takeAnswer(from, w.request, answer, w.sent)
	if answer.Refusal == lease.Granted {
		w.acks[from] = true
	}
	now := time.Now()
	t, ok := a.tenures[w.group]
	held := ok && t.holding != nil && t.holder.Term() == w.term && t.holder.Held(now)
	if held && t.holder.Quorum(w.acks, now) {
		w.stored = true
	}
}

// await waits until the record is stored or every voter has answered.
func (w *claimWrite) await(ctx context.Context, a *Agent) error {
	for range w.peers {
		select {
		case <-w.results:
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
