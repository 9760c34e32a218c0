package tier

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/ops/admin"
	"github.com/samphirestair/samphirestair/internal/query/admit"
	"github.com/samphirestair/samphirestair/internal/query/hedge"
)

// sections returns the sections of the state dump.
func (t *Tier) sections() map[string]admin.Section {
	return map[string]admin.Section{
		"members":     func() any { return t.follower.View().Members },
		"config":      func() any { return t.config() },
		"connections": func() any { return t.pool.Stats() },
		"silent":      func() any { return t.heartbeats.Detector().SilentPeers() },
		"down":        func() any { return t.env.Health.Down() },
		"reach":       func() any { return t.reach.State() },
		"admission":   func() any { return t.admission.State() },
		"limits":      func() any { return t.notices.Limits() },
		"budget":      func() any { return t.budget() },
		"cost":        func() any { return t.cost.CostState(time.Now()) },
		"quarantine":  func() any { return t.ledger.List(time.Now()) },
		"quota":       func() any { return t.quota.State() },
		"rollouts":    func() any { return t.rollouts.Status() },
		"decisions":   func() any { return t.events.History() },
		"listeners":   func() any { return t.ports.Load().stats() },
		"memory":      func() any { return t.memory.State() },
	}
}

// sumAdmission returns the sum of a figure of admission over all services.
func (t *Tier) sumAdmission(figure func(admit.ServiceState) int) float64 {
	sum := 0
	for _, state := range t.admission.State() {
		sum += figure(state)
	}
	return float64(sum)
}

// countTenants returns the number of tenants in all classes of a service.
func countTenants(state admit.ServiceState) int {
	tenants := 0
	for _, class := range state.Classes {
		tenants += class.Tenants
	}
	return tenants
}

// config returns the configuration in force, or nil.
func (t *Tier) config() any {
	table := t.follower.View().Table
	if table == nil {
		return nil
	}
	return table.Config()
}

// budget returns the state of the retry budget of each service in use.
func (t *Tier) budget() any {
	spending := map[ident.ServiceID]hedge.BudgetState{}
	if table := t.follower.View().Table; table != nil {
		for service := range table.Config().Services {
			if table.UsesService(service) {
				spending[service] = t.env.Budget.BudgetState(service)
			}
		}
	}
	return spending
}

// status is the short status of this VM, which the admin port serves.
type status struct {
	VM      ident.VMID    `json:"vm"`
	Ready   bool          `json:"ready"`
	Version ident.Version `json:"version"`
	// Age is the time since the view of the fleet was last known to be up to date,
	// or empty if it never was.
	Age     string `json:"age"`
	Members int    `json:"members"`
	Down    int    `json:"down"`
}

func (t *Tier) status() status {
	view := t.follower.View()
	s := status{
		VM: t.settings.VM.ID, Ready: t.gate.Ready(),
		Members: len(view.Members), Down: len(t.env.Health.Down()),
	}
	if age, known := t.follower.Age(time.Now()); known {
		s.Age = age.Round(time.Millisecond).String()
	}
	if view.Table != nil {
		s.Version = view.Table.Config().Version
	}
	return s
}
