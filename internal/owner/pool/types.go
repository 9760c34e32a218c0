// Package pool sends opaque requests to backend servers over kept connections.
// It tells for each request whether it certainly did not run, and never uses a
// connection again on which an answer may still be due.
package pool

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/owner/notice"
)

// Target is the backend server that is to run a request.
type Target struct {
	ID      ident.ServerID
	Address string
	// Born tells processes of one ID apart.
	Born int64
	// Connections is the largest number of connections to it.
	Connections int
}

// process names the process of the target.
func (t *Target) process() notice.Process {
	return notice.Process{ID: t.ID, Born: t.Born}
}

// Message is a request without what differs between its attempts. It is
// immutable.
type Message struct {
	// ID is the caller's id of the request. Answers carry it.
	ID string
	// Head holds the request line and the headers, each ended by CRLF.
	Head []byte
	Body []byte
	// NoBody is set if answers have no body, as for HEAD.
	NoBody bool
}

// Fate says what became of one attempt.
type Outcome uint8

// Fates of attempts.
const (
	// Answered means that a whole answer arrived.
	Answered Outcome = iota
	// NotRun means that the backend server said that it did not run the
	// request.
	NotRun
	// Unsent means that nothing of the request left the process.
	Unsent
	// Unreachable means that no connection could be opened, so that nothing was
	// sent either.
	Unreachable
	// Broken means that the request was sent and may have run.
	Broken
)

// String returns the name of the fate in logs.
func (f Outcome) String() string {
	return [...]string{"answered", "not_run", "unsent", "unreachable", "broken"}[f]
}

// Result is the outcome of one attempt.
type Result struct {
	Outcome Outcome
	// Reason explains every fate but Answered.
	Reason string
	// Response is the whole answer if Fate is Answered, and nil otherwise. The
	// receiver owns it.
	Response *fasthttp.Response
	// Status is that of the answer, or 0 if there is none.
	Status int
	// Signature is that of the backend server.
	Signature string
	// Cancelled is set if the attempt was given up before it ended.
	Cancelled bool
	// Leaving is set if the backend server said that it takes no new requests.
	Leaving bool
	// Misdirected is set if another backend server has the address.
	Misdirected bool
	// RetryAfter is the time after which the backend server may take work.
	RetryAfter time.Duration
	// Running, Waiting and Slots describe the backend server. Slots is 0 if
	// they were not told.
	Running, Waiting, Slots int
}

// Size returns the length of the body in bytes.
func (r *Result) Size() int {
	if r.Response == nil {
		return 0
	}
	return len(r.Response.Body())
}

// IsPart reports whether the answer may be a part of a search: a success that is the
// backend server's own.
func (r *Result) IsSignedSuccess() bool {
	return r.Outcome == Answered && r.IsSuccess() && r.Signature != ""
}

// IsSuccess reports whether the status of the answer is one of success.
func (r *Result) IsSuccess() bool {
	return r.Status >= 200 && r.Status < 300
}

// Release returns the response to its pool. The result must not be used
// afterwards.
func (r *Result) Release() {
	if r.Response != nil {
		fasthttp.ReleaseResponse(r.Response)
		r.Response = nil
	}
}
