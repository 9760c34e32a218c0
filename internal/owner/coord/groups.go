package coord

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
)

// lateAnswerPeriod is how long after the deadline an answer to an overdue action is still
// accepted.
const lateAnswerPeriod = time.Minute

// serviceShard identifies a shard of a service.
type serviceShard struct {
	service ident.ServiceID
	shard   ident.Shard
}

// groupChanges records when a shard was assigned to another group because a service's
// document changed. The claims stay with the previous group. The zero value is ready to
// use.
type groupChanges struct {
	config    *view.Config
	groups    map[serviceShard]ident.GroupID
	changedAt map[serviceShard]time.Time
}

// observe compares the groups in a view with those in the previous one. Shards that no
// document lists any more keep their last group.
func (g *groupChanges) observe(v *view.View, now time.Time) {
	if g.config == v.Config {
		return
	}
	g.config = v.Config
	groups := coordinatorGroups(v)
	for key, group := range groups {
		if before, known := g.groups[key]; known && before != group {
			if g.changedAt == nil {
				g.changedAt = map[serviceShard]time.Time{}
			}
			g.changedAt[key] = now
		}
	}
	for key, group := range g.groups {
		if _, present := groups[key]; !present {
			groups[key] = group
		}
	}
	g.groups = groups
}

// lastChange returns the time of the last change of a shard's group, or zero.
func (g *groupChanges) lastChange(service ident.ServiceID, shard ident.Shard) time.Time {
	return g.changedAt[serviceShard{service: service, shard: shard}]
}

// coordinatorGroups returns the groups of all shards; see coordinatorGroup.
func coordinatorGroups(v *view.View) map[serviceShard]ident.GroupID {
	groups := map[serviceShard]ident.GroupID{}
	for id, document := range v.Config.Services {
		for i := range document.Servers {
			server := &document.Servers[i]
			key := serviceShard{service: id, shard: server.Shard}
			if _, known := groups[key]; !known {
				groups[key] = v.GroupOf[server.ID]
			}
		}
	}
	return groups
}

// coordinatorGroup returns the group whose owner coordinates the actions of a shard: that
// of the first server in the service's document that holds the shard.
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
