package lint

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/routes"
)

// Change is one difference between two configurations.
type Change struct {
	// Subject is what differs, such as `route "beds"`.
	Subject string
	Text    string
	// Effect is what it does to requests under way, or empty.
	Effect string
}

// String returns the change as one line.
func (c Change) String() string {
	line := c.Subject + ": " + c.Text
	if c.Effect != "" {
		line += " (" + c.Effect + ")"
	}
	return line
}

// Effects of changes on requests under way.
const (
	effectRemovedRoute = "requests under way are answered; later ones get 404"
	effectMoved        = "requests under way end where they run, later ones and retries go to the new services"
	effectTimeout      = "requests under way keep their time"
	effectRemovedKey   = "requests under way are answered; later ones with the key get 401, on open connections too"
	effectLowered      = "later requests over the quota get 429"
)

// Compare returns what differs between the configuration in force and the next one.
func Compare(current, next *routes.Config) []Change {
	d := &differ{}
	if current.Version != next.Version {
		d.addf("version", "", "%d instead of %d", next.Version, current.Version)
	}
	d.compareRoutes(current, next)
	d.compareServices(current, next)
	d.compareTenants(current, next)
	if current.Limits != next.Limits {
		d.addf("limits", "", "%+v instead of %+v", next.Limits, current.Limits)
	}
	return d.changes
}

// differ collects changes.
type differ struct {
	changes []Change
}

func (d *differ) addf(subject, effect, format string, args ...any) {
	d.changes = append(d.changes, Change{subject, fmt.Sprintf(format, args...), effect})
}

// byKey indexes items. Of items with the same key, the first counts, as it does for requests.
func byKey[K comparable, T any](items []T, key func(*T) K) map[K]*T {
	index := make(map[K]*T, len(items))
	for i := range items {
		if k := key(&items[i]); index[k] == nil {
			index[k] = &items[i]
		}
	}
	return index
}

// routeKey is what requests are matched by.
func routeKey(r *routes.Route) string {
	return strings.ToLower(r.Host) + r.Prefix
}

func (d *differ) compareRoutes(current, next *routes.Config) {
	before, after := byKey(current.Routes, routeKey), byKey(next.Routes, routeKey)
	for _, key := range slices.Sorted(maps.Keys(before)) {
		if after[key] == nil {
			d.addf(routeSubject(before[key]), effectRemovedRoute, "removed, matched %s", key)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(after)) {
		if before[key] == nil {
			d.addf(routeSubject(after[key]), "", "added, matches %s", key)
			continue
		}
		d.compareRoute(before[key], after[key])
	}
}

func (d *differ) compareRoute(before, after *routes.Route) {
	subject := routeSubject(after)
	note := func(changed bool, effect, name string, old, updated any) {
		if changed {
			d.addf(subject, effect, "%s %v instead of %v", name, updated, old)
		}
	}
	note(before.Name != after.Name, "", "name", before.Name, after.Name)
	note(before.Timeout != after.Timeout, effectTimeout, "timeout", before.Timeout, after.Timeout)
	note(before.Goal != after.Goal, "", "goal", before.Goal, after.Goal)
	note(before.Rank != after.Rank, "", "priority", before.Rank, after.Rank)
	note(before.Attempts != after.Attempts, "", "attempts", before.Attempts, after.Attempts)
	note(before.Idempotent != after.Idempotent, "", "idempotent", before.Idempotent, after.Idempotent)
	note(before.Public != after.Public, "", "public", before.Public, after.Public)
	note(before.Limit != after.Limit, "", "records", before.Limit, after.Limit)
	note(before.Coverage != after.Coverage, "", "coverage", before.Coverage, after.Coverage)
	if !slices.Equal(before.Split, after.Split) {
		d.addf(subject, effectMoved, "%s instead of %s", splitText(after), splitText(before))
	}
	if !slices.Equal(before.Shards, after.Shards) {
		added := coll.NewSet(after.Shards...)
		kept := 0
		for _, service := range before.Shards {
			if added.Has(service) {
				kept++
			}
		}
		d.addf(subject, effectMoved, "%d shards instead of %d, %d of them the same", len(after.Shards), len(before.Shards), kept)
	}
}

// splitText returns the services of a route with their weights.
func splitText(route *routes.Route) string {
	if len(route.Split) == 0 {
		return "no service"
	}
	var parts []string
	for _, part := range route.Split {
		parts = append(parts, fmt.Sprintf("%s %v", part.Service, part.Weight))
	}
	return "service " + strings.Join(parts, ", ")
}

func (d *differ) compareServices(current, next *routes.Config) {
	names := coll.NewSet[ident.ServiceID]()
	for _, config := range []*routes.Config{current, next} {
		for name := range config.Services {
			names.Add(name)
		}
	}
	for _, name := range coll.Sorted(names) {
		before, was := current.Services[name]
		after, is := next.Services[name]
		subject := serviceSubject(name)
		switch {
		case !was:
			d.addf(subject, "", "added")
		case !is:
			d.addf(subject, "", "removed")
		case before != after:
			d.addf(subject, "", "%+v instead of %+v", after, before)
		}
	}
}

func (d *differ) compareTenants(current, next *routes.Config) {
	tenantKey := func(t *routes.Tenant) ident.TenantID { return t.Name }
	before, after := byKey(current.Tenants, tenantKey), byKey(next.Tenants, tenantKey)
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if after[name] == nil {
			d.addf(tenantSubject(name), effectRemovedKey, "removed with %d keys", len(before[name].Keys))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(after)) {
		if before[name] == nil {
			d.addf(tenantSubject(name), "", "added with %d keys, %s", len(after[name].Keys), quotaText(after[name]))
			continue
		}
		d.compareTenant(before[name], after[name])
	}
}

func (d *differ) compareTenant(before, after *routes.Tenant) {
	subject := tenantSubject(after.Name)
	was, is := coll.NewSet(before.Keys...), coll.NewSet(after.Keys...)
	for _, key := range before.Keys {
		if !is.Has(key) {
			d.addf(subject, effectRemovedKey, "key %s removed", key.Fingerprint())
		}
	}
	for _, key := range after.Keys {
		if !was.Has(key) {
			d.addf(subject, "", "key %s added", key.Fingerprint())
		}
	}
	if before.Rank != after.Rank {
		d.addf(subject, "", "priority %d instead of %d", after.Rank, before.Rank)
	}
	if before.Rate != after.Rate || before.Burst != after.Burst {
		effect := ""
		if after.IsLimited() && (!before.IsLimited() || after.Rate < before.Rate || after.Burst < before.Burst) {
			effect = effectLowered
		}
		d.addf(subject, effect, "%s instead of %s", quotaText(after), quotaText(before))
	}
}

// quotaText describes the limit of a tenant.
func quotaText(t *routes.Tenant) string {
	if !t.IsLimited() {
		return "no limit"
	}
	return fmt.Sprintf("%v requests per second and a burst of %v", t.Rate, t.Burst)
}
