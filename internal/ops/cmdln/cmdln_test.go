package cmdln_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/change"
	"github.com/samphirestair/samphirestair/internal/conf/index"
	"github.com/samphirestair/samphirestair/internal/conf/memkv"
	"github.com/samphirestair/samphirestair/internal/conf/vmconf"
	"github.com/samphirestair/samphirestair/internal/fleet/member"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/ops/cmdln"
	"github.com/samphirestair/samphirestair/internal/ops/fetch"
	"github.com/samphirestair/samphirestair/internal/plat/store"
	"github.com/samphirestair/samphirestair/internal/plat/vmlist"
	"github.com/samphirestair/samphirestair/platform"
)

type fixedList []vmlist.VM

func (l fixedList) VMs(context.Context) ([]vmlist.VM, error) { return l, nil }

// session runs commands and records what they print.
type session struct {
	t    *testing.T
	kv   *memkv.Store
	deps cmdln.Deps
	text strings.Builder
}

func newSession(t *testing.T) *session {
	t.Setenv("SAMPHIRESTAIR_STORE", "http://127.0.0.1:8500")
	t.Setenv("SAMPHIRESTAIR_VMS", "http://127.0.0.1:8501")
	s := &session{t: t, kv: memkv.New()}
	changes := 0
	s.deps = cmdln.Deps{
		Serve: func(_ context.Context, settings *vmconf.Settings) error {
			return errors.Newf("node: %s cannot listen", settings.VM.ID)
		},
		Store: func(string) (store.Store, error) { return s.kv, nil },
		VMs: func(string) (vmlist.List, error) {
			return fixedList{{ID: "vm-1", IP: "127.0.0.1"}, {ID: "vm-2", IP: "127.0.0.2"}}, nil
		},
		PolicyNames: func(kind string) []string {
			return map[string][]string{"replica": {"expect"}, "hedge": {"budget"}, "admission": {"queue"}}[kind]
		},
		ChangeOptions: change.Options{
			Now: func() time.Time { return time.Date(2026, 12, 3, 8, 0, changes, 0, time.UTC) },
			NewID: func() ident.ChangeID {
				changes++
				return ident.ChangeID(fmt.Sprintf("change-%d", changes))
			},
			Backoff: time.Millisecond,
		},
	}
	return s
}

// run runs one command line and records its output and exit code.
func (s *session) run(line string) {
	s.t.Helper()
	var out, errs strings.Builder
	code := cmdln.New(s.deps).Run(s.t.Context(), strings.Split(line, " "), &out, &errs)
	fmt.Fprintf(&s.text, "$ samphirestair %s\n%s", line, out.String())
	for _, text := range strings.Split(strings.TrimSuffix(errs.String(), "\n"), "\n") {
		if text != "" {
			fmt.Fprintf(&s.text, "! %s\n", text)
		}
	}
	fmt.Fprintf(&s.text, "exit code %d\n\n", code)
}

func (s *session) runAll(lines ...string) {
	s.t.Helper()
	for _, line := range lines {
		s.run(line)
	}
}

// writeMembers stores the membership of the fleet.
func (s *session) writeMembers(value *member.Value) {
	s.t.Helper()
	_, err := s.kv.Swap(s.t.Context(), member.Key, 0, value.Encode())
	require.NoError(s.t, err)
}

func (s *session) assertGolden(name string) {
	s.t.Helper()
	goldie.New(s.t).Assert(s.t, name, []byte(s.text.String()))
}

// fixedState answers calls to the admin listeners of VMs.
type fixedState map[string]string

func (f fixedState) Get(_ context.Context, address, path string) ([]byte, error) {
	body, ok := f[address+path]
	if !ok {
		return nil, errors.Wrapf(fetch.ErrUnavailable, "%s", address)
	}
	return []byte(body), nil
}

func (f fixedState) Post(ctx context.Context, address, path string) ([]byte, error) {
	return f.Get(ctx, address, path)
}

// Guards against reports that show keys, miss mistakes or end with the wrong exit code.
func TestRoutingConfigurations(t *testing.T) {
	s := newSession(t)
	s.deps.Routing = platform.Facts{}.Config
	inForce, err := platform.Facts{}.Config([]byte(`{"version": 7, "routes": [{"name": "beds", "hostname": "desk.example", "pathPrefix": "/beds/", "timeoutMs": 3000, "backend": "b1"}]}`))
	require.NoError(t, err)
	state, err := json.Marshal(inForce)
	require.NoError(t, err)
	s.deps.Fetch = fixedState{"127.0.0.1:9140" + fetch.PathConfig: string(state), "127.0.0.2:9140" + fetch.PathConfig: "null"}
	s.runAll(
		"check testdata/routing.json",
		"check testdata/routing.json --against testdata/routing.json",
		"check testdata/routing2.json --against testdata/routing.json",
		"check testdata/routing2.json --against 127.0.0.1:9140",
		"check testdata/routing2.json --against 127.0.0.2:9140",
		"check testdata/routing2.json --against 127.0.0.3:9140",
		"check testdata/routing2.json --against testdata/absent.json",
		"check testdata/badrouting.json",
		"check testdata/badrouting2.json",
		"check testdata/desk.ini --against testdata/routing.json",
	)
	require.NotContains(t, s.text.String(), "planted-key")
	s.assertGolden("routing")
}

func TestDocuments(t *testing.T) {
	s := newSession(t)
	s.runAll(
		"check testdata/desk.ini",
		"check testdata/bad.ini",
		"check testdata/absent.ini",
		"check testdata/vm.ini",
		"check testdata/badvm.ini",
		"check testdata/fwvm.ini",
		"check testdata/badfwvm.ini",
		"diff testdata/desk.ini",
		"apply testdata/desk.ini --by aino",
		"apply testdata/desk.ini --by aino",
		"apply testdata/bad.ini --by aino",
		"diff testdata/desk2.ini",
		"apply testdata/desk2.ini --by veikko --expect 7",
		"apply testdata/desk2.ini --by veikko --expect 1",
		"apply testdata/desk.ini --by aino --expect 1",
		"show agent-desk",
		"show order-track",
		"show agent-desk --change change-1",
		"show agent-desk --change change-2",
		"history agent-desk",
		"history --json --limit 1",
	)
	s.assertGolden("documents")
}

func TestOutAndIn(t *testing.T) {
	s := newSession(t)
	s.runAll(
		"apply testdata/desk.ini --by aino",
		"zone out espo --by aino",
		"zone out espoo --by aino",
		"zone out espoo --by veikko",
		"server out agent-desk/a0 --by veikko",
		"vm out vm-2 --by veikko",
		"vm out vm-9 --by veikko",
		"vm in vm-9 --by veikko",
		"show",
		"__complete zone out ",
		"__complete zone in ",
		"__complete server out agent",
		"__complete server in ",
		"__complete vm in ",
		"__complete show ",
		"zone in espoo --by aino",
		"zone in lahti --by aino",
		"server in agent-desk/a0 --by aino --json",
		"history",
	)
	s.assertGolden("outin")
}

func TestUsage(t *testing.T) {
	s := newSession(t)
	s.runAll("bogus", "forwad", "forward --setings x", "zone", "zone away espoo", "apply", "apply a b", "show --limit 3", "apply testdata/desk.ini --expect x", "serve")
	t.Setenv("SAMPHIRESTAIR_STORE", "")
	s.run("show")
	s.assertGolden("usage")
}

func TestLostStoreAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSession(t)
		s.kv.SetPlan(loseFirstSwap(memkv.AnswerLost))
		s.runAll("zone out espoo --force --by aino", "zone out lahti --force --by aino")
		s.kv.SetPlan(nil)
		s.runAll("change change-1", "zone in espoo --by aino")

		s.kv.SetPlan(loseFirstSwap(memkv.Dropped))
		s.run("zone out espoo --force --by aino")
		s.kv.SetPlan(nil)
		s.runAll("change change-4", "zone in espoo --by aino")
		s.assertGolden("lost")
	})
}

// loseFirstSwap returns a plan that applies effect to the first swap of the index and
// refuses every later call.
func loseFirstSwap(effect memkv.Effect) memkv.Plan {
	swapped := false
	return func(op memkv.Op, key string) memkv.Effect {
		if swapped {
			return memkv.Refused
		}
		if op == memkv.Swap && key == index.Key {
			swapped = true
			return effect
		}
		return memkv.Served
	}
}

func TestServe(t *testing.T) {
	s := newSession(t)
	s.runAll(
		"serve --settings testdata/vm.ini --check",
		"serve --settings testdata/badvm.ini --check",
		"serve --settings testdata/vm.ini",
	)
	s.assertGolden("serve")
}

const fleetJSON = `{"serial":7,"in_force":1,"vms":3,"groups":4,"owned":4,"zones_out":{"espoo":"c1"},
"briefs":[
 {"vm":"vm-1","zone":"espoo","serial":7,"epoch":3,"admitting":true,"groups":["a","b"],
  "servers":[{"server":"desk/a","owned":true,"bound":1,"in_use":1,"queued":2,"warmth":{"phase":"cold","why":"reset"}},
   {"server":"desk/b","owned":true,"draining":true,"bound":2,"warmth":{"phase":"warm","why":"completions"}},
   {"server":"desk/c","owned":false}],
  "decisions":[{"at":"2026-12-03T08:00:02Z","kind":"lease_taken","subject":"a","reason":"preferred"}]},
 {"vm":"vm-3","zone":"lahti","serial":6,"epoch":3,"admitting":false,"refusal":"isolated","groups":["c","d"],
  "decisions":[{"at":"2026-12-03T08:00:01Z","kind":"isolated","subject":"vm-3","reason":"no majority heard"}]}],
"silent":["vm-2"]}`

// fakeAdminListeners holds the response bodies of admin listeners by address and path.
type fakeAdminListeners map[string]string

func (f fakeAdminListeners) Get(_ context.Context, address, path string) ([]byte, error) {
	body, ok := f[address+path]
	if !ok {
		return nil, errors.Wrapf(fetch.ErrUnavailable, "%s", address)
	}
	return []byte(body), nil
}

func (f fakeAdminListeners) Post(ctx context.Context, address, path string) ([]byte, error) {
	return f.Get(ctx, address, "POST "+path)
}

func TestQuarantineCommands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSession(t)
		const request = "9f7f2f54f911b468c54133fea6861f4a"
		s.deps.Fetch = fakeAdminListeners{
			"127.0.0.1:9140/state/quarantine": `[{"request":"` + request + `","state":"quarantined","label":"GET /find?q=sofa","servers":["i-1","i-2","i-3"],"since":"10s","left":"50s","refused":3},
				{"request":"7d5239b94f87366638edc17b4ce18b91","state":"suspect","label":"GET /other","servers":["i-7","i-8"],"since":"","left":"","refused":0}]`,
			"127.0.0.2:9140/state/quarantine":                "[]",
			"127.0.0.3:9140/state/quarantine":                "{}",
			"127.0.0.1:9140POST /quarantine/lift/" + request: "{}",
			"127.0.0.1:9140POST /quarantine/pin/" + request:  "{}",
		}
		s.runAll(
			"quarantine list 127.0.0.1:9140",
			"quarantine list 127.0.0.1:9140 --json",
			"quarantine list 127.0.0.2:9140",
			"quarantine list 127.0.0.3:9140",
			"quarantine list 127.0.0.4:9140",
			"quarantine lift 127.0.0.1:9140 "+request,
			"quarantine pin 127.0.0.1:9140 "+request,
			"quarantine pin 127.0.0.2:9140 "+request,
			"quarantine lift 127.0.0.1:9140 9f7f",
			"quarantine lift",
		)
		s.assertGolden("quarantine")
	})
}

func TestStatusCommands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSession(t)
		s.deps.Fetch = fakeAdminListeners{
			"127.0.0.2:7003/fleet":        fleetJSON,
			"127.0.0.2:7003/status":       `{"vm":"vm-2","zone":"lahti","serial":7,"admitting":true,"groups":["a"]}`,
			"127.0.0.2:7003/state":        `{"vm":"vm-2","config":{"serial":7},"members":[{"vm":"vm-1"}]}`,
			"127.0.0.2:7003/state/config": `{"serial":7}`,
			"127.0.0.1:9000/fleet":        `{"serial":1,"in_force":2,"vms":2,"groups":4,"owned":4}`,
			"127.0.0.1:9000/status":       `{"vm":"vm-9","serial":7,"refusal":"isolated"}`,
		}
		s.runAll(
			"fleet",
			"fleet vm-2 --servers",
			"fleet vm-2 --wait",
			"fleet 127.0.0.1:9000 --wait --json",
			"zone out espoo --force --by aino",
			"zone out lahti --force --by aino",
			"fleet 127.0.0.1:9000 --wait",
			"status",
			"status 127.0.0.1:9000 vm-2",
			"status --json",
			"status vm-7",
			"state vm-2",
			"state 127.0.0.2:7003 config --json",
			"state vm-1",
		)
		t.Setenv("SAMPHIRESTAIR_VMS", "")
		s.run("fleet")
		s.writeMembers(&member.Value{Members: map[ident.VMID]member.Record{"vm-1": {Member: view.Member{
			Process: ident.Process{VM: "vm-1", Incarnation: 1}, Control: "127.0.0.1:7002",
		}}}})
		s.run("fleet --admin-port 9000")
		s.assertGolden("vms")
	})
}
