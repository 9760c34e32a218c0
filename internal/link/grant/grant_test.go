package grant_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/routes"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
	"github.com/samphirestair/samphirestair/internal/link/grant"
	"github.com/samphirestair/samphirestair/internal/query/quota"
)

// fakeViews provides a view that the test replaces.
type fakeViews struct {
	view atomic.Pointer[roster.View]
}

func (f *fakeViews) View() *roster.View { return f.view.Load() }

func (f *fakeViews) Age(time.Time) (time.Duration, bool) { return 0, true }

type heardPeers struct{}

func (heardPeers) Silent(ident.VMID) bool { return false }

// recordedOrders answers each order with the tokens that it asks for, and passes it on.
type recordedOrders chan *quota.Order

func (r recordedOrders) Exchange(_ string, order *quota.Order, _ time.Duration) (*quota.Reply, error) {
	reply := &quota.Reply{Boot: 9, Stamp: 1}
	for _, ask := range order.Asks {
		reply.Grants = append(reply.Grants, quota.Grant{Count: ask.Need})
	}
	r <- order
	return reply, nil
}

func (recordedOrders) Retain(func(string) bool) {}

// setTenant puts a configuration with one tenant in force on VM "a", which serves.
func (f *fakeViews) setTenant(t *testing.T, version ident.Version, rate float64) *routes.Tenant {
	t.Helper()
	table, err := routes.NewTable(&routes.Config{Version: version, Tenants: []routes.Tenant{{Name: "north", Rate: rate}}})
	require.NoError(t, err)
	f.view.Store(roster.NewView(table, nil, []roster.Member{{VM: "a", PeerAddress: "a:1", Serving: true}}, nil))
	return table.Tenant("north")
}

// Guards against a limit that is passed on under the version of a newer configuration, when a
// request that was read before a change gives its token back.
func TestTokenIsReturnedUnderTheLimitInForce(t *testing.T) {
	views, orders := &fakeViews{}, make(recordedOrders, 100)
	before := views.setTenant(t, 1, 20)
	service := grant.New(grant.Deps{
		Self: quota.Process{VM: "standby", Boot: 1}, Views: views, Peers: heardPeers{}, OwnsShare: func() bool { return false },
		Bounds:    func() quota.Bounds { return quota.Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20} },
		Transport: orders, Metrics: metrics.NewSet(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go service.Run(ctx)
	service.Take(before)
	views.setTenant(t, 2, 1)
	service.GiveBack(before)
	for order := range orders {
		for _, ask := range order.Asks {
			if ask.Version == 2 {
				require.Equal(t, 1.0, ask.Rate)
			}
			if ask.Returned > 0 {
				return
			}
		}
	}
}
