package agent

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
)

// Resolve asks the voters of a group which process owns it and sets a route to the
// owner that was named with the highest term. It returns ErrNoOwner if no voter
// named an owner that is alive.
func (a *Agent) Resolve(ctx context.Context, group ident.GroupID) (view.Member, error) {
	var addrs []string
	var best holderReply
	err := a.do(ctx, func() {
		best = a.handleHolder(holderRequest{group})
		for _, p := range a.membership.Groups[group].All() {
			if p != a.self.Process && a.peer(p).addr != "" {
				addrs = append(addrs, a.peer(p).addr)
			}
		}
	})
	if err != nil {
		return view.Member{}, err
	}
	for _, reply := range a.queryVoters(ctx, group, addrs) {
		if reply.Term > best.Term {
			best = reply
		}
	}
	return a.setResolvedOwner(ctx, group, best)
}

// queryVoters asks the voters at the given addresses concurrently for the holder of
// a group. The reply of a call that fails is the zero value.
func (a *Agent) queryVoters(ctx context.Context, group ident.GroupID, addrs []string) []holderReply {
	p := pool.NewWithResults[holderReply]()
	for _, addr := range addrs {
		p.Go(func() holderReply {
			ctx, cancel := context.WithTimeout(ctx, a.options.CallTimeout)
			defer cancel()
			var reply holderReply
			if a.deps.Client.Call(ctx, addr, methodHolder, holderRequest{group}, &reply) != nil {
				return holderReply{}
			}
			return reply
		})
	}
	return p.Wait()
}

// setResolvedOwner sets the route to the owner that the voters named and returns
// it.
func (a *Agent) setResolvedOwner(ctx context.Context, group ident.GroupID, best holderReply) (view.Member, error) {
	var owner view.Member
	found := false
	err := a.do(ctx, func() {
		owner, found = a.roster.byVM[best.Holder.VM]
		found = found && owner.Process == best.Holder
		if found && owner.Process != a.self.Process {
			a.setRoute(group, owner.Process.VM, learnedOwnerLifetime)
		}
	})
	if err != nil {
		return view.Member{}, err
	}
	if !found {
		return view.Member{}, errors.Wrapf(ErrNoOwner, "group %s", group)
	}
	return owner, nil
}

// handleHolder returns the process that has this voter's promise for a group.
func (a *Agent) handleHolder(r holderRequest) holderReply {
	holder, term := a.voter.Holder(r.Group, time.Now())
	return holderReply{Holder: holder, Term: term}
}
