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

// Shape of the load, that of small sites.
const (
	loadVMs      = 9
	loadShards   = 20
	loadReplicas = 2
	loadSlots    = 2
	loadQueue    = 4
	// oneWay is the network delay to or from a backend server.
	oneWay = 1200 * time.Microsecond
	// sweepWork and peekWork are the mean service times of one sub-request, and
	// peekShare is the share of peeks among the searches.
	sweepWork, peekWork = 11 * time.Millisecond, 3800 * time.Microsecond
	peekShare           = 0.25
	// capacity is the number of searches per second that keeps all slots busy.
	capacity = loadReplicas * loadSlots / ((1-peekShare)*0.011 + peekShare*0.0038)
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

// loadServer is a simulated backend server.
type loadServer struct {
	mu      sync.Mutex
	running int
	waiting []func()
}

// submit runs work at once, after waiting in the queue, or not at all if the queue is
// full.
func (s *loadServer) submit(work time.Duration, completed func(), refused func(running, waiting int)) {
	s.mu.Lock()
	run := func() {
		time.AfterFunc(work, func() {
			completed()
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

// cluster is a fleet of VMs and backend servers without a network.
type cluster struct {
	view          *roster.View
	servers       map[ident.ServerID]*loadServer
	runners       []*runner.Runner
	lastSignature int
	mu            sync.Mutex
	// tenants holds the tenant of the callers of each route, if they have one.
	tenants map[*routes.Route]*routes.Tenant
}

// newCluster returns a fleet with the given retry budget and admission policy. If byTenant is set,
// the callers of each route are a tenant with the rank of the route.
func newCluster(t *testing.T, share, slack float64, policy string, byTenant bool) *cluster {
	t.Helper()
	c := &cluster{servers: map[ident.ServerID]*loadServer{}, tenants: map[*routes.Route]*routes.Tenant{}}
	config := &routes.Config{Version: 1, Routes: []routes.Route{*sweep, *peek}}
	if byTenant {
		for _, route := range []*routes.Route{sweep, peek} {
			tenant := routes.Tenant{Name: ident.TenantID(route.Name), Rank: route.Rank}
			config.Tenants = append(config.Tenants, tenant)
			c.tenants[route] = &tenant
		}
	}
	var replicas []*roster.Replica
	for _, service := range sweep.Shards {
		for replica := range loadReplicas {
			id := ident.ServerID(fmt.Sprint(service, "-", replica))
			c.servers[id] = &loadServer{}
			replicas = append(replicas, &roster.Replica{Server: roster.Server{ID: id, Service: service, Slots: loadSlots}})
		}
	}
	table, err := routes.NewTable(config)
	require.NoError(t, err)
	c.view = roster.NewView(table, replicas, nil, nil)
	newChoice, err := choose.Policies.Lookup("cost")
	require.NoError(t, err)
	newBudget, err := hedge.Policies.Lookup("fleet")
	require.NoError(t, err)
	newAdmit, err := admit.Policies.Lookup(policy)
	require.NoError(t, err)
	for range loadVMs {
		admission, ok := newAdmit(admit.Options{}).(admit.QueuingPolicy)
		require.True(t, ok)
		env := &relay.Env{
			Replicas: func() relay.Replicas { return c.view },
			Choose:   newChoice(choose.Options{}),
			Budget:   newBudget(hedge.Options{Share: share, Slack: slack, Members: func() int { return loadVMs }}),
			Latency:  newBudget(hedge.Options{Quantile: 0.9, InitialDelay: 30 * time.Millisecond}),
			Health:   relay.NewHealth(),
			Notices:  notice.NewTracker(notice.Options{}),
			Pace:     relay.NewPacer(func(time.Time, *roster.Replica) relay.Pace { return relay.Pace{Rate: math.Inf(1)} }, time.Now()),
			Options:  relay.Options{Partial: true}.WithDefaults(),
		}
		c.runners = append(c.runners, runner.New(runner.Deps{Env: env, Sender: c, Views: c, Admit: admission, Metrics: metrics.NewSet()}))
	}
	return c
}

func (c *cluster) View() *roster.View { return c.view }

// Send implements runner.Sender. Its attempts can't be cancelled, although their calls
// report that they were.
func (c *cluster) Send(target pool.Target, message *pool.Message, _ time.Time, _ bool, done func(pool.Result)) *pool.Call {
	server := c.servers[target.ID]
	work := sweepWork
	if message.ID[0] == 'p' {
		work = peekWork
	}
	work = time.Duration(float64(work) * math.Exp(0.35*rand.NormFloat64()))
	time.AfterFunc(oneWay, func() {
		server.submit(work, func() {
			running, waiting := server.load()
			response := fasthttp.AcquireResponse()
			response.SetBodyString("0123456789abcdef")
			c.mu.Lock()
			c.lastSignature++
			signature := fmt.Sprint(c.lastSignature)
			c.mu.Unlock()
			time.AfterFunc(oneWay, func() {
				done(pool.Result{Status: 200, Response: response, Signature: signature, Running: running, Waiting: waiting, Slots: loadSlots})
			})
		}, func(running, waiting int) {
			time.AfterFunc(oneWay, func() {
				done(pool.Result{Outcome: pool.NotRun, Reason: "full", Running: running, Waiting: waiting, Slots: loadSlots})
			})
		})
	})
	return &pool.Call{}
}

// outcome counts the results of the searches of one route.
type outcome struct {
	sent, served, inGoal, late, refused, failed int
	credit                                      float64
	// refusalTime is the longest time until a refusal.
	refusalTime time.Duration
	// refusalReason is the reason of that refusal.
	refusalReason string
}

// share returns the share of the searches that were served.
func (o *outcome) share() float64 {
	return float64(o.served) / float64(o.sent)
}

// offer sends searches at a multiple of the capacity, and returns the outcomes by route
// of those sent after settleTime. Callers retry once, after the delay that the refusal
// asks for.
func (c *cluster) offer(load float64, length time.Duration) map[*routes.Route]*outcome {
	outcomes := map[*routes.Route]*outcome{sweep: {}, peek: {}}
	var mu sync.Mutex
	var running conc.WaitGroup
	began := time.Now()
	for number := 0; time.Since(began) < length; number++ {
		time.Sleep(time.Duration(rand.ExpFloat64() / (load * capacity) * float64(time.Second)))
		route := sweep
		if rand.Float64() < peekShare {
			route = peek
		}
		counts := time.Since(began) > settleTime
		running.Go(func() {
			asked := time.Now()
			answer, elapsed := c.ask(route, number, route.Timeout)
			if answer.Verdict != relay.Success {
				time.Sleep(min(answer.RetryAfter, route.Timeout/3))
				answer, elapsed = c.ask(route, number, c.timeLeft(route, asked))
			}
			mu.Lock()
			defer mu.Unlock()
			if counts {
				outcomes[route].add(route, answer, elapsed, time.Since(asked))
			}
		})
	}
	running.Wait()
	return outcomes
}

// settleTime is the initial time of a load that isn't counted.
const settleTime = time.Second

// timeLeft returns how long a caller waits for its second attempt: with tenants, for what is left
// of its time, else as long as for the first one.
func (c *cluster) timeLeft(route *routes.Route, asked time.Time) time.Duration {
	if c.tenants[route] == nil {
		return route.Timeout
	}
	return route.Timeout - time.Since(asked)
}

// ask sends a search to a random VM. It returns the answer and the time until it.
func (c *cluster) ask(route *routes.Route, number int, wait time.Duration) (runner.Answer, time.Duration) {
	asked := time.Now()
	answer := c.runners[rand.IntN(loadVMs)].Run(runner.Request{
		Message: &pool.Message{ID: fmt.Sprint(route.Name[:1], number)},
		Route:   route, Tenant: c.tenants[route], Arrived: time.Now(), Overhead: 2 * time.Millisecond, Wait: wait,
		Gone: context.Background().Done(),
	})
	return answer, time.Since(asked)
}

func (o *outcome) add(route *routes.Route, answer runner.Answer, refusalTime, took time.Duration) {
	o.sent++
	switch {
	case answer.Verdict == relay.Refused && !strings.HasSuffix(answer.Reason, "nothing was sent"):
		o.refused++
		if refusalTime > o.refusalTime {
			o.refusalTime, o.refusalReason = refusalTime, answer.Reason
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

// goodput returns the share of the total slot time that went into the credit of both
// routes. Searches are weighted by their work: under overload the more important route
// gets a greater share of the slots, and its searches take longer.
func goodput(outcomes map[*routes.Route]*outcome, length time.Duration) float64 {
	work := outcomes[sweep].credit*sweepWork.Seconds() + outcomes[peek].credit*peekWork.Seconds()
	return work / (length - settleTime).Seconds() / (loadReplicas * loadSlots)
}

// Requirements for a load beyond the capacity: the share of the best goodput that has
// to remain, the share of its goal within which a search has to be refused, how much
// less often the more important route may be served, and the least share of the mean
// that each route gets.
const (
	minGoodputShare = 0.95
	maxRefusalShare = 0.25
	rankSlack       = 0.05
	minServedShare  = 0.25
)

// At up to three times the capacity, goodput stays near its best, excess searches are
// refused fast, and no route is starved.
func TestOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { requireGoodputUnderOverload(t, 0.18, 50, "room", false, 6*time.Second) })
}

// Guards against an admission policy that relies on retries: full servers refuse
// attempts, the retry budget denies their retries, so that searches fail fast and new
// ones take their place.
func TestOverloadWithSmallRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { requireGoodputUnderOverload(t, 0.05, 5, "room", false, 12*time.Second) })
}

// Guards against an order by tenant that costs goodput: the requirements hold with tenants too.
func TestOverloadByTenant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { requireGoodputUnderOverload(t, 0.18, 50, "fair", true, 6*time.Second) })
}

// requireGoodputUnderOverload offers up to three times the capacity to fleets with the
// given retry budget, each load for the given time.
func requireGoodputUnderOverload(t *testing.T, share, slack float64, policy string, byTenant bool, length time.Duration) {
	t.Helper()
	best := 0.0
	for _, load := range []float64{0.2, 0.5, 0.9, 2, 3} {
		o := newCluster(t, share, slack, policy, byTenant).offer(load, length)
		good := goodput(o, length)
		t.Logf("load %.2f: goodput %.2f, sweep %+v, peek %+v", load, good, *o[sweep], *o[peek])
		best = max(best, good)
		if load <= 0.5 {
			require.LessOrEqual(t, o[sweep].refused+o[peek].refused, (o[sweep].sent+o[peek].sent)/100, "refused although servers have free slots")
			continue
		}
		require.GreaterOrEqual(t, good, minGoodputShare*best)
		require.GreaterOrEqual(t, o[sweep].share(), o[peek].share()-rankSlack)
		for route, one := range o {
			mean := (o[sweep].share() + o[peek].share()) / 2
			require.GreaterOrEqual(t, one.share(), minServedShare*mean)
			require.LessOrEqual(t, one.refusalTime, time.Duration(maxRefusalShare*float64(route.Goal)), one.refusalReason)
		}
	}
}
