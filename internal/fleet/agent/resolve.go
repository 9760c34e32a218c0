package agent

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
)

// Resolve asks the voters of a group who owns it and routes to that VM from
// now on. It fails with ErrNoOwner if none of them knows an owner.
func (a *Agent) Resolve(ctx context.Context, group ident.GroupID) (view.Member, error) {
	var addrs []string
	var best holderReply
	err := a.do(ctx, func() {
		best = a.handleHolder(holderRequest{group})
		for _, p := range a.value.Groups[group].All() {
			if p != a.self.Process && a.peer(p).addr != "" {
				addrs = append(addrs, a.peer(p).addr)
			}
		}
	})
	if err != nil {
		return view.Member{}, err
	}
	for _, reply := range a.askHolders(ctx, group, addrs) {
		if reply.Term > best.Term {
			best = reply
		}
	}
	return a.route(ctx, group, best)
}

func (a *Agent) askHolders(ctx context.Context, group ident.GroupID, addrs []string) []holderReply {
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

// route notes the owner that the voters named.
func (a *Agent) route(ctx context.Context, group ident.GroupID, best holderReply) (view.Member, error) {
	var owner view.Member
	found := false
	err := a.do(ctx, func() {
		owner, found = a.roster.byVM[best.Holder.VM]
		found = found && owner.Process == best.Holder
		if found && owner.Process != a.self.Process {
			a.setRoute(group, owner.Process.VM, learnedRoute)
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

// handleHolder tells who has this voter's promise.
func (a *Agent) handleHolder(r holderRequest) holderReply {
	holder, term := a.voter.Holder(r.Group, time.Now())
	return holderReply{Holder: holder, Term: term}
}
