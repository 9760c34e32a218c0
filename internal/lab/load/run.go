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
		report:    newCollector(options.Deadline),
	}
	length := c.offer(ctx)
	sender.http.CloseIdleConnections()
	return c.report.report(length), c.report.err
}

// offer sends the arrivals at their times and returns how long that took.
func (c *caller) offer(ctx context.Context) time.Duration {
	refreshing, stop := context.WithCancel(ctx)
	var group conc.WaitGroup
	group.Go(func() { c.keepFresh(refreshing) })
	begin := time.Now()
	c.sendAll(ctx, &group, begin)
	length := time.Since(begin)
	stop()
	group.Wait()
	return length
}

func (c *caller) sendAll(ctx context.Context, group *conc.WaitGroup, begin time.Time) {
	var underWay atomic.Int64
	plan := newSchedule(c.options)
	for {
		next, ok := plan.next()
		if !ok || !sleepUntil(ctx, begin.Add(next.After)) {
			return
		}
		if underWay.Load() >= int64(c.options.InFlight) {
			c.report.drop()
			continue
		}
		underWay.Add(1)
		group.Go(func() {
			defer underWay.Add(-1)
			c.call(next, begin.Add(next.After))
		})
	}
}

// keepFresh asks for addresses whenever the lifetime of the present ones is
// over.
func (c *caller) keepFresh(ctx context.Context) {
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
