package load

import (
	"encoding/json"
	"net"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/reply"
	"github.com/samphirestair/samphirestair/internal/lab/trace"
)

// Headers and paths of requests to entry VMs.
const (
	headerDeadline = "X-Deadline-Ms"
	headerClass    = "X-Caller-Class"
	headerRequest  = "X-Request-Id"
	headerKey      = "Idempotency-Key"
	headerMoveOn   = "X-Move-On"
	pathSearch     = "/v1/search/"
	pathLookup     = "/v1/lookup/"
	pathAction     = "/v1/action/"
)

const (
	dialTimeout = time.Second
	// idleTimeout is the time after which a caller closes an idle connection.
	idleTimeout = 5 * time.Second
	// maxConnections is the largest number of connections to one entry VM.
	maxConnections = 20000
	// maxAnswerBytes is the largest size of an answer's body.
	maxAnswerBytes = 8 << 20
)

// errDial is the error for connections that cannot be opened.
var errDial = errors.New("load: no connection")

// sender sends single attempts. It is safe for concurrent use.
type sender struct {
	http     *fasthttp.Client
	deadline time.Duration
	grace    time.Duration
}

func newSender(options Options) *sender {
	return &sender{http: newHTTP(), deadline: options.Deadline, grace: options.Grace}
}

// newHTTP returns a client whose connections end with an invalid response, which counts as a lost
// connection.
func newHTTP() *fasthttp.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &fasthttp.Client{
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnDuration: idleTimeout,
		MaxResponseBodySize: maxAnswerBytes,
		Dial: func(address string) (net.Conn, error) {
			conn, err := dialer.Dial("tcp", address)
			if err != nil {
				return nil, errors.Wrapf(errDial, "%v", err)
			}
			return reply.NewConn(conn), nil
		},
		RetryIfErr: func(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false },
	}
}

// send sends the attempt and returns the answer, or the reason of the failure.
// The failure is empty if there is a valid answer.
func (s *sender) send(attempt trace.Attempt) (answer, trace.Failure) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	s.fill(req, attempt)
	if err := s.http.DoTimeout(req, resp, s.deadline+s.grace); err != nil {
		return answer{}, failureOf(err)
	}
	a, err := parseAnswer(resp.Body())
	if err != nil {
		return answer{}, trace.FailureInvalidAnswer
	}
	a.moveOn = len(resp.Header.Peek(headerMoveOn)) > 0
	return a, ""
}

func (s *sender) fill(req *fasthttp.Request, attempt trace.Attempt) {
	req.SetRequestURI("http://" + attempt.Address + path(attempt))
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.Header.Set(headerDeadline, strconv.FormatInt(s.deadline.Milliseconds(), 10))
	req.Header.Set(headerRequest, attempt.ID)
	if attempt.Class != "" {
		req.Header.Set(headerClass, attempt.Class)
	}
	if attempt.Op == trace.OpAction {
		req.Header.Set(headerKey, attempt.Key)
	}
	req.SetBody(body(attempt))
}

func path(attempt trace.Attempt) string {
	service := url.PathEscape(string(attempt.Service))
	switch attempt.Op {
	case trace.OpSearch:
		return pathSearch + service
	case trace.OpLookup:
		return pathLookup + service + "/" + url.PathEscape(attempt.Key)
	default:
		return pathAction + service + "/" + url.PathEscape(attempt.Action)
	}
}

// queryBody is the body of a search.
type queryBody struct {
	Query string `json:"query"`
	Limit int    `json:"limit"`
}

func body(attempt trace.Attempt) []byte {
	if attempt.Op != trace.OpSearch {
		return []byte("{}")
	}
	data, err := json.Marshal(queryBody{Query: attempt.Query, Limit: attempt.Limit})
	if err != nil {
		panic(err)
	}
	return data
}

func failureOf(err error) trace.Failure {
	switch {
	case errors.Is(err, errDial), errors.Is(err, fasthttp.ErrNoFreeConns):
		return trace.FailureNoConnection
	case errors.Is(err, fasthttp.ErrTimeout):
		return trace.FailureTimeout
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return trace.FailureInvalidAnswer
	default:
		return trace.FailureConnectionLost
	}
}
