package home

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
)

// lateAnswers is the time for which an answer to an action that was given up is
// still accepted.
const lateAnswerPeriod = time.Minute

// place is a shard of a service.
type serviceShard struct {
	service ident.ServiceID
	shard   ident.Shard
}

// homeMoves notes when the home of a shard moved to another group because a
// document changed. Claims do not move with it. The zero value is ready to use.
type groupChanges struct {
	config    *view.Config
	groups    map[serviceShard]ident.GroupID
	changedAt map[serviceShard]time.Time
}

// observe compares a view with the one before.
func (m *groupChanges) observe(v *view.View, now time.Time) {
	if m.config == v.Config {
		return
	}
	m.config = v.Config
	homes := coordinatorGroups(v)
	for p, group := range homes {
		if before, known := m.groups[p]; known && before != group {
			if m.changedAt == nil {
				m.changedAt = map[serviceShard]time.Time{}
			}
			m.changedAt[p] = now
		}
	}
	for p, group := range m.groups {
		if _, present := homes[p]; !present {
			homes[p] = group
		}
	}
	m.groups = homes
}

// since returns the time of the last move of a shard's home, or zero.
func (m *groupChanges) lastChange(service ident.ServiceID, shard ident.Shard) time.Time {
	return m.changedAt[serviceShard{service: service, shard: shard}]
}

func coordinatorGroups(v *view.View) map[serviceShard]ident.GroupID {
	homes := map[serviceShard]ident.GroupID{}
	for id, document := range v.Config.Services {
		for i := range document.Servers {
			server := &document.Servers[i]
			p := serviceShard{service: id, shard: server.Shard}
			if _, known := homes[p]; !known {
				homes[p] = v.GroupOf[server.ID]
			}
		}
	}
	return homes
}

// homeGroup returns the group of the first server in the document's order that
// holds the shard.
func coordinatorGroup(v *view.View, service ident.ServiceID, shard ident.Shard) (ident.GroupID, bool) {
	document := v.Config.Services[service]
	if document == nil {
		return "", false
	}
	for i := range document.Servers {
		if document.Servers[i].Shard == shard {
			group, ok := v.GroupOf[document.Servers[i].ID]
			return group, ok
		}
	}
	return "", false
}
