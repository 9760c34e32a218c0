// Package soak checks the promises of a fleet that forwards requests, from what
// callers and backend servers see, while faults are injected from outside: by
// proxies between processes and by signals. It knows no wire; stand-ins that
// speak one report to a Referee.
package soak

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// Bounds are the promises' figures.
type Bounds struct {
	// Contact is the time without trouble after which a VM has to keep all
	// bounds again.
	Contact time.Duration
	// Drain, Evacuate and Config are the times after which a change that the
	// store acknowledged is in force.
	Drain, Evacuate, Config time.Duration
	// Rollback is the time after which a process may no longer use a
	// configuration older than one whose effect was seen.
	Rollback time.Duration
	// Grace is the time in which a planned stop has to be complete.
	Grace time.Duration
	// Loss is the time that a caller's last byte may cross a planned close.
	CloseRace time.Duration
	// Gone is the time after which nothing is sent for a caller that left.
	Gone time.Duration
	// Late is the time by which an answer may exceed the time of its route.
	Late time.Duration
	// ExtraShare and ExtraSlack bound what a service gets beyond the first
	// attempts, in every ExtraWindow.
	ExtraShare  float64
	ExtraSlack  float64
	ExtraWindow time.Duration
	// Recovery is the time in which a sound fleet serves as before.
	Recovery time.Duration
}

// Route is one way of a request.
type Route struct {
	Name string
	// Idempotent is set if requests may run more than once.
	Idempotent bool
	// Attempts bounds the backend servers that may run one request, for each
	// shard.
	Attempts int
	Timeout  time.Duration
	// Limit and Coverage belong to a search.
	Limit    int
	Coverage float64
}

// Version is one configuration that the operators sent.
type Version struct {
	Number ident.Version
	// Single maps the routes that are no searches to their services, Shards the
	// searches to theirs.
	Single map[string]ident.ServiceID
	Shards map[string][]ident.ServiceID
	// AckedAt is the time at which the store accepted it.
	AckedAt time.Time
}

// Attempt is one request as its caller sent it.
type Attempt struct {
	ID    string
	Route *Route
	VM    ident.VMID
	// Boot counts the processes of the VM, so that each has its own number.
	Boot   int
	SentAt time.Time
	// Wait is the time that the caller told to wait.
	Deadline time.Duration
	// Body is that of the request.
	Body string
	// Kept is set if the connection had carried an answer before.
	ConnectionReused bool
}

// Answer is what the caller got.
type Answer struct {
	At time.Time
	// Cut is set if the connection ended without a whole answer. Nothing else
	// but At is set then.
	Cut    bool
	Status int
	// Refused is set if the status promises that the request has not run.
	Refused bool
	// Signatures are those of the backend servers whose answers are passed on.
	Signatures []string
	Missing    int
	Body       string
}

// Arrival is one request as a backend server got it.
type Arrival struct {
	ID      string
	Server  ident.ServerID
	Service ident.ServiceID
	At      time.Time
	// Ran is set if the server began to work on it.
	Ran bool
	// Misdirected is set if the request was meant for another server, and
	// rejected.
	Misdirected bool
	// Left is the time that the server may take. Told is unset if none was told.
	TimeLeft    time.Duration
	HasTimeLeft bool
	Body        string
	// Conn names the connection that it came on.
	Conn string
}

// Notice is what a backend server says of itself in an answer on a connection.
type Notice struct {
	Conn   string
	Server ident.ServerID
	At     time.Time
	// Leaving is set if it takes no new requests.
	Leaving bool
	// Quiet is the time for which it wants none from the VM that the answer goes to.
	Quiet time.Duration
}

// Reply is what a backend server answered to a request that it ran.
type Reply struct {
	Signature string
	ID        string
	Service   ident.ServiceID
	Status    int
	Body      string
	// Whole is set unless the server broke the answer off.
	Complete bool
}

// Finding is a promise that was broken.
type Finding struct {
	Promise string
	// Subject is the id of a request, a VM or a server.
	Subject string
	Text    string
	At      time.Time
}
