package client

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/plat/bknd"
)

// Request is one request to a backend server.
type Request struct {
	// ID is unique among the requests that all owners of the server send to it.
	ID      string
	Kind    msgs.Kind
	Version ident.Version
	Shard   ident.Shard
	Action  string
	Key     string
	Body    []byte
	// Deadline bounds the wait for the answer. TimeLeft is the time that the server is
	// given in a header; less than a microsecond is sent as one.
	Deadline time.Time
	TimeLeft time.Duration
	// AnswerTimeout bounds the wait for the answer from when it is sent, 0 for none.
	AnswerTimeout time.Duration
}

// encodeRequest writes the request into the client's HTTP request.
func (c *Client) encodeRequest(r *Request) {
	c.req.Reset()
	c.req.SetRequestURI(c.uri + path(r.Kind))
	c.req.Header.SetMethod(fasthttp.MethodPost)
	header := &c.req.Header
	header.Set(bknd.HeaderRequest, r.ID)
	if r.Version != 0 {
		setUint(header, bknd.HeaderVersion, uint64(r.Version))
	}
	setUint(header, bknd.HeaderShard, uint64(r.Shard))
	setUint(header, bknd.HeaderDeadline, uint64(max(r.TimeLeft.Microseconds(), 1)))
	if r.Action != "" {
		header.Set(bknd.HeaderAction, r.Action)
	}
	if r.Key != "" {
		header.Set(bknd.HeaderKey, r.Key)
	}
	c.req.SetBodyRaw(r.Body)
}

// Cancel asks the server to cancel the request with the given id and reports whether the
// server acknowledged it by the deadline.
func (c *Client) Cancel(id string, deadline time.Time) bool {
	if !c.Connected() {
		return false
	}
	c.conn.begin(nil)
	c.req.Reset()
	c.req.SetRequestURI(c.uri + bknd.PathCancel)
	c.req.Header.SetMethod(fasthttp.MethodPost)
	c.req.Header.Set(bknd.HeaderRequest, id)
	a, err := c.exchange(deadline)
	a.held.Release()
	if err != nil {
		c.closeConn()
		return false
	}
	return c.resp.StatusCode() == fasthttp.StatusNoContent
}

func path(kind msgs.Kind) string {
	switch kind {
	case msgs.KindLookup:
		return bknd.PathLookup
	case msgs.KindAction:
		return bknd.PathAction
	default:
		return bknd.PathQuery
	}
}

func setUint(header *fasthttp.RequestHeader, name string, value uint64) {
	var buf [20]byte
	header.SetBytesV(name, strconv.AppendUint(buf[:0], value, 10))
}

// ServerHealth is a server's answer to a health check.
type ServerHealth struct {
	Boot ident.BootID
	// Maps is the value of bknd.HeaderMaps, the server's index maps.
	Maps  string
	State string
}

// Health performs a health check. ok is false if there was no usable answer by the deadline,
// or if the client is not connected.
func (c *Client) Health(deadline time.Time) (health ServerHealth, ok bool) {
	if !c.Connected() {
		return ServerHealth{}, false
	}
	c.conn.begin(nil)
	c.req.Reset()
	c.req.SetRequestURI(c.uri + bknd.PathHealth)
	c.req.Header.SetMethod(fasthttp.MethodGet)
	a, err := c.exchange(deadline)
	defer a.held.Release()
	if err != nil {
		c.closeConn()
		return ServerHealth{}, false
	}
	if c.resp.StatusCode() != fasthttp.StatusOK {
		return ServerHealth{}, false
	}
	health = ServerHealth{
		Boot:  ident.BootID(c.resp.Header.Peek(bknd.HeaderBoot)),
		Maps:  string(c.resp.Header.Peek(bknd.HeaderMaps)),
		State: fastjson.GetString(a.body, bknd.FieldState),
	}
	return health, health.State != ""
}
