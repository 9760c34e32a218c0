package cli_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/change"
	"github.com/samphirestair/samphirestair/internal/conf/index"
	"github.com/samphirestair/samphirestair/internal/conf/memkv"
	"github.com/samphirestair/samphirestair/internal/conf/vmconf"
	"github.com/samphirestair/samphirestair/internal/ops/cli"
	"github.com/samphirestair/samphirestair/internal/ops/fetch"
	"github.com/samphirestair/samphirestair/internal/plat/store"
	"github.com/samphirestair/samphirestair/internal/plat/vmlist"
)

type fixedList []vmlist.VM

func (l fixedList) VMs(context.Context) ([]vmlist.VM, error) { return l, nil }

// session runs commands and writes down what they print.
type session struct {
	t    *testing.T
	kv   *memkv.Store
	deps cli.Deps
	text strings.Builder
}

func newSession(t *testing.T) *session {
	t.Setenv("SAMPHIRESTAIR_STORE", "http://127.0.0.1:8500")
	t.Setenv("SAMPHIRESTAIR_VMS", "http://127.0.0.1:8501")
	s := &session{t: t, kv: memkv.New()}
	changes := 0
	s.deps = cli.Deps{
		Serve: func(_ context.Context, settings *vmconf.Settings) error {
			return errors.Newf("node: %s cannot listen", settings.VM.ID)
		},
		Store: func(string) (store.Store, error) { return s.kv, nil },
		VMs: func(string) (vmlist.List, error) {
			return fixedList{{ID: "vm-1", IP: "127.0.0.1"}, {ID: "vm-2", IP: "127.0.0.2"}}, nil
		},
		Fetch: fetch.New(),
		PolicyNames: func(kind string) []string {
			return map[string][]string{"replica": {"expect"}, "hedge": {"budget"}, "admission": {"queue"}}[kind]
		},
		Change: change.Options{
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

// run runs one command line and notes its output and exit code.
func (s *session) run(line string) {
	s.t.Helper()
	var out, errs strings.Builder
	code := cli.New(s.deps).Run(s.t.Context(), strings.Fields(line), &out, &errs)
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

func (s *session) golden(name string) {
	s.t.Helper()
	goldie.New(s.t).Assert(s.t, name, []byte(s.text.String()))
}

func TestDocuments(t *testing.T) {
	s := newSession(t)
	s.runAll(
		"check testdata/desk.ini",
		"check testdata/bad.ini",
		"check testdata/absent.ini",
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
		"history agent-desk",
		"history --json --limit 1",
	)
	s.golden("documents")
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
		"show",
		"zone in espoo --by aino",
		"zone in lahti --by aino",
		"server in agent-desk/a0 --by aino --json",
		"history",
	)
	s.golden("outin")
}

func TestUsage(t *testing.T) {
	s := newSession(t)
	s.runAll("bogus", "zone", "zone away espoo", "apply", "apply a b", "show --limit 3", "apply testdata/desk.ini --expect x", "serve")
	t.Setenv("SAMPHIRESTAIR_STORE", "")
	s.run("show")
	s.golden("usage")
}

func TestLostAnswers(t *testing.T) {
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
		s.golden("lost")
	})
}

// loseFirstSwap gives the first swap of the index an effect, and refuses every
// later call.
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
	s.golden("serve")
}

// serveAdmin answers on the admin listener of vm-1 and returns its port.
func serveAdmin(t *testing.T) int {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case fetch.PathStatus:
			ctx.SetBodyString(`{"vm":"vm-1","zone":"espoo","serial":7,"admitting":true,"peers":{}}`)
		case fetch.PathState:
			ctx.SetBodyString(`{"vm":"vm-1","config":{"serial":7},"members":[{"vm":"vm-1"}]}`)
		}
	}}
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	t.Cleanup(func() {
		require.NoError(t, server.Shutdown())
		require.NoError(t, <-done)
	})
	return listener.Addr().(*net.TCPAddr).Port
}

func TestStatusAndState(t *testing.T) {
	s := newSession(t)
	port := serveAdmin(t)
	for _, line := range []string{
		"status --admin-port PORT",
		"status --json --admin-port PORT vm-1",
		"status 127.0.0.1:PORT",
		"status vm-7",
		"state vm-1 --admin-port PORT",
		"state 127.0.0.1:PORT --json",
		"state vm-2 --admin-port PORT",
	} {
		s.run(strings.ReplaceAll(line, "PORT", fmt.Sprint(port)))
	}
	text := strings.ReplaceAll(s.text.String(), fmt.Sprint(port), "17003")
	goldie.New(t).Assert(t, "status", []byte(text))
}
