package soak

import (
	"net/http"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// Quota is the limit of a tenant over all VMs together: Rate requests per second plus Burst. A
// Rate of 0 means no limit.
type Quota struct {
	Rate, Burst float64
}

// allows returns the number of requests that may run in a window, without tolerances.
func (q Quota) allows(window time.Duration) float64 {
	return q.Rate*window.Seconds() + q.Burst
}

// tenant is what the checker knows of one tenant.
type tenant struct {
	// quotas holds the quotas in the order in which the store accepted them.
	quotas []acceptedQuota
	// keyRemovedAt is when the store accepted that the tenant's key is removed, or zero while
	// it is in force. wasRemoved is set once it was removed at any time.
	keyRemovedAt time.Time
	wasRemoved   bool
	// runs holds the requests that ran, by their first run.
	runs []tenantRun
}

type acceptedQuota struct {
	Quota
	at time.Time
}

// tenantRun is the first run of a request.
type tenantRun struct {
	sentAt, at time.Time
}

// SetQuota records that the store accepted a quota of a tenant.
func (r *Checker) SetQuota(name ident.TenantID, quota Quota, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tenantOf(name)
	t.quotas = append(t.quotas, acceptedQuota{quota, at})
}

// SetKeyRemoved records the time at which the store accepted that the key of a tenant is removed.
// A zero time records that it is in force again.
func (r *Checker) SetKeyRemoved(name ident.TenantID, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tenantOf(name)
	t.keyRemovedAt = at
	t.wasRemoved = t.wasRemoved || !at.IsZero()
}

func (r *Checker) tenantOf(name ident.TenantID) *tenant {
	t := r.tenants[name]
	if t == nil {
		t = &tenant{}
		r.tenants[name] = t
	}
	return t
}

// checkTenant checks that a request that runs does so for the tenant that holds the caller's key,
// that the server doesn't see the key, and that the tenant keeps to its quota.
func (r *Checker) checkTenant(q *request, a Arrival) {
	if a.KeySeen {
		r.addFindingf(Unasked, a.ID, "server %s got the caller's key", a.Server)
	}
	if a.Tenant != q.Tenant {
		r.addFindingf(Unasked, a.ID, "server %s got tenant %q, and the key is of %q", a.Server, a.Tenant, q.Tenant)
	}
	if !a.Ran || q.Tenant == "" && !q.KeyUnknown {
		return
	}
	if q.KeyUnknown {
		r.addFindingf(Key, a.ID, "runs at %s with a key that no configuration held", a.Server)
		return
	}
	t := r.tenantOf(q.Tenant)
	if removed := t.keyRemovedAt; !removed.IsZero() && q.SentAt.Sub(removed) > r.bounds.Config && r.boundsApply(string(q.VM), a.At) {
		r.addFindingf(Key, a.ID, "%s runs it %v after its key was removed", q.VM, q.SentAt.Sub(removed))
	}
	if q.runs() > 1 {
		return
	}
	t.runs = append(t.runs, tenantRun{sentAt: q.SentAt, at: a.At})
	window := r.bounds.QuotaWindow
	quota, limited := r.quotaAt(t, a.At)
	if !limited {
		return
	}
	from, ran := a.At.Add(-window), 0
	for _, run := range eventsBetween(t.runs, func(run tenantRun) time.Time { return run.at }, from, a.At) {
		if run.sentAt.After(from) {
			ran++
		}
	}
	if allowed := quota.allows(window)*(1+r.bounds.QuotaOverage) + r.bounds.QuotaSlack; float64(ran) > allowed {
		r.addFindingf(OverQuota, a.ID, "%d requests of tenant %q ran in %v, %.1f are allowed", ran, q.Tenant, window, allowed)
	}
}

// quotaAt returns the largest quota that may be in force at some moment of the window that ends at
// at. limited is false if that is no limit. An earlier quota may be in force until all VMs and the
// store had no fault for bounds.Contact at a moment later than bounds.Config after the acceptance of
// the next one, and for one window more.
func (r *Checker) quotaAt(t *tenant, at time.Time) (largest Quota, limited bool) {
	for i, quota := range t.quotas {
		if i+1 < len(t.quotas) {
			binds := t.quotas[i+1].at.Add(r.bounds.Config)
			if at.Add(-r.bounds.QuotaWindow).After(binds) && r.allInContact(binds, at.Add(-r.bounds.QuotaWindow)) {
				continue
			}
		}
		if quota.Rate == 0 {
			return Quota{}, false
		}
		if quota.allows(r.bounds.QuotaWindow) > largest.allows(r.bounds.QuotaWindow) {
			largest = quota.Quota
		}
	}
	return largest, len(t.quotas) > 0
}

// contactStep is the distance of the moments at which allInContact looks.
const contactStep = 250 * time.Millisecond

// allInContact reports whether all VMs and the store have had no fault for bounds.Contact at some
// moment in [from, to].
func (r *Checker) allInContact(from, to time.Time) bool {
	for at := from; !at.After(to); at = at.Add(contactStep) {
		all := true
		for vm := range r.vms {
			all = all && r.boundsApply(string(vm), at)
		}
		if all {
			return true
		}
	}
	return false
}

// isOverQuota reports whether a request was refused with the status of a tenant over its quota.
func (r *Checker) isOverQuota(q *request) bool {
	return q.Tenant != "" && q.answer != nil && q.answer.Status == http.StatusTooManyRequests
}

// mayBeUnauthorized reports whether 401 is a proper answer to a request: no configuration held its
// key, or some had removed it.
func (r *Checker) mayBeUnauthorized(q *request) bool {
	if q.KeyUnknown {
		return true
	}
	t := r.tenants[q.Tenant]
	return t != nil && t.wasRemoved
}
