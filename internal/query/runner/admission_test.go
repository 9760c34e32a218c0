package runner_test

import (
	"context"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/routes"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
	"github.com/samphirestair/samphirestair/internal/owner/pool"
	"github.com/samphirestair/samphirestair/internal/query/admit"
	"github.com/samphirestair/samphirestair/internal/query/relay"
	"github.com/samphirestair/samphirestair/internal/query/runner"
)

// refusingPolicy refuses all requests, the waiting ones while they wait.
type refusingPolicy struct {
	admit.QueuingPolicy
	waits bool
	asked admit.Request
}

func (p *refusingPolicy) Admit(now time.Time, request admit.Request) admit.Decision {
	p.asked = request
	if !p.waits {
		return admit.Decision{Reason: "full", RetryAfter: time.Second}
	}
	refused := make(chan struct{})
	close(refused)
	return admit.Decision{Waiter: &admit.Waiter{Refused: refused, Until: now.Add(time.Hour)}}
}

func (*refusingPolicy) EndWait(*admit.Waiter) bool { return false }

func (*refusingPolicy) RefuseWaiter(time.Time, *admit.Waiter) admit.Decision {
	return admit.Decision{Reason: "displaced", RetryAfter: 2 * time.Second}
}

// runRefused runs a request under a configuration with the given tenants.
func runRefused(t *testing.T, policy *refusingPolicy, tenants []routes.Tenant, tenant *routes.Tenant) runner.Answer {
	t.Helper()
	route := &routes.Route{Name: "r", Host: "h", Prefix: "/", Rank: 2, Attempts: 1, Timeout: time.Second, Split: []routes.WeightedService{{Service: "s", Weight: 1}}}
	table, err := routes.NewTable(&routes.Config{Version: 1, Routes: []routes.Route{*route}, Tenants: tenants})
	require.NoError(t, err)
	view := roster.NewView(table, nil, nil, nil)
	env, _ := newEnv(t, func() relay.Replicas { return view })
	run := runner.New(runner.Deps{Env: env, Views: viewOf{view}, Admit: policy, Metrics: metrics.NewSet()})
	return run.Run(runner.Request{
		Message: &pool.Message{ID: "r1"}, Route: route, Service: "s", Tenant: tenant, Arrived: time.Now(), Wait: 700 * time.Millisecond, Gone: context.Background().Done(),
	})
}

// Guards against a tenant's requests in the class of their route, or with the weight of another
// tenant, and against the order by tenant under a configuration without tenants.
func TestAdmissionIsByTenant(t *testing.T) {
	tenant := routes.Tenant{Name: "north", Rank: 1, Rate: 40}
	for name, c := range map[string]struct {
		tenants []routes.Tenant
		tenant  *routes.Tenant
		want    admit.Request
	}{
		"tenant":       {[]routes.Tenant{tenant}, &tenant, admit.Request{Class: 1, ByTenant: true, Tenant: "north", Weight: 40}},
		"public route": {[]routes.Tenant{tenant}, nil, admit.Request{Class: 2, ByTenant: true}},
		"no tenants":   {nil, nil, admit.Request{Class: 2}},
	} {
		policy := &refusingPolicy{}
		answer := runRefused(t, policy, c.tenants, c.tenant)
		require.Equal(t, relay.Refused, answer.Verdict)
		require.Equal(t, time.Second, answer.RetryAfter, "the policy spreads the times itself")
		c.want.Service, c.want.Kind, c.want.Wait, c.want.Timeout, c.want.Deadline = ident.ServiceID("s"), "r", 700*time.Millisecond, time.Second, policy.asked.Deadline
		require.Equal(t, c.want, policy.asked, name)
	}
}

// Guards against a displaced request that waits on, or is told the time of another refusal.
func TestDisplacedRequestIsRefusedWhileItWaits(t *testing.T) {
	answer := runRefused(t, &refusingPolicy{waits: true}, nil, nil)
	require.Equal(t, relay.Refused, answer.Verdict)
	require.Equal(t, "displaced", answer.Reason)
	require.Equal(t, 2*time.Second, answer.RetryAfter)
}
