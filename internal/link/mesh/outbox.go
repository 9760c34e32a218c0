package mesh

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/plat/httpc"
)

// errStatus means that the receiver refused a batch.
var errStatus = errors.New("mesh: batch refused")

// outbox collects the messages to one VM. It keeps a bounded number of
// transfers under way; what arrives meanwhile leaves with the next one.
type outbox struct {
	mesh *Mesh
	vm   ident.VMID
	addr string

	client *fasthttp.HostClient

	mu       sync.Mutex
	pending  msgs.Batch
	underway int
}

func newOutbox(m *Mesh, to view.Member) *outbox {
	return &outbox{
		mesh: m,
		vm:   to.Process.VM,
		addr: to.Peer,
		client: &fasthttp.HostClient{
			Addr:                          to.Peer,
			MaxConns:                      m.options.Transfers + 1,
			MaxIdemponentCallAttempts:     1,
			RetryIfErr:                    httpc.NeverRetry,
			ReadTimeout:                   m.options.Timeout,
			WriteTimeout:                  m.options.Timeout,
			MaxIdleConnDuration:           idleConnection,
			DisableHeaderNamesNormalizing: true,
			NoDefaultUserAgentHeader:      true,
			Dial: func(addr string) (net.Conn, error) {
				return m.dial(addr, m.options.Timeout)
			},
		},
	}
}

// add appends messages and starts a transfer if one is free.
func (o *outbox) add(appendTo func(*msgs.Batch)) {
	o.mu.Lock()
	appendTo(&o.pending)
	start := o.underway < o.mesh.options.Transfers
	if start {
		o.underway++
	}
	o.mu.Unlock()
	if start {
		go o.transfer()
	}
}

// transfer sends batches until nothing is pending.
func (o *outbox) transfer() {
	for {
		batch, ok := o.take()
		if !ok {
			return
		}
		o.send(&batch)
	}
}

func (o *outbox) take() (msgs.Batch, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	batch := o.pending
	if len(batch.Queries)+len(batch.Replies)+len(batch.Cancels) == 0 {
		o.underway--
		return batch, false
	}
	o.pending = msgs.Batch{}
	return batch, true
}

func (o *outbox) send(batch *msgs.Batch) {
	sent, err := o.post(batch)
	if err == nil {
		return
	}
	o.client.CloseIdleConnections()
	o.mesh.failures.Inc()
	for _, q := range batch.Queries {
		o.mesh.replies.HandleLost(o.vm, q, sent)
	}
	if !sent || len(batch.Replies)+len(batch.Cancels) == 0 {
		return
	}
	again := msgs.Batch{Replies: batch.Replies, Cancels: batch.Cancels}
	if _, err := o.post(&again); err != nil {
		o.mesh.failures.Inc()
	}
}

// post transfers one batch. sent is false if the batch certainly did not reach
// the receiver.
func (o *outbox) post(batch *msgs.Batch) (sent bool, err error) {
	batch.From = string(o.mesh.self.VM)
	batch.Incarnation = uint64(o.mesh.self.Incarnation)
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	body, err := batch.MarshalMsg(req.Body()[:0])
	if err != nil {
		return false, errors.Wrap(err, "mesh: encode")
	}
	req.SetBodyRaw(body)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(batchPath)
	req.Header.SetHost(o.addr)
	o.mesh.batches.Inc()
	o.mesh.bytes.Add(len(body))
	if err := o.client.DoDeadline(req, resp, time.Now().Add(o.mesh.options.Timeout)); err != nil {
		return !isDialFailure(err), errors.Wrap(err, "mesh: transfer")
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return false, errors.Wrapf(errStatus, "status %d", resp.StatusCode())
	}
	return true, nil
}

// dialError marks a connection that could not be opened.
type dialError struct{ error }

// Unwrap returns the cause.
func (e dialError) Unwrap() error { return e.error }

func isDialFailure(err error) bool {
	var failure dialError
	return errors.As(err, &failure) || errors.Is(err, fasthttp.ErrNoFreeConns)
}
