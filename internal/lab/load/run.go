package load

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/samphirestair/samphirestair/internal/base/sleep"
)

// refreshInterval is the interval at which the expiry of the addresses is
// checked.
const refreshInterval = 50 * time.Millisecond

// Run sends the load until its duration has passed or ctx is done, waits for the
// requests in flight and returns the report. It returns an error if no entry VM
// returns addresses at the start.
func Run(ctx context.Context, options Options) (Report, error) {
	options = options.withDefaults()
	if len(options.Entries) == 0 || len(options.Mixes) == 0 {
		return Report{}, errors.New("load: addresses of entry VMs and services are required")
	}
	sender := newSender(options)
	directory := newDirectory(sender.http, options)
	if err := directory.refresh(); err != nil {
		return Report{}, err
	}
	c := &caller{
		options:   options,
		directory: directory,
		sender:    sender,
		collector: newCollector(options.Deadline),
	}
	elapsed := c.offer(ctx)
	sender.http.CloseIdleConnections()
	return c.collector.report(elapsed), c.collector.err
}

// offer sends the load while it keeps the addresses current, waits for all
// requests to end and returns how long sending took.
func (c *caller) offer(ctx context.Context) time.Duration {
	refreshing, stop := context.WithCancel(ctx)
	var group conc.WaitGroup
	group.Go(func() { c.keepRefreshing(refreshing) })
	begin := time.Now()
	c.sendAll(ctx, &group, begin)
	elapsed := time.Since(begin)
	stop()
	group.Wait()
	return elapsed
}

// sendAll starts each arrival's request at its time after begin, in a goroutine
// of the group. It doesn't wait for answers: the load is open-loop.
func (c *caller) sendAll(ctx context.Context, group *conc.WaitGroup, begin time.Time) {
	var inFlight atomic.Int64
	arrivals := newSchedule(c.options)
	for {
		next, ok := arrivals.next()
		if !ok || !sleepUntil(ctx, begin.Add(next.After)) {
			return
		}
		if inFlight.Load() >= int64(c.options.InFlight) {
			c.collector.countDropped()
			continue
		}
		inFlight.Add(1)
		group.Go(func() {
			defer inFlight.Add(-1)
			c.call(next, begin.Add(next.After))
		})
	}
}

// keepRefreshing requests new addresses whenever the cached ones have expired,
// until ctx is done.
func (c *caller) keepRefreshing(ctx context.Context) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			// On an error the old addresses stay in use until the next tick.
			_ = c.directory.refresh()
		}
	}
}

// sleepUntil sleeps until the given time. It returns false if ctx is done
// before.
func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	return sleep.For(ctx, wait)
}
