package runner

import (
	"bytes"
	"math"
	"math/bits"
	"strings"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/routes"
	"github.com/samphirestair/samphirestair/internal/owner/pool"
	"github.com/samphirestair/samphirestair/internal/query/relay"
)

// Request is one request of a caller.
type Request struct {
	Message *pool.Message
	Route   *routes.Route
	// Tenant is the tenant of the caller, or nil if there is none.
	Tenant *routes.Tenant
	// Key is the digest of the caller's key if there is a tenant.
	Key routes.KeyDigest
	// Service is the service that was picked if the request is not a search.
	Service ident.ServiceID
	Arrived time.Time
	// Overhead is the part of the caller's waiting time that is spent outside this VM:
	// before the request arrives, and until the caller has the answer.
	Overhead time.Duration
	// Wait is how long the caller waits for the answer, or 0 if it didn't say.
	Wait time.Duration
	// Gone is closed when nobody waits for the answer any more: the caller has left, or this
	// process stops.
	Gone <-chan struct{}
	// Host and Path are what the request was routed by.
	Host, Path string
	// Counted is set if another VM has counted the request towards the retry budgets.
	Counted bool
}

// Deadline returns the time by which the answer has to leave this VM.
func (r *Request) Deadline() time.Time {
	wait := r.Route.Timeout
	if r.Wait > 0 && r.Wait < wait {
		wait = r.Wait
	}
	return r.Arrived.Add(wait - min(r.Overhead+responseMargin, wait/4))
}

// tenantID returns the tenant of the caller, or an empty ID if there is none.
func (r *Request) tenantID() ident.TenantID {
	if r.Tenant == nil {
		return ""
	}
	return r.Tenant.Name
}

// kind tells requests of a route apart that probably differ in cost: by method, size of the
// body to a factor of 4, and number of path segments. These have few values, unlike
// the path itself.
func (r *Request) kind() uint64 {
	method, _, _ := bytes.Cut(r.Message.Head, []byte(" "))
	kind := uint64(len(method))
	if len(method) > 0 {
		kind = kind<<8 | uint64(method[0])
	}
	size := uint64(bits.Len(uint(len(r.Message.Body)))+1) / 2
	return kind<<16 | size<<8 | uint64(min(strings.Count(r.Path, "/"), math.MaxUint8))
}

// Answer is the answer to a request.
type Answer struct {
	relay.Outcome
	// Gone is set if Request.Gone was closed before there was an answer. Nothing else is
	// set then.
	Gone bool
	// Result is the backend server's answer if the request is not a search. The
	// receiver has to release it.
	Result pool.Result
	// Records holds the merged records of a search.
	Records []byte
	// Signatures holds the signatures of the parts of a search.
	Signatures []string
	// Unsent is set if the request was refused before any attempt was sent. If another VM ran
	// the request, it has said so.
	Unsent bool
}

// IsUnsent reports whether the request was refused and no backend server received any part of it.
func (a *Answer) IsUnsent() bool {
	return a.Unsent || a.Verdict == relay.Refused && a.NothingSent
}
