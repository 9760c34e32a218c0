// Package watch polls the processes of a fleet for the configuration that is in
// force on them and records it in a history.
package watch

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/lab/trace"
	"github.com/samphirestair/samphirestair/internal/plat/httpc"
)

// Defaults of Options.
const (
	defaultInterval = 200 * time.Millisecond
	defaultTimeout  = time.Second
	defaultSection  = "config"
)

// Target is a process to poll. AdminAddress is the "ip:port" address of its
// admin listener.
type Target struct {
	VM           ident.VMID
	AdminAddress string
}

// Options configures Run. Targets is required. The zero values of Section,
// Interval and Timeout stand for the defaults; a nil Recorder discards events.
type Options struct {
	Targets []Target
	// Section is the section of the process's state dump that contains
	// "serial".
	Section string
	// Interval is the time between two polls of a process.
	Interval time.Duration
	// Timeout limits the duration of one poll.
	Timeout  time.Duration
	Recorder *trace.Recorder
}

func (o Options) withDefaults() Options {
	if o.Section == "" {
		o.Section = defaultSection
	}
	o.Interval = coll.Positive(o.Interval, defaultInterval)
	o.Timeout = coll.Positive(o.Timeout, defaultTimeout)
	return o
}

// Run polls the targets until ctx is done. A poll that fails records nothing;
// the process is polled again after the interval.
func Run(ctx context.Context, options Options) {
	options = options.withDefaults()
	client := &fasthttp.Client{Dial: func(address string) (net.Conn, error) { return httpc.Dial(address, options.Timeout) }}
	defer client.CloseIdleConnections()
	var group conc.WaitGroup
	for _, target := range options.Targets {
		w := &watcher{target: target, options: options, client: client}
		group.Go(func() { w.run(ctx) })
	}
	group.Wait()
}

// watcher polls one process.
type watcher struct {
	target  Target
	options Options
	client  *fasthttp.Client
}

func (w *watcher) run(ctx context.Context) {
	ticker := time.NewTicker(w.options.Interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		w.observe()
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// observe records the serial in force. The event has the time at which the
// request was sent, because the answer may describe the state at that time.
func (w *watcher) observe() {
	at := w.options.Recorder.Now()
	serial, err := w.fetchSerial()
	if err != nil {
		return
	}
	w.options.Recorder.Record(trace.Event{
		At:     at,
		Kind:   trace.KindConfig,
		Config: &trace.Config{VM: w.target.VM, Serial: serial},
	})
}

// stateSection is the part of the section that is decoded.
type stateSection struct {
	Serial uint64 `json:"serial"`
}

func (w *watcher) fetchSerial() (uint64, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + w.target.AdminAddress + "/state/" + w.options.Section)
	if err := w.client.DoTimeout(req, resp, w.options.Timeout); err != nil {
		return 0, errors.Wrap(err, "watch")
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return 0, errors.Newf("watch: status %d", resp.StatusCode())
	}
	var section stateSection
	if err := json.Unmarshal(resp.Body(), &section); err != nil {
		return 0, errors.Wrap(err, "watch: decode")
	}
	return section.Serial, nil
}
