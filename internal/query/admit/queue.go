package admit

import (
	"sync"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

func init() {
	Policies.Register("queue", func(o Options) Policy {
		return &queue{options: o.withDefaults(), running: map[ident.ServiceID]int{}}
	})
}

// queueRetry is the time after which a refused caller may come back.
const queueRetry = 100 * time.Millisecond

// queue bounds the number of requests of a service and knows no classes.
type queue struct {
	options Options

	mu      sync.Mutex
	running map[ident.ServiceID]int
}

func (q *queue) Admit(_ time.Time, request Request) Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.running[request.Service] >= q.options.Concurrency {
		return refuse("too many requests", queueRetry)
	}
	q.running[request.Service]++
	return Decision{Admitted: true}
}

func (*queue) Observe(time.Time, ident.ServiceID, ident.Class, time.Duration, time.Duration) {}

func (q *queue) Done(_ time.Time, request Request, _ Outcome) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running[request.Service]--
}
