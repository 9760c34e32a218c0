package relay_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/coll"
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
		request := requestTo(lookupRoute(true))
		request.Arrived, request.Deadline = now, now.Add(time.Second)
		q, sends := relay.New(fleet[vm].env, request, now)
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
