package agent

import (
	"maps"
	"slices"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/fleet/place"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
)

// movedServerDelay is the time during which a server that changed its group gets
// no work from its new owner. It gives the former owner time to learn of the
// change, so that two owners don't send work to the server at once.
const movedServerDelay = 5 * time.Second

// applyConfig replaces the configuration and derives the groups, holdings and
// preferred owners from it, unless c is not newer than the current one.
func (a *Agent) applyConfig(c *view.Config) {
	newer := c.Revision > a.config.Revision || c.Revision == a.config.Revision && c.Serial > a.config.Serial
	if !newer && a.config.Services != nil {
		return
	}
	now := time.Now()
	a.config = c
	a.groupList = place.Groups(c)
	a.groups = make(map[ident.GroupID]view.Group, len(a.groupList))
	groupOf := map[ident.ServerID]ident.GroupID{}
	for _, g := range a.groupList {
		a.groups[g.ID] = g
		for _, s := range g.Servers {
			groupOf[s.ID] = g.ID
			if before, known := a.groupOf[s.ID]; known && before != g.ID {
				a.movedServers[s.ID] = now.Add(movedServerDelay)
			}
		}
	}
	a.groupOf = groupOf
	a.upkeepNeeded = true
	a.updateHoldings(now)
	a.rebuildRoster(now)
	a.acquirePreferred(now)
}

// admitMovedServers adds moved servers to the holdings of their new groups once
// their delay has passed.
func (a *Agent) admitMovedServers(now time.Time) {
	before := len(a.movedServers)
	maps.DeleteFunc(a.movedServers, func(_ ident.ServerID, until time.Time) bool { return !now.Before(until) })
	if len(a.movedServers) < before {
		a.updateHoldings(now)
	}
}

// groupWithoutMoved returns a group without the servers that moved to it less
// than movedServerDelay ago.
func (a *Agent) groupWithoutMoved(group ident.GroupID, now time.Time) view.Group {
	g := a.groups[group]
	if len(a.movedServers) == 0 {
		return g
	}
	g.Servers = slices.DeleteFunc(slices.Clone(g.Servers), func(s svcdoc.Server) bool {
		until, moved := a.movedServers[s.ID]
		return moved && now.Before(until)
	})
	return g
}

// updateHoldings adapts the leases to the configured groups. It releases groups
// that are no longer configured and replaces a holding whose servers changed by a
// new one of the same term.
func (a *Agent) updateHoldings(now time.Time) {
	for group, l := range a.leases {
		if _, ok := a.groups[group]; !ok {
			a.dropGroup(group, l)
			continue
		}
		if l.holding == nil {
			continue
		}
		g := a.groupWithoutMoved(group, now)
		if slices.Equal(g.Servers, l.holding.Group.Servers) {
			continue
		}
		l.endHolding()
		l.holding = &view.Holding{Group: g, Term: l.holder.Term()}
		l.holding.Renew(l.holder.Until(now))
		a.viewDirty = true
	}
}
