package lease_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/lease"
)

const group = ident.GroupID("service/a/0")

// faults switches off one rule, to show that the test notices. With amnesia
// processes restart under their old identity, without their claims.
type faults struct {
	amnesia     bool
	noStartWait bool
	noSettling  bool
	noMargin    bool
}

// host is one VM with its own clock.
type host struct {
	process ident.Process
	rate    float64
	voter   *lease.Voter
	holder  *lease.Holder
	view    lease.VoterConfig
	// paused hosts handle no message; their clocks run on.
	paused bool
}

type packet struct {
	from, to ident.Process
	request  lease.Request
	answer   *lease.Answer
	sent     time.Time
}

// world holds hosts that contend for one group over a network that loses,
// repeats and reorders.
type world struct {
	draw    func(n int) int
	faults  faults
	options lease.Options
	now     time.Duration
	hosts   []*host
	network []packet
	view    lease.VoterConfig
	gone    []ident.Process
	// claimed holds the keys of the records that reached a quorum, with the
	// time of their claim.
	claimed map[string]time.Time
	pending map[string]map[ident.Process]bool
	serial  int
	taken   int
	err     error
}

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newWorld(draw func(int) int, f faults) *world {
	w := &world{draw: draw, faults: f, claimed: map[string]time.Time{}, pending: map[string]map[ident.Process]bool{}}
	if f.noMargin {
		w.options.Margin = time.Nanosecond
	}
	for i := range 5 {
		h := &host{process: ident.Process{VM: ident.VMID(fmt.Sprint("vm", i)), Incarnation: 1}, rate: 0.98 + float64(draw(5))/100}
		w.hosts = append(w.hosts, h)
	}
	w.view = lease.VoterConfig{Epoch: 1, Voters: w.processes(0, 1, 2)}
	for _, h := range w.hosts {
		w.boot(h)
	}
	return w
}

func (w *world) processes(indexes ...int) []ident.Process {
	var list []ident.Process
	for _, i := range indexes {
		list = append(list, w.hosts[i].process)
	}
	return list
}

func (w *world) boot(h *host) {
	started := w.clock(h)
	if w.faults.noStartWait {
		started = started.Add(-time.Minute)
	}
	h.voter = lease.NewVoter(started, w.options)
	h.holder = lease.NewHolder(group, h.process, w.options)
	h.paused = false
	w.learn(h)
}

func (w *world) clock(h *host) time.Time {
	return origin.Add(time.Duration(float64(w.now) * h.rate))
}

// learn brings a host up to date with the membership value.
func (w *world) learn(h *host) {
	h.view = w.view
	h.voter.SetEpoch(group, w.view.Epoch)
	h.holder.SetVoterConfig(w.view, w.clock(h))
	for _, p := range w.gone {
		h.holder.MarkEnded(p, w.clock(h))
	}
}

func (w *world) step() {
	h := w.hosts[w.draw(len(w.hosts))]
	switch w.draw(40) {
	case 0, 1, 2, 3, 4, 5:
		w.now += time.Duration(w.draw(400)) * time.Millisecond
	case 6, 7, 8, 9, 10, 11, 12:
		w.tick(h)
	case 13:
		h.paused = !h.paused
	case 14, 15, 16:
		h.paused = false
		w.learn(h)
	case 17, 18:
		w.change(h)
	case 19:
		w.restart(h)
	case 20, 21, 22:
		w.claim(h)
	default:
		for range 1 + w.draw(12) {
			w.deliver()
		}
	}
	w.check()
}

// tick lets a host contend or renew.
func (w *world) tick(h *host) {
	if h.paused {
		return
	}
	now := w.clock(h)
	h.holder.Expire(now)
	if !h.holder.Active() {
		if w.draw(3) != 0 {
			return
		}
		h.holder.Start()
	} else if w.draw(20) == 0 {
		w.broadcast(h, h.holder.Release())
		return
	}
	h.holder.SetHandoverState([]byte{byte(w.draw(100))})
	for _, to := range h.holder.Peers() {
		w.network = append(w.network, packet{from: h.process, to: to, request: h.holder.Request(to), sent: now})
	}
}

func (w *world) broadcast(h *host, r lease.Request) {
	for _, to := range h.holder.Peers() {
		w.network = append(w.network, packet{from: h.process, to: to, request: r, sent: w.clock(h)})
	}
}

func (w *world) claim(h *host) {
	if h.paused || !h.holder.Held(w.clock(h)) {
		return
	}
	w.serial++
	key := fmt.Sprint("key", w.serial)
	w.pending[key] = map[ident.Process]bool{}
	w.broadcast(h, h.holder.ClaimRequest(key, []byte(key), w.clock(h)))
}

// deliver handles one packet of the network, or loses it, or repeats it.
func (w *world) deliver() {
	if len(w.network) == 0 {
		return
	}
	i := w.draw(len(w.network))
	p := w.network[i]
	if w.draw(8) != 0 {
		w.network = slices.Delete(w.network, i, i+1)
	}
	at := slices.IndexFunc(w.hosts, func(h *host) bool { return h.process == p.to })
	if at < 0 || w.hosts[at].paused || w.draw(10) == 0 {
		return
	}
	h := w.hosts[at]
	if p.answer == nil {
		answer := h.voter.Handle(p.from, p.request, w.clock(h))
		w.network = append(w.network, packet{from: h.process, to: p.from, request: p.request, sent: p.sent, answer: &answer})
		return
	}
	w.receive(h, p)
}

func (w *world) receive(h *host, p packet) {
	now := w.clock(h)
	h.holder.Handle(p.from, p.request, *p.answer, p.sent, now)
	if h.holder.Check(now) == lease.Acquired {
		w.taken++
		w.checkInheritance(h.holder.RecoverState(now))
	}
	if p.request.Kind != lease.Claim || p.answer.Refusal != lease.Granted || p.request.Term != h.holder.Term() {
		return
	}
	for key := range p.request.Claims {
		w.pending[key][p.from] = true
		if h.holder.Quorum(w.pending[key], now) && h.holder.Held(now) {
			w.claimed[key] = now
		}
	}
}

// change moves the membership value on by one step.
func (w *world) change(h *host) {
	next := lease.VoterConfig{Epoch: w.view.Epoch + 1}
	switch {
	case len(w.view.Prev) > 0 && (w.faults.noSettling || h.holder.VoterConfig().Epoch == w.view.Epoch && h.holder.CanDropPrev(w.clock(h))):
		next.Voters = w.view.Voters
	case len(w.view.Prev) > 0 || w.draw(3) != 0:
		return
	default:
		first := w.draw(5)
		next.Voters = w.processes(first, (first+1)%5, (first+2)%5)
		next.Prev = w.view.Voters
	}
	w.view = next
}

// restart replaces a host's process: by the same one without its memory or, if
// its VM can say so, by a newer incarnation.
func (w *world) restart(h *host) {
	if w.draw(3) != 0 {
		return
	}
	if !w.faults.amnesia || w.draw(2) == 0 {
		w.gone = append(w.gone, h.process)
		h.process.Incarnation++
	}
	w.boot(h)
}

func (w *world) check() {
	var holders []ident.Process
	for _, h := range w.hosts {
		if h.holder.Held(w.clock(h)) {
			holders = append(holders, h.process)
		}
	}
	if len(holders) > 1 {
		w.err = fmt.Errorf("held by %v at %v", holders, w.now)
	}
}

func (w *world) checkInheritance(in lease.RecoveredState) {
	for key, at := range w.claimed {
		if _, ok := in.Claims[key]; !ok && in.CompleteSince.IsZero() && !w.faults.amnesia {
			w.err = fmt.Errorf("claim %s of %v lost, since %v", key, at, in.CompleteSince)
		}
	}
}

func TestNoTwoHoldersAndNoClaimLost(t *testing.T) {
	taken := 0
	rapid.Check(t, func(rt *rapid.T) {
		choices := rapid.SliceOfN(rapid.Uint16(), 3000, 3000).Draw(rt, "choices")
		next := 0
		w := newWorld(func(n int) int {
			next++
			return int(choices[next%len(choices)]) % n
		}, faults{})
		for range 600 {
			w.step()
			require.NoError(rt, w.err)
		}
		taken += w.taken
	})
	t.Logf("%d takeovers", taken)
}

// run plays one seed and returns the number of takeovers and the violation.
func run(seed uint64, f faults, steps int) (int, error) {
	rng := rand.New(rand.NewPCG(seed, 1))
	w := newWorld(rng.IntN, f)
	for range steps {
		if w.step(); w.err != nil {
			return w.taken, w.err
		}
	}
	return w.taken, nil
}

func TestRandomRunsTakeTheLease(t *testing.T) {
	for name, f := range map[string]faults{"new identities": {}, "old identities": {amnesia: true}} {
		taken := 0
		for seed := range uint64(600) {
			n, err := run(seed, f, 1800)
			require.NoError(t, err, "seed %d", seed)
			taken += n
		}
		t.Logf("%s: %d takeovers in 600 runs", name, taken)
		require.Greater(t, taken, 1800)
	}
}

func TestEachRuleIsNeeded(t *testing.T) {
	for name, f := range map[string]faults{
		"start wait": {noStartWait: true, amnesia: true},
		"settling":   {noSettling: true, amnesia: true},
		"margin":     {noMargin: true, amnesia: true},
		"claims":     {noSettling: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5000) {
				if _, err := run(seed, f, 1500); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("no violation found")
		})
	}
}
