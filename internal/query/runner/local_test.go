package runner_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
	"github.com/samphirestair/samphirestair/internal/owner/pool"
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
