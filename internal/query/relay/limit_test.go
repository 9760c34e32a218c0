package relay_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/conf/routes"
	"github.com/samphirestair/samphirestair/internal/owner/notice"
	"github.com/samphirestair/samphirestair/internal/query/relay"
)

// Bounds on the requests to a server that names a limit, from the platform's rules: a
// VM has to obey a limit limitDelay after it learned of it, and all VMs together may send
// limitFactor times the limit plus limitSlack in any limitWindow.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	limitDelay  = 500 * time.Millisecond
)

// limitedLoad is a load of lookups on a service of two servers, of which one names a
// limit in its answers from the start.
type limitedLoad struct {
	vms   int
	limit notice.Limit
	// perSecond is the number of lookups per second, and firstShare the share of them that
	// the first VM gets.
	perSecond, firstShare float64
	// idle is a time in which no lookups arrive, halfway through the load.
	idle   time.Duration
	length time.Duration
}

// play returns the times of the requests to the limited server that count.
func (l *limitedLoad) play(t *testing.T) (arrivals []time.Time) {
	t.Helper()
	fleet := make([]*cluster, l.vms)
	for i := range fleet {
		fleet[i] = newCluster(t, 1, 0)
		fleet[i].serving = servingView(l.vms)
	}
	random := rand.New(rand.NewPCG(7, 7))
	limited := fleet[0].replicas[shardName(0)][0].Process()
	told := map[int]time.Time{}
	for at := time.Duration(0); at < l.length; at += time.Duration(random.ExpFloat64() / l.perSecond * float64(time.Second)) {
		if at > l.length/2 && at < l.length/2+l.idle {
			continue
		}
		now, vm := start.Add(at), 0
		if random.Float64() >= l.firstShare {
			vm = random.IntN(l.vms)
		}
		q, sends := fleet[vm].arrive(lookupRoute(true), int(at.Milliseconds()))
		for _, s := range sends {
			if s.Replica.Process() == limited {
				if since, known := told[vm]; known && now.Sub(since) >= limitDelay {
					arrivals = append(arrivals, now)
				}
				fleet[vm].env.Notices.Observe(now.Add(10*time.Millisecond), limited, notice.Notice{Limit: coll.Some(l.limit)})
				if _, known := told[vm]; !known {
					told[vm] = now
				}
			}
			q.HandleReply(now.Add(10*time.Millisecond), s.Shard, s.Attempt, served)
		}
	}
	return arrivals
}

// Guards against VMs that ignore the limit that a backend server names in its answers, or
// that each use up the whole limit.
func TestFleetKeepsToTheLimitOfAServer(t *testing.T) {
	for name, load := range map[string]limitedLoad{
		"callers spread evenly":         {vms: 9, limit: 15, perSecond: 90},
		"most callers at one VM":        {vms: 9, limit: 15, perSecond: 90, firstShare: 0.8},
		"one VM":                        {vms: 1, limit: 15, perSecond: 90},
		"limit below one per VM":        {vms: 23, limit: 3, perSecond: 200},
		"limit below one":               {vms: 9, limit: 0.5, perSecond: 90},
		"limit of nothing":              {vms: 9, limit: 0, perSecond: 90},
		"burst after an idle time":      {vms: 9, limit: 15, perSecond: 90, idle: 10 * time.Second},
		"burst below one per VM, idle":  {vms: 23, limit: 2, perSecond: 400, idle: 15 * time.Second},
		"many VMs, burst after an idle": {vms: 40, limit: 12, perSecond: 400, idle: 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			load.length = 40 * time.Second
			arrivals := load.play(t)
			allowed := limitFactor*float64(load.limit)*limitWindow.Seconds() + limitSlack
			for i, at := range arrivals {
				in := 0
				for _, earlier := range arrivals[:i+1] {
					if at.Sub(earlier) < limitWindow {
						in++
					}
				}
				require.LessOrEqual(t, float64(in), allowed, "%v after the start", at.Sub(start))
			}
		})
	}
}

// limitServers makes the servers of a shard name a limit.
func (c *cluster) limitServers(shard int, limit notice.Limit) {
	for _, r := range c.replicas[shardName(shard)] {
		c.env.Notices.Observe(start, r.Process(), notice.Notice{Limit: coll.Some(limit)})
	}
}

// arrive starts a request that arrives ms after the start.
func (c *cluster) arrive(route *routes.Route, ms int) (*relay.Query, []relay.Send) {
	request := requestTo(route)
	request.Arrived, request.Deadline = after(ms), after(ms).Add(route.Timeout)
	return relay.New(c.env, request, after(ms))
}

// Guards against requests that all wait for the same free moment of a server: those that
// lose would wait again and fail in the end.
func TestLookupsWaitInOrderForALimitedServer(t *testing.T) {
	c := newCluster(t, 1, 0)
	c.replicas[shardName(0)] = c.replicas[shardName(0)][:1]
	c.limitServers(0, 120) // 20 for each of six VMs
	_, sends := c.arrive(lookupRoute(false), 60)
	require.Len(t, sends, 1)
	first, sends := c.arrive(lookupRoute(false), 60)
	require.Empty(t, sends)
	require.Equal(t, after(110), first.Next())
	second, sends := c.arrive(lookupRoute(false), 61)
	require.Empty(t, sends)
	require.Equal(t, after(160), second.Next())

	refused, sends := c.arrive(lookupRoute(false), 62)
	require.Empty(t, sends)
	require.Equal(t, relay.Refused, outcome(t, refused).Verdict)
	require.GreaterOrEqual(t, outcome(t, refused).RetryAfter, 148*time.Millisecond, "the queue before it")

	_, sends = c.arrive(lookupRoute(false), 110)
	require.Empty(t, sends, "a later request must not take the reserved rate")
	require.Len(t, first.Tick(after(110)), 1)
	require.Len(t, second.Tick(after(160)), 1)
}

// A search that can't be served must not take from the rates of the servers that it would
// need: other searches could use them.
func TestRefusedSearchTakesNoRate(t *testing.T) {
	c := newCluster(t, 4, 0)
	for shard := range 3 {
		c.limitServers(shard, 6)
	}
	c.limitServers(3, 0.6)
	for range 3 {
		q, sends := c.arrive(searchRoute(4, 1), 2000)
		require.Empty(t, sends)
		require.Equal(t, relay.Refused, outcome(t, q).Verdict)
	}
	_, sends := c.arrive(searchRoute(4, 0.75), 2000)
	require.Len(t, sends, 3)
}

// Guards against a shard that fails at once because its only server without a limit has no
// free connection for a moment, and its other server is at its limit.
func TestShardWaitsForAConnectionIfItsOtherServerIsAtItsLimit(t *testing.T) {
	c := newCluster(t, 1, 10)
	limited := c.replicas[shardName(0)][0]
	c.env.Notices.Observe(start, limited.Process(), notice.Notice{Limit: coll.Some(notice.Limit(0.6))})
	q, sends := c.arrive(lookupRoute(true), 2000)
	require.Len(t, sends, 1)
	require.NotEqual(t, limited.ID, sends[0].Replica.ID)
	sends, _ = q.HandleReply(after(2001), 0, 0, relay.Reply{Kind: relay.Unsent})
	require.Empty(t, sends)
	_, decided := q.Outcome()
	require.False(t, decided)
	require.Len(t, q.Tick(q.Next()), 1)
}
