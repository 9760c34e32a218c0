package admit

import (
	"sync"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

func init() {
	Policies.Register("queue", func(o Options) Policy {
		return &fixedLimit{options: o.withDefaults(), running: map[ident.ServiceID]int{}}
	})
}

// fixedLimitRetryAfter is the time after which a refused caller may retry.
const fixedLimitRetryAfter = 100 * time.Millisecond

// fixedLimit limits the admitted requests of each service to Options.Concurrency,
// whatever their class.
type fixedLimit struct {
	options Options

	mu      sync.Mutex
	running map[ident.ServiceID]int
}

func (l *fixedLimit) Admit(_ time.Time, request Request) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running[request.Service] >= l.options.Concurrency {
		return refuse("too many requests", fixedLimitRetryAfter)
	}
	l.running[request.Service]++
	return Decision{Admitted: true}
}

func (*fixedLimit) Observe(time.Time, ident.ServiceID, ident.Class, time.Duration, time.Duration) {}

func (l *fixedLimit) Done(_ time.Time, request Request, _ Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running[request.Service]--
}
