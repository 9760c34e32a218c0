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

// movedWait is the time for which a server that changed its group gets no work
// from its new owner. Within it the former owner learns of the change.
const movedWait = 5 * time.Second

func (a *Agent) setConfig(c *view.Config) {
	newer := c.Revision > a.config.Revision || c.Revision == a.config.Revision && c.Serial > a.config.Serial
	if !newer && a.config.Services != nil {
		return
	}
	now := time.Now()
	a.config = c
	a.ordered = place.Groups(c)
	a.groups = make(map[ident.GroupID]view.Group, len(a.ordered))
	groupOf := map[ident.ServerID]ident.GroupID{}
	for _, g := range a.ordered {
		a.groups[g.ID] = g
		for _, s := range g.Servers {
			groupOf[s.ID] = g.ID
			if before, known := a.groupOf[s.ID]; known && before != g.ID {
				a.moved[s.ID] = now.Add(movedWait)
			}
		}
	}
	a.groupOf = groupOf
	a.upkeep = true
	a.regroup(now)
	a.rebuild(now)
	a.contend(now)
}

// admitMoved lets the servers whose wait is over receive work.
func (a *Agent) admitMoved(now time.Time) {
	before := len(a.moved)
	maps.DeleteFunc(a.moved, func(_ ident.ServerID, until time.Time) bool { return !now.Before(until) })
	if len(a.moved) < before {
		a.regroup(now)
	}
}

// usable returns a group without the servers that moved to it lately.
func (a *Agent) usable(group ident.GroupID, now time.Time) view.Group {
	g := a.groups[group]
	if len(a.moved) == 0 {
		return g
	}
	g.Servers = slices.DeleteFunc(slices.Clone(g.Servers), func(s svcdoc.Server) bool {
		until, moved := a.moved[s.ID]
		return moved && now.Before(until)
	})
	return g
}

// regroup fits the tenures to the present groups. A holding whose servers
// changed is replaced by a new one of the same term.
func (a *Agent) regroup(now time.Time) {
	for group, t := range a.tenures {
		if _, ok := a.groups[group]; !ok {
			a.drop(group, t)
			continue
		}
		if t.holding == nil {
			continue
		}
		g := a.usable(group, now)
		if slices.Equal(g.Servers, t.holding.Group.Servers) {
			continue
		}
		t.withdraw()
		t.holding = &view.Holding{Group: g, Term: t.holder.Term()}
		t.holding.Renew(t.holder.Until(now))
		a.dirty = true
	}
}
