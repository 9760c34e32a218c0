// Package detour runs requests on other VMs while this VM can't reach the backend servers
// that they need, for example because the network between them is partitioned. Runner
// decides which requests take a detour and sends them; Server runs those of other VMs.
package detour

//go:generate go tool -modfile=../../../tools/go.mod msgp -file wire.go -tests=false

const (
	// Path is the path of detours on the port for other VMs.
	Path = "/v1/detour"
	// declinedHeader holds why a VM declines to run a request.
	declinedHeader = "X-Declined"
)

// Reasons to decline a request.
const (
	// Unreachable means that the VM reaches no more of the backend servers than the sender.
	Unreachable = "backend servers are out of reach"
	// NotReady means that the VM has no recent view of the fleet, or an older configuration.
	NotReady = "the view of the fleet is out of date"
)

// Order asks another VM to run the request of a caller.
type Order struct {
	// Request is the request ID that the caller gave.
	Request string `msg:"i"`
	// Host and Path are what the request is routed by.
	Host string `msg:"o"`
	Path string `msg:"u"`
	// Head holds the request line and the headers, each terminated by CRLF.
	Head   []byte `msg:"h"`
	Body   []byte `msg:"b"`
	NoBody bool   `msg:"n"`
	// AgeMicros is the time since the request arrived from the caller, OverheadMicros the
	// time that the caller waits besides, and WaitMicros how long it waits in all, or 0 if it
	// didn't say. All are in microseconds.
	AgeMicros      int64 `msg:"a"`
	OverheadMicros int64 `msg:"e"`
	WaitMicros     int64 `msg:"w"`
	// Version is the least version of the configuration that the request may run with.
	Version uint64 `msg:"v"`
	// Missing is the number of services of the route that the sender can't reach.
	Missing uint32 `msg:"m"`
	// Counted is set if the sender has already counted the request towards the budgets of
	// retries.
	Counted bool `msg:"c"`
	// Tenant is the name of the caller's tenant, or empty if there is none. Head names it too,
	// and never contains the caller's key.
	Tenant string `msg:"t"`
	// Key is the digest of the caller's key, or empty if Tenant is.
	Key []byte `msg:"k"`
}

// Answer is the answer for the caller. It is the body of the answer to an order, since its
// headers have no limit: those of a search grow with the number of shards.
type Answer struct {
	Status uint16 `msg:"s"`
	// Version is the version of the configuration that the request ran with.
	Version uint64   `msg:"v"`
	Headers []Header `msg:"h,limit=65536"`
	Body    []byte   `msg:"b"`
	// Unsent is set if the request was refused and no backend server received any part of it,
	// so that the sender gives the charge of the tenant's quota back.
	Unsent bool `msg:"u"`
}

//msgp:tuple Header

// Header is one header line.
type Header struct {
	Name, Value []byte
}
