package lane

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
	// ID is unique for the server among all requests of all owners.
	ID      string
	Kind    msgs.Kind
	Version ident.Version
	Shard   ident.Shard
	Action  string
	Key     string
	Body    []byte
	// Deadline bounds the wait. Budget is the time left that the server is
	// told.
	Deadline time.Time
	Budget   time.Duration
	// Silence bounds the wait for the answer, 0 for none.
	Silence time.Duration
}

// fill writes the request into the lane's HTTP request.
func (l *Lane) fill(r *Request) {
	l.req.Reset()
	l.req.SetRequestURI(l.uri + path(r.Kind))
	l.req.Header.SetMethod(fasthttp.MethodPost)
	header := &l.req.Header
	header.Set(bknd.HeaderRequest, r.ID)
	if r.Version != 0 {
		setUint(header, bknd.HeaderVersion, uint64(r.Version))
	}
	setUint(header, bknd.HeaderShard, uint64(r.Shard))
	setUint(header, bknd.HeaderDeadline, uint64(max(r.Budget.Microseconds(), 1)))
	if r.Action != "" {
		header.Set(bknd.HeaderAction, r.Action)
	}
	if r.Key != "" {
		header.Set(bknd.HeaderKey, r.Key)
	}
	l.req.SetBodyRaw(r.Body)
}

// Cancel asks the server to cancel the request with the given id and reports
// whether the server acknowledged it.
func (l *Lane) Cancel(id string, deadline time.Time) bool {
	if !l.Connected() {
		return false
	}
	l.conn.begin(nil)
	l.req.Reset()
	l.req.SetRequestURI(l.uri + bknd.PathCancel)
	l.req.Header.SetMethod(fasthttp.MethodPost)
	l.req.Header.Set(bknd.HeaderRequest, id)
	if err := l.client.DoDeadline(l.req, l.resp, deadline); err != nil {
		l.drop()
		return false
	}
	return l.resp.StatusCode() == fasthttp.StatusNoContent
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

// Claim is what a server says about itself when asked for its health.
type Claim struct {
	Boot ident.BootID
	// Maps is the text of bknd.HeaderMaps.
	Maps  string
	State string
}

// Health asks the server what it claims about its health. ok is false if there
// was no usable answer. The lane must be connected.
func (l *Lane) Health(deadline time.Time) (claim Claim, ok bool) {
	if !l.Connected() {
		return Claim{}, false
	}
	l.conn.begin(nil)
	l.req.Reset()
	l.req.SetRequestURI(l.uri + bknd.PathHealth)
	l.req.Header.SetMethod(fasthttp.MethodGet)
	if err := l.client.DoDeadline(l.req, l.resp, deadline); err != nil {
		l.drop()
		return Claim{}, false
	}
	if l.resp.StatusCode() != fasthttp.StatusOK {
		return Claim{}, false
	}
	claim = Claim{
		Boot:  ident.BootID(l.resp.Header.Peek(bknd.HeaderBoot)),
		Maps:  string(l.resp.Header.Peek(bknd.HeaderMaps)),
		State: fastjson.GetString(l.resp.Body(), bknd.FieldState),
	}
	return claim, claim.State != ""
}
