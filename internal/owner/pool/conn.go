package pool

import (
	"bufio"
	"math"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/budget"
	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/reply"
	"github.com/samphirestair/samphirestair/internal/owner/notice"
)

const (
	// readBufferSize is the size in bytes of a buffer that has to hold all headers of an
	// answer.
	readBufferSize = 4096
	// maxInlineBody is the size in bytes up to which a body is written together with the
	// headers. Longer ones are written by a separate goroutine, because the backend
	// server may answer before it has read them.
	maxInlineBody = 2048
	// writeTimeout bounds the time to write a short request, which a healthy connection
	// accepts immediately.
	writeTimeout = 500 * time.Millisecond
	// leavingValue is the header value with which a backend server announces that it leaves.
	leavingValue = "1"
	// idleMargin is how long before the backend server's idle timeout a connection is
	// closed.
	idleMargin = 700 * time.Millisecond
)

// conn is one connection. Its reader goroutine also detects when the backend server
// closes the connection or sends unsolicited data while it is idle.
type conn struct {
	pool   *Pool
	server *server
	nc     net.Conn
	br     *bufio.Reader
	// idleUntil, idleTimeout and proven are guarded by the server's mutex while the
	// connection is idle. proven is set once the process has answered on the connection.
	idleUntil   time.Time
	idleTimeout time.Duration
	proven      bool

	mu   sync.Mutex
	call *Call
	// lastID is the id of the most recent request. A retry of that request needs another
	// connection: a late duplicate answer to the first attempt would pass for its answer.
	lastID string
	// closed is set once the connection was closed while idle.
	closed bool
	// answersBefore is the number of the server's answers when the connection was opened, and
	// answered is set once this connection has carried one. Only the reader uses them.
	answersBefore int
	answered      bool
	// check is the check that the connection was opened for, or nil.
	check *endCheck
}

func newConn(p *Pool, srv *server, nc net.Conn) *conn {
	return &conn{pool: p, server: srv, nc: nc, br: bufio.NewReaderSize(nc, readBufferSize), idleTimeout: p.options.IdleTimeout, answersBefore: srv.answerCount()}
}

// close closes the connection. An error can be ignored: the reader goroutine ends in any
// case.
func (c *conn) close() {
	_ = c.nc.Close()
}

// start sends the request of call. It returns false, and sends nothing, if the connection
// is closed or must not carry this request.
func (c *conn) start(call *Call) bool {
	isShort := len(call.message.Body) <= maxInlineBody
	if isShort {
		call.writing.Add(1)
		defer call.writing.Done()
	}
	if !c.assign(call) {
		return false
	}
	c.server.countRequest(1)
	if !call.setConn(c) {
		c.close()
		return true
	}
	c.pool.options.Tracker.CountSent(c.server.target.process())
	c.pool.options.Reach.Sent(time.Now(), c.server.target.ID)
	head := c.encode(call)
	if !isShort {
		go c.write(call, head, call.message.Body, time.Until(call.deadline))
		return true
	}
	c.write(call, append(head, call.message.Body...), nil, writeTimeout)
	return true
}

// assign makes call the current one. It returns false if the connection is closed, and
// closes it if the previous request had the same id.
func (c *conn) assign(call *Call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	if c.lastID != "" && c.lastID == call.message.ID {
		c.close()
		return false
	}
	c.call, c.lastID = call, call.message.ID
	return true
}

// encode returns the request line and all headers, including those of this attempt.
func (c *conn) encode(call *Call) []byte {
	m, names := call.message, &c.pool.options.Names
	buffer := make([]byte, 0, len(m.Head)+len(m.Body)%(maxInlineBody+1)+128)
	buffer = append(buffer, m.Head...)
	buffer = append(append(buffer, names.Deadline...), ": "...)
	buffer = strconv.AppendInt(buffer, max(time.Until(call.deadline).Milliseconds(), 1), 10)
	buffer = append(append(append(buffer, "\r\n"...), names.ExpectedServer...), ": "...)
	buffer = append(buffer, c.server.target.ID...)
	return append(buffer, "\r\n\r\n"...)
}

// write sends head and body. An error closes the connection, which ends the reader and
// thereby the call.
func (c *conn) write(call *Call, head, body []byte, timeout time.Duration) {
	err := c.nc.SetWriteDeadline(time.Now().Add(timeout))
	if err == nil {
		_, err = c.nc.Write(head)
	}
	if err == nil && len(body) > 0 {
		_, err = c.nc.Write(body)
	}
	if err != nil {
		c.close()
		return
	}
	call.setWritten()
}

// serveIdle adds a connection without a request to the pool and reads from it.
func (c *conn) serveIdle() {
	c.idleUntil = time.Now().Add(c.idleTimeout)
	if !c.server.putIdle(c) && !c.watchOnly() {
		c.close()
	}
	c.readAnswers()
}

// watchOnly keeps a connection that was opened for a check until that is decided, although the
// server allows no more connections for requests. It returns false for others.
func (c *conn) watchOnly() bool {
	return c.check != nil && c.nc.SetReadDeadline(time.Now().Add(endWatchTime)) == nil
}

// readAnswers reads answers until the connection has to be closed, and closes it.
func (c *conn) readAnswers() {
	unanswered, err := c.readUntilClosed()
	c.close()
	if c.answered {
		c.server.removeProven()
	}
	c.pool.releaseSlot(c.server)
	c.concludeCheck(err)
	if unanswered != nil {
		c.pool.broken.Inc()
		lived := c.server.answerCount() > c.answersBefore
		c.pool.finishClosed(c.server, unanswered, lived, err)
		c.server.countRequest(-1)
	}
}

// readUntilClosed reads answers until the connection has to be closed. err is why nothing more
// can be read, or nil if this VM ends the connection. unanswered is the call whose answer could
// not be read to its end, or nil.
func (c *conn) readUntilClosed() (unanswered *Call, err error) {
	for {
		_, err := c.br.Peek(1)
		if err == nil {
			c.pool.options.Reach.Reached(time.Now(), c.server.target.ID)
		}
		call := c.currentOrClose()
		if call == nil {
			c.server.removeIdle(c)
			return nil, err
		}
		if err != nil {
			return call, errors.Wrap(err, "no answer")
		}
		isOpen, err := c.readAnswer(call)
		if err != nil {
			return call, err
		}
		if !isOpen {
			return nil, nil
		}
	}
}

// currentOrClose returns the call that waits for an answer. If there is none, it marks
// the connection as closed, so that it accepts no further call.
func (c *conn) currentOrClose() *Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = c.call == nil
	return c.call
}

// readAnswer reads the answer to call and reports whether the connection stays open. A
// reusable connection becomes idle before the result is reported. It does not end the call
// if it returns an error.
func (c *conn) readAnswer(call *Call) (isOpen bool, err error) {
	response := fasthttp.AcquireResponse()
	response.Header.DisableNormalizing()
	var held *budget.Holder
	err = reply.Read(response, c.br, reply.Options{MaxBody: c.pool.options.MaxBody, NoBody: call.message.NoBody, Reserve: func(size int) bool {
		if held == nil {
			held = c.pool.options.Budget.NewHolder(nil)
		}
		began := time.Now()
		ok := held.Reserve(budget.Answer, size, call.deadline)
		if time.Since(began) > budget.PromptTime {
			call.setHeldUp()
		}
		return ok
	}})
	if err != nil {
		held.Release()
		fasthttp.ReleaseResponse(response)
		return false, errors.Wrap(err, "unusable answer")
	}
	result, keepFor, err := c.parseHeaders(call, response)
	if err != nil {
		held.Release()
		fasthttp.ReleaseResponse(response)
		return false, err
	}
	result.held = held
	c.server.countRequest(-1)
	if !result.Misdirected {
		c.server.countAnswer(!c.answered)
		c.answered = true
	}
	// The answer to a short request may arrive before its write has returned.
	call.writing.Wait()
	reusable := !response.ConnectionClose() && c.br.Buffered() == 0 && call.isWritten()
	if reusable {
		reusable = c.makeIdle(keepFor)
	}
	call.finish(result)
	return reusable, nil
}

// makeIdle returns the connection to the pool and reports whether it stays open.
// idleTimeout replaces the connection's present one unless it is 0.
func (c *conn) makeIdle(idleTimeout time.Duration) bool {
	c.mu.Lock()
	c.call = nil
	c.mu.Unlock()
	if idleTimeout > 0 {
		c.idleTimeout = idleTimeout
	}
	c.idleUntil = time.Now().Add(c.idleTimeout)
	c.proven = true
	if !c.server.putIdle(c) {
		return false
	}
	c.pool.dispatchWaiting(c.server)
	return true
}

// parseHeaders reads the headers that the query tier uses. keepFor is the idle timeout
// that they state, or 0. It fails if the answer belongs to another request, or does not tell
// to which it belongs.
func (c *conn) parseHeaders(call *Call, response *fasthttp.Response) (result Result, keepFor time.Duration, err error) {
	names := &c.pool.options.Names
	result.Response = response
	result.Limit = coll.Some(notice.Unlimited)
	notRun, id := false, ""
	for key, value := range response.Header.All() {
		switch name := string(key); {
		case strings.EqualFold(name, names.RequestID):
			// A response that names several requests belongs to none of them.
			if id == "" || id == call.message.ID {
				id = string(value)
			}
		case strings.EqualFold(name, names.Signature):
			result.Signature = string(value)
		case strings.EqualFold(name, names.NotRun):
			notRun = true
		case strings.EqualFold(name, names.Load):
			result.parseLoad(string(value))
		case strings.EqualFold(name, names.Leaving):
			result.Leaving = string(value) == leavingValue
		case strings.EqualFold(name, names.Limit):
			result.Limit = c.parseLimit(string(value))
		case strings.EqualFold(name, "Retry-After"):
			result.RetryAfter = parseSeconds(string(value))
		case strings.EqualFold(name, "Keep-Alive"):
			keepFor = parseKeepAlive(string(value))
		}
	}
	result.Status = response.StatusCode()
	result.Misdirected = result.Status == fasthttp.StatusMisdirectedRequest
	if err := c.attribute(call, id, &result); err != nil {
		c.pool.unattributed.Inc()
		return Result{}, 0, err
	}
	if notRun || result.Misdirected {
		result.Outcome = NotRun
		result.Reason = "server refused the request with status " + strconv.Itoa(result.Status)
	}
	return result, keepFor, nil
}

// attribute checks that an answer that names the request id is the one to call, and records
// what it says about the backend server. An answer without an id is bytes of unknown origin,
// which say nothing.
func (c *conn) attribute(call *Call, id string, result *Result) error {
	if id == "" && call.message.ID != "" && !c.pool.options.AllowAnonymous {
		return errors.New("answer does not name its request")
	}
	mismatched := id != "" && id != call.message.ID
	if mismatched {
		// The answer to an earlier request may carry an outdated limit.
		result.Limit = coll.None[notice.Limit]()
	}
	c.recordNotice(result.Status, result)
	if mismatched {
		return errors.New("answer belongs to another request")
	}
	return nil
}

// recordNotice records in the tracker what the answer says about the backend server. A
// misdirected request was answered by a different server, so its answer says nothing.
func (c *conn) recordNotice(status int, result *Result) {
	if result.Misdirected {
		result.Leaving, result.Limit = false, coll.None[notice.Limit]()
		return
	}
	n := notice.Notice{Leaving: result.Leaving, Limit: result.Limit}
	if status == fasthttp.StatusServiceUnavailable {
		n.Backoff = result.RetryAfter
	}
	c.pool.options.Tracker.Observe(time.Now(), c.server.target.process(), n)
}

// maxSlowdown bounds the slowdown that is taken for one, in percent. Servers are known to
// report up to 300.
const maxSlowdown = 10_000

// parseLoad parses "running,waiting,slots" or "running,waiting,slots,slowdown", and ignores
// text of any other form.
func (r *Result) parseLoad(text string) {
	fields := strings.Split(text, ",")
	if len(fields) != 3 && len(fields) != 4 {
		return
	}
	var numbers [3]int
	for i, field := range fields[:3] {
		n, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || n < 0 {
			return
		}
		numbers[i] = n
	}
	r.Running, r.Waiting, r.Slots = numbers[0], numbers[1], numbers[2]
	if len(fields) == 4 {
		r.Slowdown = parseSlowdown(fields[3])
	}
}

// parseSlowdown returns a slowdown in percent, or 0 if the text is not a possible one.
func parseSlowdown(text string) int {
	percent, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(percent >= 1 && percent <= maxSlowdown) {
		return 0
	}
	return int(math.Round(percent))
}

// parseLimit parses a limit. Invalid text stands for the limit in force.
func (c *conn) parseLimit(text string) coll.Option[notice.Limit] {
	limit, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(limit) || math.IsInf(limit, 0) || limit < 0 {
		c.pool.options.Tracker.ReportUnreadableLimit(c.server.target.process(), text)
		return c.pool.options.Tracker.Get(time.Now(), c.server.target.process()).Limit
	}
	return coll.Some(notice.Limit(limit))
}

// maxSeconds bounds times in headers of backend servers, so that they fit a Duration.
const maxSeconds = 1e6

// parseSeconds parses a number of seconds. It returns 0 for invalid text.
func parseSeconds(text string) time.Duration {
	s, err := strconv.ParseFloat(text, 64)
	if err != nil || s < 0 {
		return 0
	}
	return time.Duration(min(s, maxSeconds) * float64(time.Second))
}

// parseKeepAlive returns the timeout in a Keep-Alive header less a margin, or 0 if the
// header has none.
func parseKeepAlive(text string) time.Duration {
	for _, field := range strings.Split(text, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if d := parseSeconds(value); d > 0 {
			return max(d-idleMargin, d/4)
		}
	}
	return 0
}
