package home

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
)

// lateAnswers is the time for which an answer to an action that was given up is
// still accepted.
const lateAnswers = time.Minute

// place is a shard of a service.
type place struct {
	service ident.ServiceID
	shard   ident.Shard
}

// homeMoves notes when the home of a shard moved to another group because a
// document changed. Claims do not move with it. The zero value is ready to use.
type homeMoves struct {
	config *view.Config
	homes  map[place]ident.GroupID
	moved  map[place]time.Time
}

// observe compares a view with the one before.
func (m *homeMoves) observe(v *view.View, now time.Time) {
	if m.config == v.Config {
		return
	}
	m.config = v.Config
	homes := allHomes(v)
	for p, group := range homes {
		if before, known := m.homes[p]; known && before != group {
			if m.moved == nil {
				m.moved = map[place]time.Time{}
			}
			m.moved[p] = now
		}
	}
	for p, group := range m.homes {
		if _, present := homes[p]; !present {
			homes[p] = group
		}
	}
	m.homes = homes
}

// since returns the time of the last move of a shard's home, or zero.
func (m *homeMoves) since(service ident.ServiceID, shard ident.Shard) time.Time {
	return m.moved[place{service: service, shard: shard}]
}

func allHomes(v *view.View) map[place]ident.GroupID {
	homes := map[place]ident.GroupID{}
	for id, document := range v.Config.Services {
		for i := range document.Servers {
			server := &document.Servers[i]
			p := place{service: id, shard: server.Shard}
			if _, known := homes[p]; !known {
				homes[p] = v.GroupOf[server.ID]
			}
		}
	}
	return homes
}

// homeGroup returns the group of the first server in the document's order that
// holds the shard.
func homeGroup(v *view.View, service ident.ServiceID, shard ident.Shard) (ident.GroupID, bool) {
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
