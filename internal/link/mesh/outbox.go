package mesh

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/base/reply"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/plat/httpc"
)

// errStatus means that the receiver answered a batch with a status other than 200.
var errStatus = errors.New("mesh: batch refused")

// outbox batches the messages to one VM. A bounded number of transfers is in
// flight; messages added meanwhile are sent with the next one.
type outbox struct {
	mesh *Mesh
	vm   ident.VMID
	addr string

	client *fasthttp.HostClient

	mu        sync.Mutex
	pending   msgs.Batch
	transfers int
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
			MaxIdleConnDuration:           idleConnTimeout,
			DisableHeaderNamesNormalizing: true,
			NoDefaultUserAgentHeader:      true,
			Dial: func(addr string) (net.Conn, error) {
				return m.dial(addr, m.options.Timeout)
			},
		},
	}
}

// add calls appendTo on the pending batch, and starts a transfer if fewer than
// Options.Transfers are in flight.
func (o *outbox) add(appendTo func(*msgs.Batch)) {
	o.mu.Lock()
	appendTo(&o.pending)
	start := o.transfers < o.mesh.options.Transfers
	if start {
		o.transfers++
	}
	o.mu.Unlock()
	if start {
		go o.transfer()
	}
}

// transfer sends batches until nothing is pending.
func (o *outbox) transfer() {
	for {
		batch, ok := o.takePending()
		if !ok {
			return
		}
		o.send(&batch)
	}
}

func (o *outbox) takePending() (msgs.Batch, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	batch := o.pending
	if len(batch.Queries)+len(batch.Replies)+len(batch.Cancels) == 0 {
		o.transfers--
		return batch, false
	}
	o.pending = msgs.Batch{}
	return batch, true
}

// send transfers a batch, and releases its answers.
func (o *outbox) send(batch *msgs.Batch) {
	defer func() {
		for i := range batch.Replies {
			msgs.Release(batch.Replies[i].Answers)
		}
	}()
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
	retry := msgs.Batch{Replies: batch.Replies, Cancels: batch.Cancels}
	if _, err := o.post(&retry); err != nil {
		o.mesh.failures.Inc()
	}
}

// post transfers one batch. If it fails, sent is false if the receiver certainly
// did not process the batch.
func (o *outbox) post(batch *msgs.Batch) (sent bool, err error) {
	batch.From = string(o.mesh.self.VM)
	batch.Incarnation = uint64(o.mesh.self.Incarnation)
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	body, err := batch.MarshalMsg(req.Body()[:0])
	if err != nil {
		return false, errors.Wrap(err, "mesh: encode batch")
	}
	req.SetBodyRaw(body)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(batchPath)
	req.Header.SetHost(o.addr)
	o.mesh.batches.Inc()
	o.mesh.bytes.Add(len(body))
	if err := o.client.DoDeadline(req, resp, time.Now().Add(o.mesh.options.Timeout)); err != nil {
		return !isDialFailure(err), errors.Wrap(err, "mesh: transfer batch")
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return !reply.IsRefusal(resp.StatusCode()), errors.Wrapf(errStatus, "status %d", resp.StatusCode())
	}
	return true, nil
}

// dialError marks the failure to open a connection: nothing was sent.
type dialError struct{ error }

// Unwrap returns the wrapped error.
func (e dialError) Unwrap() error { return e.error }

func isDialFailure(err error) bool {
	var failure dialError
	return errors.As(err, &failure) || errors.Is(err, fasthttp.ErrNoFreeConns)
}
