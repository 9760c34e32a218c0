package pool

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/owner/notice"
)

const (
	// readBuffer holds the headers of an answer.
	readBuffer = 4096
	// inlineBody is the size up to which a body is written together with the
	// headers. Longer ones are written on a goroutine of their own, because the
	// backend server may answer before it has read them.
	inlineBody = 2048
	// writeTimeout bounds the writing of a short request, which a healthy
	// connection takes at once.
	writeTimeout = 500 * time.Millisecond
	// leavingValue is that of the header by which a backend server says that it leaves.
	leavingValue = "1"
	// idleMargin is kept from the time after which the backend server closes an
	// idle connection.
	idleMargin = 700 * time.Millisecond
)

// conn is one connection. Its reader goroutine also notices when the backend
// server closes it, or sends what nobody asked for.
type conn struct {
	pool   *Pool
	server *server
	nc     net.Conn
	br     *bufio.Reader
	// idleUntil and keepFor are guarded by the server's mutex while the
	// connection is idle.
	idleUntil time.Time
	keepFor   time.Duration

	mu   sync.Mutex
	call *Call
	// last is the id of the request before. A second, late answer to it would be taken as
	// the answer to the same request sent once more.
	last string
	// closed is set when the connection ended while it was idle.
	closed bool
}

func newConn(p *Pool, srv *server, nc net.Conn) *conn {
	return &conn{pool: p, server: srv, nc: nc, br: bufio.NewReaderSize(nc, readBuffer), keepFor: p.options.Idle}
}

// close ends the connection. Its failure changes nothing: the reader ends in
// any case.
func (c *conn) close() {
	_ = c.nc.Close()
}

// start sends the request of call. It returns false, and sends nothing, if the
// connection has ended meanwhile.
func (c *conn) start(call *Call) bool {
	isShort := len(call.message.Body) <= inlineBody
	if isShort {
		call.writing.Add(1)
		defer call.writing.Done()
	}
	if !c.assign(call) {
		return false
	}
	if !call.setConn(c) {
		c.close()
		return true
	}
	head := c.encode(call)
	if !isShort {
		go c.write(call, head, call.message.Body, time.Until(call.deadline))
		return true
	}
	c.write(call, append(head, call.message.Body...), nil, writeTimeout)
	return true
}

func (c *conn) assign(call *Call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	if c.last != "" && c.last == call.message.ID {
		c.close()
		return false
	}
	c.call, c.last = call, call.message.ID
	return true
}

func (c *conn) encode(call *Call) []byte {
	m, names := call.message, &c.pool.options.Names
	buffer := make([]byte, 0, len(m.Head)+len(m.Body)%(inlineBody+1)+128)
	buffer = append(buffer, m.Head...)
	buffer = append(append(buffer, names.Deadline...), ": "...)
	buffer = strconv.AppendInt(buffer, max(time.Until(call.deadline).Milliseconds(), 1), 10)
	buffer = append(append(append(buffer, "\r\n"...), names.ExpectedServer...), ": "...)
	buffer = append(buffer, c.server.target.ID...)
	return append(buffer, "\r\n\r\n"...)
}

// write sends head and body. A failure closes the connection, which ends the
// reader and so the call.
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

// serveIdle keeps a connection that was opened without a request.
func (c *conn) serveIdle() {
	c.idleUntil = time.Now().Add(c.keepFor)
	if !c.server.put(c) {
		c.close()
	}
	c.readAnswers()
}

// readAnswers reads answers until the connection is closed.
func (c *conn) readAnswers() {
	defer c.pool.release(c.server)
	defer c.close()
	for {
		_, err := c.br.Peek(1)
		call := c.currentOrClose()
		if call == nil {
			c.server.forget(c)
			return
		}
		if err != nil {
			c.pool.broken.Inc()
			call.finish(Result{Fate: Broken, Reason: "no answer: " + err.Error()})
			return
		}
		if !c.readAnswer(call) {
			return
		}
	}
}

// currentOrClose returns the call that waits for an answer. If there is none,
// the connection takes no further call.
func (c *conn) currentOrClose() *Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = c.call == nil
	return c.call
}

// readAnswer reads the answer to call and reports whether the connection stays
// open. The connection is idle again before the outcome is told.
func (c *conn) readAnswer(call *Call) bool {
	response := fasthttp.AcquireResponse()
	response.Header.DisableNormalizing()
	response.SkipBody = call.message.NoBody
	if err := response.ReadLimitBody(c.br, c.pool.options.MaxBody); err != nil {
		fasthttp.ReleaseResponse(response)
		c.pool.broken.Inc()
		call.finish(Result{Fate: Broken, Reason: "unusable answer: " + err.Error()})
		return false
	}
	result, keepFor, err := c.interpret(call, response)
	if err != nil {
		fasthttp.ReleaseResponse(response)
		c.pool.broken.Inc()
		call.finish(Result{Fate: Broken, Reason: err.Error()})
		return false
	}
	// The answer to a short request may be read before its writer goes on.
	call.writing.Wait()
	reusable := !response.ConnectionClose() && c.br.Buffered() == 0 && call.isWritten()
	if reusable {
		reusable = c.rest(keepFor)
	}
	call.finish(result)
	return reusable
}

// rest makes the connection idle.
func (c *conn) rest(keepFor time.Duration) bool {
	c.mu.Lock()
	c.call = nil
	c.mu.Unlock()
	if keepFor > 0 {
		c.keepFor = keepFor
	}
	c.idleUntil = time.Now().Add(c.keepFor)
	if !c.server.put(c) {
		return false
	}
	c.pool.serveWaiting(c.server)
	return true
}

// interpret reads the headers that concern the tier. It fails if the answer
// belongs to another request.
func (c *conn) interpret(call *Call, response *fasthttp.Response) (result Result, keepFor time.Duration, err error) {
	names := &c.pool.options.Names
	result.Response = response
	notRun, foreign := false, false
	for key, value := range response.Header.All() {
		switch name := string(key); {
		case strings.EqualFold(name, names.RequestID):
			foreign = string(value) != call.message.ID
		case strings.EqualFold(name, names.Signature):
			result.Signature = string(value)
		case strings.EqualFold(name, names.NotRun):
			notRun = true
		case strings.EqualFold(name, names.Load):
			result.readLoad(string(value))
		case strings.EqualFold(name, names.Leaving):
			result.Leaving = string(value) == leavingValue
		case strings.EqualFold(name, "Retry-After"):
			result.RetryAfter = seconds(string(value))
		case strings.EqualFold(name, "Keep-Alive"):
			keepFor = keepTime(string(value))
		}
	}
	status := response.StatusCode()
	result.Status = status
	result.Misdirected = status == fasthttp.StatusMisdirectedRequest
	c.post(status, &result)
	if foreign {
		return Result{}, 0, errors.New("answer belongs to another request")
	}
	if notRun || result.Misdirected {
		result.Fate = NotRun
		result.Reason = "server refused with status " + strconv.Itoa(status)
	}
	return result, keepFor, nil
}

// post notes what the backend server says of itself. The server that says that a request
// is misdirected is another one.
func (c *conn) post(status int, result *Result) {
	if result.Misdirected {
		result.Leaving = false
		return
	}
	n := notice.Notice{Leaving: result.Leaving}
	if status == fasthttp.StatusServiceUnavailable {
		n.Backoff = result.RetryAfter
	}
	c.pool.options.Tracker.Observe(time.Now(), c.server.target.process(), n)
}

// readLoad reads "running,waiting,slots". Other forms tell nothing.
func (r *Result) readLoad(text string) {
	fields := strings.Split(text, ",")
	if len(fields) != 3 {
		return
	}
	var numbers [3]int
	for i, field := range fields {
		n, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || n < 0 {
			return
		}
		numbers[i] = n
	}
	r.Running, r.Waiting, r.Slots = numbers[0], numbers[1], numbers[2]
}

// maxSeconds bounds the times that backend servers tell, so that they fit a Duration.
const maxSeconds = 1e6

// seconds reads a number of seconds. 0 means that none is told.
func seconds(text string) time.Duration {
	s, err := strconv.ParseFloat(text, 64)
	if err != nil || s < 0 {
		return 0
	}
	return time.Duration(min(s, maxSeconds) * float64(time.Second))
}

// keepTime reads the time for which the backend server keeps an idle
// connection from a Keep-Alive header, less a margin. 0 means that none is told.
func keepTime(text string) time.Duration {
	for _, field := range strings.Split(text, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if d := seconds(value); d > 0 {
			return max(d-idleMargin, d/4)
		}
	}
	return 0
}
