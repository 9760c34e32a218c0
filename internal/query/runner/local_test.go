package runner_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/routes"
	"github.com/samphirestair/samphirestair/internal/fleet/roll"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
	"github.com/samphirestair/samphirestair/internal/owner/pool"
	"github.com/samphirestair/samphirestair/internal/plat/depot"
	"github.com/samphirestair/samphirestair/internal/query/runner"
)

// viewOf is a ViewSource with a fixed view.
type viewOf struct{ view *roster.View }

func (v viewOf) View() *roster.View { return v.view }

// targetRecorder is a Sender that records the targets of attempts.
type targetRecorder struct{ targets []pool.Target }

func (r *targetRecorder) Send(target pool.Target, _ *pool.Message, _ time.Time, _ bool, _ func(pool.Result)) *pool.Call {
	r.targets = append(r.targets, target)
	return &pool.Call{}
}

// Guards against a VM with an outdated view that acts through one whose view is up to date: requests
// would reach a zone out of service, or servers that drain or left.
func TestOrderedAttemptsAreNotSentToWithdrawnServers(t *testing.T) {
	state := roster.NewState("vm-1", drainingDecoder{}, nil)
	now, revision := time.Now(), depot.Position(0)
	apply := func(key, value string, deleted bool) {
		revision++
		state.Apply(now, depot.Batch{Revision: revision, Items: []depot.Item{{Key: key, Value: []byte(value), Revision: revision, Deleted: deleted}}})
	}
	for _, id := range []string{"a", "b", "c", "d"} {
		apply("server:"+id, "ready", false)
	}
	apply("server:b", "draining", false)
	apply("server:c", "", true)
	apply("zone:lahti", "", false)
	apply("server:e", "lahti", false)
	sent := &targetRecorder{}
	sender := runner.NewLocalSender(viewOf{state.View()}, sent)
	var refused []string
	for _, id := range []ident.ServerID{"a", "b", "c", "d", "e", "unknown"} {
		sender.Send(pool.Target{ID: id, Address: "10.0.0.9:80", Born: 7}, &pool.Message{}, time.Now(), false, func(r pool.Result) {
			require.Equal(t, pool.Unsent, r.Outcome)
			refused = append(refused, string(id))
		})
	}
	require.Equal(t, []string{"b", "c", "e"}, refused)
	require.Len(t, sent.targets, 3)
	sender.Send(pool.Target{ID: "b", Address: "10.0.0.9:80", Born: 8}, &pool.Message{}, time.Now(), false, func(pool.Result) {
		require.Fail(t, "this VM knows another process of that server")
	})
	require.Len(t, sent.targets, 4)
}

// drainingDecoder decodes registrations whose value is a state, or the zone of a ready server.
type drainingDecoder struct{}

func (drainingDecoder) ParseKey(key string) (roster.Kind, string) {
	kind, name, _ := strings.Cut(key, ":")
	if kind == "zone" {
		return roster.KindZoneOut, name
	}
	return roster.KindServer, name
}

func (drainingDecoder) Server(id string, value []byte) (roster.Server, error) {
	return roster.Server{
		ID: ident.ServerID(id), Service: "desk", Address: "10.0.0.1:80", Born: 7, Zone: ident.Zone(value), Draining: string(value) == "draining",
	}, nil
}

func (drainingDecoder) Config([]byte) (*routes.Config, error) {
	return nil, errors.New("no configuration")
}

func (drainingDecoder) Rollout(string, []byte) (roll.Order, error) { return roll.Order{}, nil }

// Guards against attempts for other VMs that replace the connections of this VM's own requests, and
// hide that it is partitioned, because the other VM reaches the server by another address.
func TestOrderedAttemptsUseTheAddressThatThisVMKnows(t *testing.T) {
	replica := &roster.Replica{Server: roster.Server{ID: "a", Service: "desk", Address: "10.0.0.1:80", Born: 7}}
	view := roster.NewView(nil, []*roster.Replica{replica}, nil, coll.NewSet[ident.Zone]())
	sent := &targetRecorder{}
	sender := runner.NewLocalSender(viewOf{view}, sent)
	ordered := pool.Target{ID: "a", Address: "10.0.0.9:80", Born: 7, Connections: 5}
	for _, target := range []pool.Target{
		ordered,
		{ID: "a", Address: "10.0.0.9:80", Born: 8, Connections: 5},
		{ID: "b", Address: "10.0.0.9:80", Born: 7, Connections: 5},
	} {
		sender.Send(target, &pool.Message{}, time.Now(), false, func(pool.Result) {})
	}
	require.Equal(t, []string{"10.0.0.1:80", "10.0.0.9:80", "10.0.0.9:80"}, []string{sent.targets[0].Address, sent.targets[1].Address, sent.targets[2].Address})
	require.Equal(t, runner.Target(view, replica), sent.targets[0])
	require.EqualValues(t, 8, sent.targets[1].Born, "this VM knows another process of that server")
}
