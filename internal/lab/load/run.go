package load

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/samphirestair/samphirestair/internal/base/sleep"
)

// refreshInterval is the interval at which the age of the addresses is looked
// at.
const refreshInterval = 50 * time.Millisecond

// Run offers the load until it ends or ctx does, waits for the requests under
// way and returns the report. It fails if no entry VM tells its addresses at
// the start.
func Run(ctx context.Context, options Options) (Report, error) {
	options = options.withDefaults()
	if len(options.Entries) == 0 || len(options.Mixes) == 0 {
		return Report{}, errors.New("load: entries and services are required")
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

// offer sends the arrivals at their times and returns how long that took.
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

func (c *caller) sendAll(ctx context.Context, group *conc.WaitGroup, begin time.Time) {
	var inFlight atomic.Int64
	plan := newSchedule(c.options)
	for {
		next, ok := plan.next()
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

// keepFresh asks for addresses whenever the lifetime of the present ones is
// over.
func (c *caller) keepRefreshing(ctx context.Context) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			// Without an answer the old addresses stay in use.
			_ = c.directory.refresh()
		}
	}
}

// sleepUntil sleeps until the given time. It returns false if ctx ended
// before.
func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	return sleep.For(ctx, wait)
}
