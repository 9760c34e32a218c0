// Package pool sends opaque HTTP requests to backend servers over keep-alive
// connections. Each result states whether the request certainly did not run. A
// connection on which an answer may still be pending is never reused.
package pool

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/budget"
	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/owner/notice"
)

// Target is the backend server that is to run a request.
type Target struct {
	ID      ident.ServerID
	Address string
	// Born distinguishes the processes that have used the same ID.
	Born int64
	// Connections is the maximum number of connections to the backend server.
	Connections int
}

// process returns the key of the target's notices.
func (t *Target) process() notice.Process {
	return notice.Process{ID: t.ID, Born: t.Born}
}

// Message is the part of a request that all its attempts share. It is immutable.
type Message struct {
	// ID is the request id that the caller chose. Answers repeat it in a header.
	ID string
	// Head holds the request line and the headers, each terminated by CRLF.
	Head []byte
	Body []byte
	// NoBody is set if answers have no body, as to a HEAD request.
	NoBody bool
	// OnEnd is called, on any goroutine, if it turns out after the result of an attempt that
	// the backend server's process ended while it had the request, or may have done so if certain
	// is false. shared is as in Result. OnEnd may be nil.
	OnEnd func(process notice.Process, shared int, certain bool)
}

// Outcome is how an attempt ended.
type Outcome uint8

// Outcomes of attempts.
const (
	// Answered means that a complete answer arrived.
	Answered Outcome = iota
	// NotRun means that the backend server answered that it did not run the
	// request.
	NotRun
	// Unsent means that nothing of the request left the process.
	Unsent
	// Unreachable means that no connection could be opened, so nothing was sent.
	Unreachable
	// Broken means that no usable answer arrived. The request was sent, at least in
	// part, and may have run.
	Broken
)

// String returns the name of the outcome in logs.
func (o Outcome) String() string {
	return [...]string{"answered", "not_run", "unsent", "unreachable", "broken"}[o]
}

// Result describes how an attempt ended.
type Result struct {
	Outcome Outcome
	// Reason explains every outcome except Answered.
	Reason string
	// Response is the answer to the request, or nil if none arrived. The receiver
	// owns it.
	Response *fasthttp.Response
	// Status is the HTTP status of the answer, or 0 if there is none.
	Status int
	// Signature is the value of the backend server's signature header.
	Signature string
	// Cancelled is set if the attempt was cancelled before it ended, while it waited for the
	// backend server.
	Cancelled bool
	// Gone is set if the process of the backend server has ended, and Ended if it did so while
	// it had the request, rather than before. MayHaveEnded is set if that is not known. Shared is
	// then the number of this VM's requests that it had, including this one.
	Gone, Ended, MayHaveEnded bool
	Shared                    int
	// Leaving is set if the backend server announced that it takes no new requests.
	Leaving bool
	// Misdirected is set if a different backend server answered at the address.
	Misdirected bool
	// RetryAfter is the time after which the backend server may accept requests again.
	RetryAfter time.Duration
	// Limit is the limit that the backend server named, or notice.Unlimited if its answer
	// names none. It is absent if there is no answer.
	Limit coll.Option[notice.Limit]
	// Running and Waiting count the requests of the backend server, and Slots those
	// that it can run at a time. Slots is 0 if the answer did not report the load.
	Running, Waiting, Slots int
	// Slowdown is how long work takes on the backend server, in percent of the usual, or 0 if
	// the answer did not tell.
	Slowdown int
	// held accounts for the memory of a long response. It is nil for others.
	held *budget.Holder
}

// Size returns the length of the body in bytes.
func (r *Result) Size() int {
	if r.Response == nil {
		return 0
	}
	return len(r.Response.Body())
}

// IsSignedSuccess reports whether the answer can be merged into the result of a search: it
// has a success status and the signature of the backend server.
func (r *Result) IsSignedSuccess() bool {
	return r.Outcome == Answered && r.IsSuccess() && r.Signature != ""
}

// IsSuccess reports whether the answer has a 2xx status.
func (r *Result) IsSuccess() bool {
	return r.Status >= 200 && r.Status < 300
}

// IsBodyOwned reports whether the body of the response stays valid after Release.
func (r *Result) IsBodyOwned() bool {
	return r.held != nil
}

// Release returns the response to its pool and gives back its memory. The result must not be
// used afterwards.
func (r *Result) Release() {
	r.held.Release()
	if r.Response != nil {
		fasthttp.ReleaseResponse(r.Response)
		r.Response = nil
	}
}
