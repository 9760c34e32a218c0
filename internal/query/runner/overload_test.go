package runner_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/routes"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
	"github.com/samphirestair/samphirestair/internal/owner/notice"
	"github.com/samphirestair/samphirestair/internal/owner/pool"
	"github.com/samphirestair/samphirestair/internal/query/admit"
	"github.com/samphirestair/samphirestair/internal/query/choose"
	"github.com/samphirestair/samphirestair/internal/query/hedge"
	"github.com/samphirestair/samphirestair/internal/query/relay"
	"github.com/samphirestair/samphirestair/internal/query/runner"
)

// Shape of the load: the searches of the small sites.
const (
	loadVMs      = 9
	loadShards   = 20
	loadReplicas = 2
	loadSlots    = 2
	loadQueue    = 4
	// oneWay is the time to a backend server.
	oneWay = 1200 * time.Microsecond
	// sweepWork and peekWork are the times of one sub-request, and peekPart is the
	// part of the searches that are peeks.
	sweepWork, peekWork = 11 * time.Millisecond, 3800 * time.Microsecond
	peekPart            = 0.25
	// capacity is the number of searches a second that keeps all slots busy.
	capacity = loadReplicas * loadSlots / ((1-peekPart)*0.011 + peekPart*0.0038)
)

var (
	sweep = &routes.Route{Name: "sweep", Host: "desk", Prefix: "/sweep/", Idempotent: true, Attempts: 2, Timeout: 600 * time.Millisecond, Goal: 100 * time.Millisecond, Rank: 1, Limit: 20, Coverage: 0.9, Shards: shards()}
	peek  = &routes.Route{Name: "peek", Host: "desk", Prefix: "/peek/", Idempotent: true, Attempts: 2, Timeout: 300 * time.Millisecond, Goal: 50 * time.Millisecond, Rank: 2, Limit: 5, Coverage: 0.75, Shards: shards()}
)

func shards() []ident.ServiceID {
	var all []ident.ServiceID
	for shard := range loadShards {
		all = append(all, ident.ServiceID(fmt.Sprint("s", shard)))
	}
	return all
}

// loadServer is a backend server in synthetic time.
type loadServer struct {
	mu      sync.Mutex
	running int
	waiting []func()
}

// take runs work now, later, or not at all.
func (s *loadServer) take(work time.Duration, ended func(), refused func(running, waiting int)) {
	s.mu.Lock()
	run := func() {
		time.AfterFunc(work, func() {
			ended()
			s.next()
		})
	}
	switch {
	case s.running < loadSlots:
		s.running++
		s.mu.Unlock()
		run()
	case len(s.waiting) < loadQueue:
		s.waiting = append(s.waiting, run)
		s.mu.Unlock()
	default:
		running, waiting := s.running, len(s.waiting)
		s.mu.Unlock()
		refused(running, waiting)
	}
}

func (s *loadServer) next() {
	s.mu.Lock()
	if len(s.waiting) == 0 {
		s.running--
		s.mu.Unlock()
		return
	}
	run := s.waiting[0]
	s.waiting = s.waiting[1:]
	s.mu.Unlock()
	run()
}

func (s *loadServer) load() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.waiting)
}

// cluster is a fleet of VMs over backend servers, without network.
type cluster struct {
	view    *roster.View
	servers map[ident.ServerID]*loadServer
	runners []*runner.Runner
	number  int
	mu      sync.Mutex
}

func newCluster(t *testing.T, share, slack float64) *cluster {
	t.Helper()
	c := &cluster{servers: map[ident.ServerID]*loadServer{}}
	var replicas []*roster.Replica
	for _, service := range sweep.Shards {
		for replica := range loadReplicas {
			id := ident.ServerID(fmt.Sprint(service, "-", replica))
			c.servers[id] = &loadServer{}
			replicas = append(replicas, &roster.Replica{Server: roster.Server{ID: id, Service: service, Slots: loadSlots}})
		}
	}
	table, err := routes.NewTable(&routes.Config{Version: 1, Routes: []routes.Route{*sweep, *peek}})
	require.NoError(t, err)
	c.view = roster.NewView(table, replicas, nil, nil)
	newChoice, err := choose.Policies.Lookup("expect")
	require.NoError(t, err)
	newBudget, err := hedge.Policies.Lookup("fleet")
	require.NoError(t, err)
	newAdmit, err := admit.Policies.Lookup("room")
	require.NoError(t, err)
	for range loadVMs {
		admission, ok := newAdmit(admit.Options{}).(admit.Queue)
		require.True(t, ok)
		env := &relay.Env{
			Replicas: func() relay.Replicas { return c.view },
			Choose:   newChoice(choose.Options{}),
			Budget:   newBudget(hedge.Options{Share: share, Slack: slack, Members: func() int { return loadVMs }}),
			Latency:  newBudget(hedge.Options{Quantile: 0.9, InitialDelay: 30 * time.Millisecond}),
			Health:   relay.NewHealth(),
			Notices:  notice.NewTracker(notice.Options{}),
			Cold:     relay.NewColdGate(func(*roster.Replica) float64 { return math.Inf(1) }, time.Now()),
			Options:  relay.Options{Partial: true}.WithDefaults(),
		}
		c.runners = append(c.runners, runner.New(runner.Deps{Env: env, Sender: c, Beliefs: c, Admit: admission, Metrics: metrics.NewSet()}))
	}
	return c
}

func (c *cluster) View() *roster.View { return c.view }

// Send implements runner.Sender. Its attempts can't be withdrawn, although their calls
// say so.
func (c *cluster) Send(target pool.Target, message *pool.Message, _ time.Time, _ bool, done func(pool.Result)) *pool.Call {
	server := c.servers[target.ID]
	work := sweepWork
	if message.ID[0] == 'p' {
		work = peekWork
	}
	work = time.Duration(float64(work) * math.Exp(0.35*rand.NormFloat64()))
	time.AfterFunc(oneWay, func() {
		server.take(work, func() {
			running, waiting := server.load()
			response := fasthttp.AcquireResponse()
			response.SetBodyString("0123456789abcdef")
			c.mu.Lock()
			c.number++
			signature := fmt.Sprint(c.number)
			c.mu.Unlock()
			time.AfterFunc(oneWay, func() {
				done(pool.Result{Status: 200, Response: response, Signature: signature, Running: running, Waiting: waiting, Slots: loadSlots})
			})
		}, func(running, waiting int) {
			time.AfterFunc(oneWay, func() {
				done(pool.Result{Fate: pool.NotRun, Reason: "full", Running: running, Waiting: waiting, Slots: loadSlots})
			})
		})
	})
	return &pool.Call{}
}

// outcome counts what became of the searches of one route.
type outcome struct {
	asked, served, inGoal, late, refused, failed int
	credit                                       float64
	// held is the longest time until a refusal.
	held time.Duration
	// why is its reason.
	why string
}

// share is the part of the searches that was served.
func (o *outcome) share() float64 {
	return float64(o.served) / float64(o.asked)
}

// offer sends searches at a multiple of the capacity for a time, and returns the
// outcomes of those after the first second by route. Callers try once more, as told.
func (c *cluster) offer(load float64, length time.Duration) map[*routes.Route]*outcome {
	outcomes := map[*routes.Route]*outcome{sweep: {}, peek: {}}
	var mu sync.Mutex
	var running conc.WaitGroup
	began := time.Now()
	for number := 0; time.Since(began) < length; number++ {
		time.Sleep(time.Duration(rand.ExpFloat64() / (load * capacity) * float64(time.Second)))
		route := sweep
		if rand.Float64() < peekPart {
			route = peek
		}
		counts := time.Since(began) > settleTime
		running.Go(func() {
			asked := time.Now()
			answer, held := c.ask(route, number)
			if answer.Verdict != relay.Success {
				time.Sleep(min(answer.RetryAfter, route.Timeout/3))
				answer, held = c.ask(route, number)
			}
			mu.Lock()
			defer mu.Unlock()
			if counts {
				outcomes[route].add(route, answer, held, time.Since(asked))
			}
		})
	}
	running.Wait()
	return outcomes
}

// settleTime is the time for which a load has to be borne before it is judged.
const settleTime = time.Second

// ask sends a search to a VM, and returns the answer and the time until it.
func (c *cluster) ask(route *routes.Route, number int) (runner.Answer, time.Duration) {
	asked := time.Now()
	answer := c.runners[rand.IntN(loadVMs)].Run(runner.Request{
		Message: &pool.Message{ID: fmt.Sprint(route.Name[:1], number)},
		Route:   route, Arrived: time.Now(), Overhead: 2 * time.Millisecond, Wait: route.Timeout,
		Gone: context.Background().Done(),
	})
	return answer, time.Since(asked)
}

func (o *outcome) add(route *routes.Route, answer runner.Answer, held, took time.Duration) {
	o.asked++
	switch {
	case answer.Verdict == relay.Refused && !strings.HasSuffix(answer.Reason, "nothing was sent"):
		o.refused++
		if held > o.held {
			o.held, o.why = held, answer.Reason
		}
	case answer.Verdict != relay.Success:
		o.failed++
	case took > route.Goal:
		o.late++
		o.served++
	default:
		o.inGoal++
		o.served++
		share := float64(loadShards-answer.Missing) / loadShards
		o.credit += share * share
	}
}

// goodput is the part of the time of all slots that went into the credit of both routes.
// A search counts by its work, since under overload the more important route gets a
// greater part of the slots, and its searches take longer.
func goodput(outcomes map[*routes.Route]*outcome, length time.Duration) float64 {
	work := outcomes[sweep].credit*sweepWork.Seconds() + outcomes[peek].credit*peekWork.Seconds()
	return work / (length - settleTime).Seconds() / (loadReplicas * loadSlots)
}

// Goals of a load beyond the capacity: the part of the best goodput that stays, the
// part of its goal within which a refusal comes, how much less often the more
// important route may be served, and the least part of the mean that each gets.
const (
	keptGoodput   = 0.95
	refusedWithin = 0.25
	rankSlack     = 0.05
	starvedShare  = 0.25
)

// Callers ask for up to three times what all backend servers bear: servers go on at
// their best, what they can't take is refused at once, and no route is starved.
func TestCallersAskForMoreThanServersBear(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { requireBearable(t, 0.18, 50, 6*time.Second) })
}

// Guards against an admission that relies on retries: full servers refuse attempts
// that the retry budget does not let go elsewhere, so that searches fail fast and
// others take their place.
func TestOverloadWithAScarceRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { requireBearable(t, 0.05, 5, 12*time.Second) })
}

// requireBearable offers up to three times the capacity to fleets with a retry budget,
// each load for a time.
func requireBearable(t *testing.T, share, slack float64, length time.Duration) {
	t.Helper()
	best := 0.0
	for _, load := range []float64{0.2, 0.5, 0.9, 2, 3} {
		o := newCluster(t, share, slack).offer(load, length)
		good := goodput(o, length)
		t.Logf("load %.2f: goodput %.2f, sweep %+v, peek %+v", load, good, *o[sweep], *o[peek])
		best = max(best, good)
		if load <= 0.5 {
			require.LessOrEqual(t, o[sweep].refused+o[peek].refused, (o[sweep].asked+o[peek].asked)/100, "refused though servers are free")
			continue
		}
		require.GreaterOrEqual(t, good, keptGoodput*best)
		require.GreaterOrEqual(t, o[sweep].share(), o[peek].share()-rankSlack)
		for route, one := range o {
			mean := (o[sweep].share() + o[peek].share()) / 2
			require.GreaterOrEqual(t, one.share(), starvedShare*mean)
			require.LessOrEqual(t, one.held, time.Duration(refusedWithin*float64(route.Goal)), one.why)
		}
	}
}
