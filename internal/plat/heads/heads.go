// Package heads names the HTTP headers that the tier exchanges with callers
// and backend servers of forwarded requests. An adapter may supply other names.
package heads

// Names are the names of the headers.
type Names struct {
	// RequestID names one attempt of a caller.
	RequestID string
	// Deadline is the time in milliseconds that the sender will wait.
	Deadline string
	// Expect names the backend server that alone may run the request.
	Expect string
	// Signature proves that a backend server gave an answer.
	Signature string
	// NotRun is present if the backend server certainly did not run the
	// request.
	NotRun string
	// Load is "running,waiting,slots" of the backend server.
	Load string
	// Leaving is "1" in the answers of a backend server that takes no new requests.
	Leaving string
	// Parts lists the signatures of the parts of a search.
	Parts string
	// Missing is the number of shards without a part.
	Missing string
}

// Default returns the tier's own names.
func Default() Names {
	return Names{
		RequestID: "X-Request-Id",
		Deadline:  "X-Deadline-Ms",
		Expect:    "X-Expect-Server",
		Signature: "X-Signature",
		NotRun:    "X-Not-Run",
		Load:      "X-Load",
		Leaving:   "X-Server-Leaving",
		Parts:     "X-Part-Signatures",
		Missing:   "X-Missing-Parts",
	}
}
