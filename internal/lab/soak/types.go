// Package soak checks the promises of a fleet that forwards requests, from what
// callers and backend servers see, while faults are injected from outside: by
// proxies between processes and by signals. It is independent of the wire protocol:
// callers and servers that implement it report to a Checker.
package soak

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// Bounds are the times and shares that the promises state.
type Bounds struct {
	// Contact is the time without faults of a VM and the store after which the VM has
	// to keep all bounds again.
	Contact time.Duration
	// Drain, Evacuate and Config are the times after which the VMs have to apply a
	// change that the store acknowledged.
	Drain, Evacuate, Config time.Duration
	// Rollback is the time after which a process that has used a configuration may no
	// longer use an older one.
	Rollback time.Duration
	// Grace is the time within which a planned stop has to complete.
	Grace time.Duration
	// CloseRace is the time in which a planned close may cut off a request that is on
	// its way.
	CloseRace time.Duration
	// Gone is the time after a caller left from which nothing is sent for it.
	Gone time.Duration
	// Late is the time by which an answer may exceed its timeout.
	Late time.Duration
	// ExtraShare and ExtraSlack bound the arrivals at a service beyond the first of each
	// request, in every ExtraWindow: ExtraShare of the requests plus ExtraSlack.
	ExtraShare  float64
	ExtraSlack  float64
	ExtraWindow time.Duration
	// LimitFactor, LimitSlack and LimitWindow bound the arrivals at a server that names a
	// limit: LimitFactor times what the limit allows in LimitWindow, plus LimitSlack.
	LimitFactor float64
	LimitSlack  float64
	LimitWindow time.Duration
	// QuotaOverage and QuotaSlack bound the requests of a tenant that run in every QuotaWindow:
	// 1 + QuotaOverage times what its quota allows, plus QuotaSlack.
	QuotaOverage float64
	QuotaSlack   float64
	QuotaWindow  time.Duration
	// ExposureShare and ExposureSlack bound the requests to a bad version from the order of its
	// roll-out to the deadline: ExposureShare of those to its service plus ExposureSlack.
	// RolloutBack is the time after ExposureSlack bad responses from which it may get none.
	ExposureShare float64
	ExposureSlack int
	RolloutBack   time.Duration
	// Recovery is the time after the faults within which the fleet has to serve as before.
	Recovery time.Duration
}

// Route is a route of the configuration that requests use.
type Route struct {
	Name string
	// Idempotent is set if requests may run more than once.
	Idempotent bool
	// Attempts is the largest number of runs of one request, for each shard.
	Attempts int
	Timeout  time.Duration
	// Limit and Coverage are the number of hits and the least share of shards of a
	// search. Limit is 0 for other routes.
	Limit    int
	Coverage float64
}

// Version is one configuration that the operators sent.
type Version struct {
	Number ident.Version
	// Single maps each route other than a search to its service, Shards each search to
	// the services of its shards.
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
	// Boot is the number of the VM's process, which grows at each start.
	Boot   int
	SentAt time.Time
	// Deadline is the time from SentAt that the caller gave to the request.
	Deadline time.Duration
	Body     string
	// ConnectionReused is set if the connection has carried an answer before.
	ConnectionReused bool
	// Deadly names what is requested if it ends each backend server that runs it. Repeats
	// of a request have the same name. It is empty for other requests.
	Deadly string
	// Tenant is the tenant that holds the key of the request, or empty if it has no key or
	// KeyUnknown is set: then no configuration ever held its key.
	Tenant     ident.TenantID
	KeyUnknown bool
}

// Answer is what the caller got.
type Answer struct {
	At time.Time
	// Cut is set if the connection ended before the answer was complete. Only At is set
	// besides it then.
	Cut    bool
	Status int
	// Refused is set if the status promises that the request has not run.
	Refused bool
	// Signatures identify the backend servers' replies of which the answer consists.
	Signatures []string
	Missing    int
	Body       string
}

// Arrival is one request as a backend server received it.
type Arrival struct {
	ID      string
	Server  ident.ServerID
	Service ident.ServiceID
	// Version is the version of the server.
	Version string
	At      time.Time
	// Ran is set if the server began to work on it.
	Ran bool
	// Misdirected is set if the request was meant for another server, and
	// rejected.
	Misdirected bool
	// TimeLeft is the time that the VM gives the server. HasTimeLeft is unset if the
	// request carries none.
	TimeLeft    time.Duration
	HasTimeLeft bool
	Body        string
	// Conn identifies the connection on which it arrived.
	Conn string
	// Sender is the VM from which it arrived, which may have sent it on behalf of the VM
	// that got it from the caller. It is empty if unknown.
	Sender ident.VMID
	// Tenant is the name of the tenant that the server got. KeySeen is set if the request
	// contains the caller's key.
	Tenant  ident.TenantID
	KeySeen bool
}

// Notice is what a backend server states about itself in an answer on a connection.
type Notice struct {
	Conn   string
	Server ident.ServerID
	At     time.Time
	// Leaving is set if the server takes no new requests.
	Leaving bool
	// Quiet is the time for which the server asks the VM that receives the answer to send
	// no requests.
	Quiet time.Duration
	// Limited is set if the answer names the server's limit.
	Limited bool
}

// Reply is what a backend server answered to a request that it ran.
type Reply struct {
	Signature string
	ID        string
	Service   ident.ServiceID
	Version   string
	Status    int
	// Bad is set if it is a failure, or slower than usual.
	Bad  bool
	Body string
	// Complete is set unless the server broke the answer off.
	Complete bool
}

// Finding is one broken promise.
type Finding struct {
	Promise string
	// Subject is the id of a request, a VM or a server.
	Subject string
	Text    string
	At      time.Time
}
