// Package header holds the names of the HTTP headers that the tier exchanges with
// callers and backend servers when it forwards requests. The adapter of a platform
// may supply other names.
package header

// Names are the names of the headers.
type Names struct {
	// RequestID identifies one attempt of a caller.
	RequestID string
	// Deadline is the time in milliseconds that the sender will wait.
	Deadline string
	// ExpectedServer is the ID of the only backend server that may run the request.
	ExpectedServer string
	// Signature proves that an answer comes from a backend server.
	Signature string
	// NotRun is present if the backend server certainly did not run the
	// request.
	NotRun string
	// Load is "running,waiting,slots": the numbers of running and waiting requests
	// and of slots of the backend server.
	Load string
	// Tenant is the name of the tenant that holds the caller's key. Only the tier sets it.
	Tenant string
	// Leaving is "1" in the answers of a backend server that takes no new requests.
	Leaving string
	// Limit is the number of requests per second, a decimal number, that the backend
	// server takes from all VMs together. It is absent if there is no limit.
	Limit string
	// PartSignatures lists the signatures of the shards' answers that are part of a search
	// result.
	PartSignatures string
	// MissingParts is the number of shards without an answer in a search result.
	MissingParts string
}

// Default returns the tier's own names.
func Default() Names {
	return Names{
		RequestID:      "X-Request-Id",
		Deadline:       "X-Deadline-Ms",
		ExpectedServer: "X-Expect-Server",
		Signature:      "X-Signature",
		NotRun:         "X-Not-Run",
		Load:           "X-Load",
		Tenant:         "X-Tenant",
		Leaving:        "X-Server-Leaving",
		Limit:          "X-Server-Limit",
		PartSignatures: "X-Part-Signatures",
		MissingParts:   "X-Missing-Parts",
	}
}
