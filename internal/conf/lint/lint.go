// Package lint checks a routing configuration before operators send it, and describes what it
// changes. It knows no VM and no backend server: only the configuration, and the one in force.
package lint

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/routes"
)

// Level says how severe a finding is.
type Level uint8

const (
	// Warning marks what is probably not intended.
	Warning Level = iota
	// Error marks what VMs reject, or what can't work as it is written.
	Error
)

// String returns the name in reports.
func (l Level) String() string {
	return [...]string{"warning", "error"}[l]
}

// Finding is one problem of a configuration.
type Finding struct {
	Level Level
	// Subject is where the problem is, such as `route "beds"`.
	Subject string
	Text    string
}

// String returns the finding as one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s: %s", f.Level, f.Subject, f.Text)
}

// Check returns the problems of a configuration: errors first, each kind in the order of the
// configuration. current is the configuration in force, or nil if it is not known.
func Check(config, current *routes.Config) []Finding {
	l := &linter{config: config, current: current}
	l.checkVersion()
	for i := range config.Routes {
		l.checkRoute(&config.Routes[i])
	}
	l.checkDuplicateRoutes()
	l.checkServices()
	l.checkTenants()
	l.checkLimits()
	slices.SortStableFunc(l.findings, func(a, b Finding) int { return cmp.Compare(b.Level, a.Level) })
	return l.findings
}

// linter collects findings.
type linter struct {
	config, current *routes.Config
	findings        []Finding
}

func (l *linter) errorf(subject, format string, args ...any) {
	l.findings = append(l.findings, Finding{Error, subject, fmt.Sprintf(format, args...)})
}

func (l *linter) warnf(subject, format string, args ...any) {
	l.findings = append(l.findings, Finding{Warning, subject, fmt.Sprintf(format, args...)})
}

func routeSubject(route *routes.Route) string {
	return fmt.Sprintf("route %q", route.Name)
}

func serviceSubject(name ident.ServiceID) string {
	return fmt.Sprintf("service %q", name)
}

func tenantSubject(name ident.TenantID) string {
	return fmt.Sprintf("tenant %q", name)
}

// checkVersion reports a version that VMs ignore because theirs is as new.
func (l *linter) checkVersion() {
	if l.current != nil && l.config.Version <= l.current.Version {
		l.errorf("version", "%d is not above %d, which is in force: VMs ignore it", l.config.Version, l.current.Version)
	}
}

// checkRoute reports the problems of one route.
func (l *linter) checkRoute(route *routes.Route) {
	subject := routeSubject(route)
	if err := route.Validate(); err != nil {
		l.errorf(subject, "%v", err)
	}
	if strings.ContainsAny(route.Host, ":/ ") {
		l.errorf(subject, "host %q contains a port, a path or a space: no request matches", route.Host)
	}
	if route.Goal > route.Timeout {
		l.errorf(subject, "the goal of %v is above the timeout of %v", route.Goal, route.Timeout)
	}
	if route.IsSearch() {
		l.checkSearch(route, subject)
	} else {
		l.checkSplit(route, subject)
	}
	if l.current != nil && !hasHost(l.current, route.Host) {
		l.warnf(subject, "host %q is new: callers must be told", route.Host)
	}
}

func hasHost(config *routes.Config, host string) bool {
	return slices.ContainsFunc(config.Routes, func(r routes.Route) bool { return strings.EqualFold(r.Host, host) })
}

// checkSearch reports a search that can't succeed or returns nothing.
func (l *linter) checkSearch(route *routes.Route, subject string) {
	if route.Limit < 1 {
		l.errorf(subject, "a search for the best %d records returns none", route.Limit)
	}
	switch {
	case math.IsNaN(route.Coverage) || route.Coverage > 1:
		l.errorf(subject, "no answer covers %v of the shards", route.Coverage)
	case route.Coverage <= 0:
		l.warnf(subject, "a coverage of %v lets an answer from one shard of %d pass as a success", route.Coverage, len(route.Shards))
	default:
	}
}

// checkSplit reports weights by which services get no requests.
func (l *linter) checkSplit(route *routes.Route, subject string) {
	total := 0.0
	for _, part := range route.Split {
		total += part.Weight
		if part.Weight == 0 && len(route.Split) > 1 {
			l.warnf(subject, "service %q has a weight of 0 and gets no requests", part.Service)
		}
	}
	if len(route.Split) > 0 && total <= 0 {
		l.errorf(subject, "the weights sum up to %v", total)
	}
	if !route.Idempotent && route.Attempts > 1 {
		l.warnf(subject, "requests may run once only, so that %d attempts are used only after a server refuses", route.Attempts)
	}
}

// checkDuplicateRoutes reports routes that can never match, because an earlier one has the same
// host and prefix, and names that are used twice.
func (l *linter) checkDuplicateRoutes() {
	type place struct{ host, prefix string }
	byPlace, byName := map[place]*routes.Route{}, map[string]*routes.Route{}
	for i := range l.config.Routes {
		route := &l.config.Routes[i]
		at := place{strings.ToLower(route.Host), route.Prefix}
		if earlier := byPlace[at]; earlier != nil {
			l.errorf(routeSubject(route), "never matches: %s has the same host and prefix", routeSubject(earlier))
		} else {
			byPlace[at] = route
		}
		if byName[route.Name] != nil {
			l.warnf(routeSubject(route), "the name is used twice")
		}
		byName[route.Name] = route
	}
}

// checkServices reports services that routes name without a definition, and the reverse.
func (l *linter) checkServices() {
	used := coll.NewSet[ident.ServiceID]()
	for i := range l.config.Routes {
		route := &l.config.Routes[i]
		missing := 0
		for _, service := range route.Services() {
			used.Add(service)
			if _, defined := l.config.Services[service]; !defined {
				if missing++; missing <= maxListed {
					l.errorf(routeSubject(route), "service %q is not defined", service)
				}
			}
		}
		if missing > maxListed {
			l.errorf(routeSubject(route), "%d more services are not defined", missing-maxListed)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(l.config.Services)) {
		if service := l.config.Services[name]; service.Connections < 0 || service.WarmUpRate < 0 || service.WarmUpTime < 0 {
			l.errorf(serviceSubject(name), "a limit is negative")
		}
		if !used.Has(name) {
			l.warnf(serviceSubject(name), "no route uses it")
		}
	}
}

// maxListed bounds the findings of one kind for one route: a search names up to hundreds of
// services.
const maxListed = 3

// checkTenants reports tenants that VMs reject, and limits that let no request pass.
func (l *linter) checkTenants() {
	names, keys := coll.NewSet[ident.TenantID](), map[routes.KeyDigest]ident.TenantID{}
	for i := range l.config.Tenants {
		tenant := &l.config.Tenants[i]
		subject := tenantSubject(tenant.Name)
		if err := tenant.Validate(); err != nil {
			l.errorf(subject, "%v", err)
		}
		if names.Has(tenant.Name) {
			l.errorf(subject, "the name is used twice")
		}
		names.Add(tenant.Name)
		for _, key := range tenant.Keys {
			if other, known := keys[key]; known {
				l.errorf(subject, "key %s is also a key of tenant %q", key.Fingerprint(), other)
			}
			keys[key] = tenant.Name
		}
		if len(tenant.Keys) == 0 {
			l.warnf(subject, "it has no key, so that its callers get 401")
		}
		if tenant.IsLimited() && tenant.Burst < 1 {
			l.warnf(subject, "a burst of %v is below one request", tenant.Burst)
		}
	}
	if len(l.config.Tenants) > 0 || !slices.ContainsFunc(l.config.Routes, func(r routes.Route) bool { return r.Public }) {
		return
	}
	l.warnf("tenants", "there are none, so that all routes are public")
}

// checkLimits reports limits for callers that no request fits.
func (l *linter) checkLimits() {
	limits := l.config.Limits
	if limits.HeaderBytes < 0 || limits.BodyBytes < 0 || limits.HeaderTimeout < 0 || limits.IdleTimeout < 0 {
		l.errorf("limits", "a limit is negative")
	}
	if limits.IdleTimeout > 0 && limits.HeaderTimeout > limits.IdleTimeout {
		l.warnf("limits", "headers may take %v, and idle connections are closed after %v", limits.HeaderTimeout, limits.IdleTimeout)
	}
}
