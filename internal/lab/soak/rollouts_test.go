package soak_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/lab/soak"
)

// arriveAt reports that a request arrives at a server of a version, and returns the arrival.
func (w *scenario) arriveAt(version string) soak.Arrival {
	id := w.send(one)
	a := soak.Arrival{ID: id, Server: ident.ServerID("i-" + version), Service: "desk", Version: version, At: time.Now(), Ran: true, Sender: "vm-1", TimeLeft: 500 * time.Millisecond, HasTimeLeft: true}
	w.Arrived(a)
	return a
}

// serveAs reports requests that servers of a version answer.
func (w *scenario) serveAs(version string, count int, bad bool) {
	for range count {
		a := w.arriveAt(version)
		w.Replied(soak.Reply{Signature: a.ID, ID: a.ID, Service: "desk", Version: version, Status: 500, Bad: bad})
	}
}

// Guards against a referee that misses a broken promise of a roll-out, or finds one where there
// is none.
func TestRolloutFindings(t *testing.T) {
	const due = 12 * time.Second
	for name, test := range map[string]struct {
		play   func(w *scenario)
		state  string
		want   []string
		isGood bool
	}{
		"good_version_is_completed": {func(w *scenario) { w.serveAs("v2", 80, false) }, soak.Completed, nil, true},
		"bad_version_within_its_share": {func(w *scenario) {
			w.serveAs("v1", 300, false)
			w.serveAs("v2", 83, true)
		}, soak.RolledBack, nil, false},
		"bad_version_over_its_share": {func(w *scenario) {
			w.serveAs("v1", 300, false)
			w.serveAs("v2", 90, true)
		}, soak.RolledBack, []string{"a bad version got too many requests"}, false},
		"late_requests_do_not_count": {func(w *scenario) {
			w.serveAs("v2", 50, false)
			time.Sleep(due + time.Millisecond)
			w.serveAs("v2", 50, false)
		}, "", nil, false},
		"faults_hide_which_version_is_bad": {func(w *scenario) {
			w.serveAs("v1", 100, true)
			w.serveAs("v2", 90, true)
		}, soak.Completed, nil, false},
		"bad_version_is_completed": {func(w *scenario) {
			w.serveAs("v1", 100, false)
			w.serveAs("v2", 20, true)
		}, soak.Completed, []string{"a bad version is completed"}, false},
		"request_long_after_50_bad_responses": {func(w *scenario) {
			w.serveAs("v1", 300, false)
			w.serveAs("v2", 50, true)
			time.Sleep(bounds.RolloutBack)
			w.arriveAt("v2")
			time.Sleep(time.Millisecond)
			w.arriveAt("v2")
			w.faults.Begin("vm-1", false)
			w.arriveAt("v2")
		}, soak.RolledBack, []string{"after bad response 50"}, false},
		"request_in_flight_at_the_old_version": {func(w *scenario) {
			w.Accepted(w.arriveAt("v2"))
			w.Accepted(w.arriveAt("v1"))()
			w.Accepted(w.arriveAt("v1"))
		}, soak.Completed, []string{"in flight when the roll-out of v2 is completed"}, false},
		"request_in_flight_at_the_new_version": {func(w *scenario) {
			w.Accepted(w.arriveAt("v1"))
			w.Accepted(w.arriveAt("v2"))
		}, soak.RolledBack, []string{"in flight when the roll-out of v2 is rolled_back"}, false},
		"link_holds_up_a_request": {func(w *scenario) {
			w.faults.Begin(soak.Links("i-v1"), false)
			w.Accepted(w.arriveAt("v1"))
		}, soak.Completed, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newScenario()
				w.RolloutOrdered("desk", "v2", !test.isGood, time.Now(), due)
				test.play(w)
				w.RolloutEnded("desk", test.state, time.Now())
				findings := w.Findings()
				require.Len(t, findings, len(test.want), fmt.Sprint(findings))
				for i, text := range test.want {
					require.Equal(t, soak.BadRollout, findings[i].Promise)
					require.Contains(t, findings[i].Text, text)
				}
			})
		})
	}
}

// Guards against requests to servers that stop because their version has lost.
func TestLosingVersionMustGetNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newScenario()
		w.RolloutOrdered("desk", "v2", false, time.Now(), time.Minute)
		w.RolloutEnded("desk", soak.RolledBack, time.Now())
		time.Sleep(time.Millisecond)
		w.arriveAt("v1")
		require.Empty(t, w.Findings())
		w.arriveAt("v2")
		require.Len(t, w.Findings(), 1)
		w.StoreRestored()
		w.arriveAt("v2")
		require.Len(t, w.Findings(), 1)
	})
}

// The roll-outs of a seed must be the same each time, and some of them must overlap.
func TestPlanOfRollouts(t *testing.T) {
	steps := soak.PlanRollouts(3, time.Minute, 3)
	require.Equal(t, steps, soak.PlanRollouts(3, time.Minute, 3))
	require.NotEqual(t, steps, soak.PlanRollouts(4, time.Minute, 3))
	require.Greater(t, len(steps), 9)
}
