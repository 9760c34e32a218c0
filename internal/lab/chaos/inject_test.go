package chaos_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/change"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/lab/chaos"
	"github.com/samphirestair/samphirestair/internal/lab/kvsrv"
	"github.com/samphirestair/samphirestair/internal/lab/server"
	"github.com/samphirestair/samphirestair/internal/lab/trace"
	"github.com/samphirestair/samphirestair/internal/lab/vmsrv"
)

// fakeFleet records the calls of an Injector with their times.
type fakeFleet struct {
	mu     sync.Mutex
	begin  time.Time
	calls  []string
	serial uint64
	ended  bool
}

func (f *fakeFleet) recordf(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, fmt.Sprintf("%5s ", time.Since(f.begin))+fmt.Sprintf(format, args...))
}

func (f *fakeFleet) Find(ident.VMID) (chaos.PID, error) { return 1, nil }
func (f *fakeFleet) Runs(chaos.PID) bool                { return !f.ended }

func (f *fakeFleet) Signal(_ chaos.PID, signal syscall.Signal) error {
	f.recordf("signal %v", signal)
	f.ended = signal == syscall.SIGKILL || signal == syscall.SIGTERM
	return nil
}

func (f *fakeFleet) DelayReplacement(vm ident.VMID, on bool) error {
	f.recordf("hold %s %t", vm, on)
	return nil
}

func (f *fakeFleet) Cut(_ context.Context, vm ident.VMID, to []string) error {
	f.recordf("cut %s from %v", vm, to)
	return nil
}

func (f *fakeFleet) Servers(_ context.Context, fault server.Fault) error {
	f.recordf("%s %s off=%t maps=%s", fault.Server, fault.Action, fault.Off, fault.Maps)
	return nil
}

func (f *fakeFleet) Store(_ context.Context, fault kvsrv.Fault) error {
	f.recordf("store %+v", fault)
	return nil
}

func (f *fakeFleet) List(_ context.Context, fault vmsrv.Fault) error {
	f.recordf("list %+v", fault)
	return nil
}

func (f *fakeFleet) Do(_ context.Context, request change.Request) change.Outcome {
	f.recordf("%s %s", request.Kind, request.Subject)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.serial++
	return change.Outcome{Status: change.Accepted, Serial: f.serial}
}

// inject runs steps on a fake fleet and returns the recorded calls and the
// history.
func inject(t *testing.T, steps ...chaos.Step) ([]string, []trace.Event) {
	t.Helper()
	var history bytes.Buffer
	fleet := &fakeFleet{begin: time.Now()}
	recorder := trace.NewRecorder(&history, "chaos")
	injector := chaos.New(chaos.Deps{
		Logger:    slog.New(slog.DiscardHandler),
		Recorder:  recorder,
		Processes: fleet,
		Controls:  fleet,
		Operator:  fleet,
		VMs:       []chaos.VM{{ID: "vm-1", IP: "10.0.0.1", Address: "10.0.0.1:7000"}, {ID: "vm-2", IP: "10.0.0.2"}},
		Documents: []*svcdoc.Document{{Service: "desk", Servers: []svcdoc.Server{{ID: "desk/a"}, {ID: "desk/b", Shard: 1}}}},
	})
	report := injector.Run(t.Context(), steps)
	require.Empty(t, report.Failed)
	require.NoError(t, recorder.Close())
	events, err := trace.Read(&history)
	require.NoError(t, err)
	return fleet.calls, events
}

func TestOverlappingCutsAreCombined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls, _ := inject(t,
			chaos.Step{At: 0, For: 4 * time.Second, Fault: chaos.Cut, Target: "vm-1", Other: "vm-2"},
			chaos.Step{At: time.Second, For: 5 * time.Second, Fault: chaos.OneWayCut, Target: "vm-1", Other: "vm-1"},
		)
		require.Equal(t, []string{
			"   0s cut vm-1 from [10.0.0.2]",
			"   0s cut vm-2 from [10.0.0.1]",
			"   1s cut vm-1 from [10.0.0.2]",
			"   4s cut vm-1 from [10.0.0.2]",
			"   4s cut vm-2 from []",
			"   6s cut vm-1 from []",
			"   6s cut vm-1 from []",
			"   6s cut vm-2 from []",
			"   6s store {Down:false SlowMillis:0 LoseEvery:0}",
		}, calls)
	})
}

func TestOverlappingStoreFaultsAreCombined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls, _ := inject(t,
			chaos.Step{At: 0, For: 2 * time.Second, Fault: chaos.StoreDown},
			chaos.Step{At: time.Second, For: 2 * time.Second, Fault: chaos.StoreLoses},
		)
		require.Equal(t, []string{
			"   0s store {Down:true SlowMillis:0 LoseEvery:0}",
			"   1s store {Down:true SlowMillis:0 LoseEvery:2}",
			"   2s store {Down:false SlowMillis:0 LoseEvery:2}",
			"   3s store {Down:false SlowMillis:0 LoseEvery:0}",
		}, calls[:4])
	})
}

func TestPlannedStopIsRecordedAndNeverOverlapsAKill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls, events := inject(t,
			chaos.Step{At: 0, For: 2 * time.Second, Fault: chaos.StopVM, Target: "vm-1"},
			chaos.Step{At: time.Second, For: time.Second, Fault: chaos.KillVM, Target: "vm-1"},
		)
		require.Equal(t, []string{
			"   0s hold vm-1 true", "   0s signal terminated", "   2s hold vm-1 false",
			"   2s hold vm-1 true", "   2s signal killed", "   3s hold vm-1 false",
		}, calls[:6])
		require.Len(t, events, 4)
		require.Equal(t, trace.Stop{VM: "vm-1", Address: "10.0.0.1:7000", Planned: true}, *events[0].Stop)
		require.Equal(t, trace.Stop{VM: "vm-1", Address: "10.0.0.1:7000", Planned: true, Ended: true}, *events[1].Stop)
		require.Equal(t, trace.Stop{VM: "vm-1", Address: "10.0.0.1:7000", Ended: true}, *events[3].Stop)
	})
}

func TestOldVersionIsRetiredAfterTheNewOneIsHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls, _ := inject(t, chaos.Step{At: 0, For: time.Second, Fault: chaos.Repartition, Target: "desk"})
		require.Equal(t, []string{
			"   0s desk/a versions off=false maps=1=0/2,2=0/1",
			"500ms desk/b versions off=false maps=1=1/2,2=0/1",
			"   3s desk/a versions off=false maps=2=0/1",
			"   3s desk/b versions off=false maps=2=0/1",
		}, calls[:4])
	})
}

func TestZoneReturnsToService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls, events := inject(t, chaos.Step{At: 0, For: 6 * time.Second, Fault: chaos.ZoneOut, Target: "espoo"})
		require.Equal(t, []string{"   0s zone-out espoo", "   6s zone-in espoo"}, calls[:2])
		require.Equal(t, trace.VerbZoneOut, events[0].Command.Verb)
		require.Equal(t, trace.ResultAccepted, events[1].Command.Result)
	})
}

func TestEveryFaultHasAnEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, fault := range chaos.All() {
			target := "vm-1"
			if slices.Contains([]chaos.Fault{chaos.NewVersion, chaos.Repartition, chaos.Race}, fault) {
				target = "desk"
			}
			calls, _ := inject(t, chaos.Step{For: time.Second, Fault: fault, Target: target, Other: "vm-2"})
			require.False(t, strings.Contains(calls[0], "cut vm-1 from []"), fault)
		}
	})
}

func TestMutateKnowsMutantsByName(t *testing.T) {
	_, err := chaos.Mutate(chaos.Deps{}, "soft-stop")
	require.ErrorIs(t, err, chaos.ErrUnknownMutant)
	deps, err := chaos.Mutate(chaos.Deps{}, chaos.Pretend)
	require.NoError(t, err)
	outcome := deps.Operator.Do(t.Context(), change.Request{})
	require.Equal(t, change.Accepted, outcome.Status)
}
