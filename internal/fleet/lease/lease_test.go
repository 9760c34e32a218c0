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

// disabledRules switches off rules of the protocol, to show that the simulation
// detects their absence. With keepIdentity some processes restart under the same
// incarnation, without their claims.
type disabledRules struct {
	keepIdentity   bool
	noStartDelay   bool
	dropPrevAtOnce bool
	noMargin       bool
}

// host is one VM with its own clock, which runs at the given rate.
type host struct {
	process ident.Process
	rate    float64
	voter   *lease.Voter
	holder  *lease.Holder
	config  lease.VoterConfig
	// paused hosts handle no messages, but their clocks advance.
	paused bool
}

type packet struct {
	from, to ident.Process
	request  lease.Request
	answer   *lease.Answer
	sent     time.Time
}

// simulation holds hosts that compete for the lease of one group over a network
// that loses, duplicates and reorders messages.
type simulation struct {
	draw          func(n int) int
	disabledRules disabledRules
	options       lease.Options
	now           time.Duration
	hosts         []*host
	network       []packet
	config        lease.VoterConfig
	ended         []ident.Process
	// claimed maps the keys of the records that reached a quorum to the time of
	// their claim, pending those in flight to the voters that granted them.
	claimed    map[string]time.Time
	pending    map[string]map[ident.Process]bool
	claimCount int
	acquired   int
	err        error
}

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSimulation(draw func(int) int, f disabledRules) *simulation {
	s := &simulation{draw: draw, disabledRules: f, claimed: map[string]time.Time{}, pending: map[string]map[ident.Process]bool{}}
	if f.noMargin {
		s.options.Margin = time.Nanosecond
	}
	for i := range 5 {
		h := &host{process: ident.Process{VM: ident.VMID(fmt.Sprint("vm", i)), Incarnation: 1}, rate: 0.98 + float64(draw(5))/100}
		s.hosts = append(s.hosts, h)
	}
	s.config = lease.VoterConfig{Epoch: 1, Voters: s.processes(0, 1, 2)}
	for _, h := range s.hosts {
		s.boot(h)
	}
	return s
}

func (s *simulation) processes(indexes ...int) []ident.Process {
	var list []ident.Process
	for _, i := range indexes {
		list = append(list, s.hosts[i].process)
	}
	return list
}

func (s *simulation) boot(h *host) {
	started := s.clock(h)
	if s.disabledRules.noStartDelay {
		started = started.Add(-time.Minute)
	}
	h.voter = lease.NewVoter(started, s.options)
	h.holder = lease.NewHolder(group, h.process, s.options)
	h.paused = false
	s.update(h)
}

func (s *simulation) clock(h *host) time.Time {
	return origin.Add(time.Duration(float64(s.now) * h.rate))
}

// update gives a host the current membership value.
func (s *simulation) update(h *host) {
	h.config = s.config
	h.voter.SetEpoch(group, s.config.Epoch)
	h.holder.SetVoterConfig(s.config, s.clock(h))
	for _, p := range s.ended {
		h.holder.MarkEnded(p, s.clock(h))
	}
}

func (s *simulation) step() {
	h := s.hosts[s.draw(len(s.hosts))]
	switch s.draw(40) {
	case 0, 1, 2, 3, 4, 5:
		s.now += time.Duration(s.draw(400)) * time.Millisecond
	case 6, 7, 8, 9, 10, 11, 12:
		s.tick(h)
	case 13:
		h.paused = !h.paused
	case 14, 15, 16:
		h.paused = false
		s.update(h)
	case 17, 18:
		s.changeVoters(h)
	case 19:
		s.restart(h)
	case 20, 21, 22:
		s.claim(h)
	default:
		for range 1 + s.draw(12) {
			s.deliver()
		}
	}
	s.checkHolders()
}

// tick lets a host start an attempt, renew or release the lease.
func (s *simulation) tick(h *host) {
	if h.paused {
		return
	}
	now := s.clock(h)
	h.holder.Expire(now)
	if !h.holder.Active() {
		if s.draw(3) != 0 {
			return
		}
		h.holder.Start()
	} else if s.draw(20) == 0 {
		s.broadcast(h, h.holder.Release())
		return
	}
	h.holder.SetHandoverState([]byte{byte(s.draw(100))})
	for _, to := range h.holder.Peers() {
		s.network = append(s.network, packet{from: h.process, to: to, request: h.holder.Request(to), sent: now})
	}
}

func (s *simulation) broadcast(h *host, r lease.Request) {
	for _, to := range h.holder.Peers() {
		s.network = append(s.network, packet{from: h.process, to: to, request: r, sent: s.clock(h)})
	}
}

func (s *simulation) claim(h *host) {
	if h.paused || !h.holder.Held(s.clock(h)) {
		return
	}
	s.claimCount++
	key := fmt.Sprint("key", s.claimCount)
	s.pending[key] = map[ident.Process]bool{}
	s.broadcast(h, h.holder.ClaimRequest(key, []byte(key), s.clock(h)))
}

// deliver delivers, loses or duplicates one random packet.
func (s *simulation) deliver() {
	if len(s.network) == 0 {
		return
	}
	i := s.draw(len(s.network))
	p := s.network[i]
	if s.draw(8) != 0 {
		s.network = slices.Delete(s.network, i, i+1)
	}
	at := slices.IndexFunc(s.hosts, func(h *host) bool { return h.process == p.to })
	if at < 0 || s.hosts[at].paused || s.draw(10) == 0 {
		return
	}
	h := s.hosts[at]
	if p.answer == nil {
		answer := h.voter.Handle(p.from, p.request, s.clock(h))
		s.network = append(s.network, packet{from: h.process, to: p.from, request: p.request, sent: p.sent, answer: &answer})
		return
	}
	s.receive(h, p)
}

func (s *simulation) receive(h *host, p packet) {
	now := s.clock(h)
	h.holder.Handle(p.from, p.request, *p.answer, p.sent, now)
	if h.holder.Check(now) == lease.Acquired {
		s.acquired++
		s.checkRecovered(h.holder.RecoverState(now))
	}
	if p.request.Kind != lease.Claim || p.answer.Refusal != lease.Granted || p.request.Term != h.holder.Term() {
		return
	}
	for key := range p.request.Claims {
		s.pending[key][p.from] = true
		if h.holder.Quorum(s.pending[key], now) && h.holder.Held(now) {
			s.claimed[key] = now
		}
	}
}

// changeVoters advances the membership value by one step: it drops the previous
// voters or chooses new ones.
func (s *simulation) changeVoters(h *host) {
	next := lease.VoterConfig{Epoch: s.config.Epoch + 1}
	switch {
	case len(s.config.Prev) > 0 && (s.disabledRules.dropPrevAtOnce || h.holder.VoterConfig().Epoch == s.config.Epoch && h.holder.CanDropPrev(s.clock(h))):
		next.Voters = s.config.Voters
	case len(s.config.Prev) > 0 || s.draw(3) != 0:
		return
	default:
		first := s.draw(5)
		next.Voters = s.processes(first, (first+1)%5, (first+2)%5)
		next.Prev = s.config.Voters
	}
	s.config = next
}

// restart restarts a host's process without its state, under a newer incarnation
// or, with keepIdentity, possibly under the same one.
func (s *simulation) restart(h *host) {
	if s.draw(3) != 0 {
		return
	}
	if !s.disabledRules.keepIdentity || s.draw(2) == 0 {
		s.ended = append(s.ended, h.process)
		h.process.Incarnation++
	}
	s.boot(h)
}

func (s *simulation) checkHolders() {
	var holders []ident.Process
	for _, h := range s.hosts {
		if h.holder.Held(s.clock(h)) {
			holders = append(holders, h.process)
		}
	}
	if len(holders) > 1 {
		s.err = fmt.Errorf("lease held by %v at %v", holders, s.now)
	}
}

func (s *simulation) checkRecovered(recovered lease.RecoveredState) {
	for key, at := range s.claimed {
		if _, ok := recovered.Claims[key]; !ok && recovered.CompleteSince.IsZero() && !s.disabledRules.keepIdentity {
			s.err = fmt.Errorf("claim %s of %v lost without notice, complete since %v", key, at, recovered.CompleteSince)
		}
	}
}

func TestNoTwoHoldersAndNoClaimLost(t *testing.T) {
	acquired := 0
	rapid.Check(t, func(rt *rapid.T) {
		choices := rapid.SliceOfN(rapid.Uint16(), 3000, 3000).Draw(rt, "choices")
		next := 0
		s := newSimulation(func(n int) int {
			next++
			return int(choices[next%len(choices)]) % n
		}, disabledRules{})
		for range 600 {
			s.step()
			require.NoError(rt, s.err)
		}
		acquired += s.acquired
	})
	t.Logf("lease acquired %d times", acquired)
}

// runSeed runs the simulation with one seed and returns the number of
// acquisitions and the first violation.
func runSeed(seed uint64, f disabledRules, steps int) (int, error) {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := newSimulation(rng.IntN, f)
	for range steps {
		if s.step(); s.err != nil {
			return s.acquired, s.err
		}
	}
	return s.acquired, nil
}

func TestRandomRunsAcquireTheLease(t *testing.T) {
	for name, f := range map[string]disabledRules{"new incarnations": {}, "same incarnations": {keepIdentity: true}} {
		acquired := 0
		for seed := range uint64(600) {
			n, err := runSeed(seed, f, 1800)
			require.NoError(t, err, "seed %d", seed)
			acquired += n
		}
		t.Logf("%s: lease acquired %d times in 600 runs", name, acquired)
		require.Greater(t, acquired, 1800)
	}
}

func TestSimulationDetectsAMissingRule(t *testing.T) {
	for name, f := range map[string]disabledRules{
		"start wait":               {noStartDelay: true, keepIdentity: true},
		"dropping previous voters": {dropPrevAtOnce: true, keepIdentity: true},
		"margin":                   {noMargin: true, keepIdentity: true},
		"claims":                   {dropPrevAtOnce: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5000) {
				if _, err := runSeed(seed, f, 1500); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("no violation found although the rule is off")
		})
	}
}
