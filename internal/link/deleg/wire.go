// Package deleg sends attempts of searches through a delegate: a VM in the availability
// zone of the backend servers. The delegate sends the attempts and returns the greatest
// records merged from all answers instead of the answers themselves, which saves traffic
// between zones. Client sends orders to delegates; Server executes them on the delegate.
package deleg

//go:generate go tool -modfile=../../../tools/go.mod msgp -file wire.go -tests=false

// Order asks a delegate to send attempts of one search.
type Order struct {
	// Request is the request ID that the caller gave the search.
	Request string `msg:"i"`
	// Head holds the request line and the headers, each terminated by CRLF.
	Head   []byte `msg:"h"`
	Body   []byte `msg:"b"`
	NoBody bool   `msg:"n"`
	// Limit is the maximum number of records in the result of the search.
	Limit uint32 `msg:"k"`
	// LeftMicros is the time left until the deadline of the attempts, and
	// PatienceMicros the longest wait before the first report, which then covers the
	// answers received so far. Both are in microseconds.
	LeftMicros     int64  `msg:"l"`
	PatienceMicros int64  `msg:"p"`
	Sends          []Send `msg:"s,limit=65536"`
}

//msgp:tuple Send

// Send is one attempt.
type Send struct {
	// Seq identifies the attempt in its Outcome.
	Seq uint32
	// Server, Address and Born identify the backend server process to send it to. Born
	// is the start time of that process.
	Server  string
	Address string
	Born    int64
	// Connections is the maximum number of connections to the backend server.
	Connections uint32
}

// Report holds the outcomes of some attempts of an order. A report without outcomes is
// a heartbeat.
type Report struct {
	Outcomes []Outcome `msg:"o,limit=65536"`
	// Records are the greatest records merged from all answers whose Outcome does not have
	// Alone set, greatest first.
	Records []byte `msg:"r"`
	// Limits holds the limits that the answers of these attempts name. If HasLimits is set,
	// the other answers name none.
	Limits    []Limit `msg:"l,limit=65536"`
	HasLimits bool    `msg:"t"`
	// Ended holds the backend servers whose process ended while it had an attempt, and
	// MayHaveEnded those of which that is not known.
	Ended        []Ended `msg:"e,limit=65536"`
	MayHaveEnded []Ended `msg:"m,limit=65536"`
	// Slowdowns holds, for each of Outcomes, how long work takes on the backend server in percent
	// of the usual, or 0 if its answer did not tell. It is empty if none did. It is not a field of
	// Outcome because VMs of earlier versions reject a tuple of another length, but ignore
	// unknown fields of a report.
	Slowdowns []uint16 `msg:"w,omitempty,limit=65536"`
}

// Slowdown returns the slowdown that belongs to an outcome, by its index, or 0 if it is not known.
func (r *Report) Slowdown(outcome int) int {
	if outcome >= len(r.Slowdowns) {
		return 0
	}
	return int(r.Slowdowns[outcome])
}

//msgp:tuple Ended

// Ended says that the process of the backend server ended while it had an attempt.
type Ended struct {
	// Seq identifies the attempt.
	Seq uint32
	// Shared is the number of the reporting VM's requests that the server had.
	Shared uint32
}

//msgp:tuple Limit

// Limit is the limit of a backend server, in requests per second from all VMs together.
type Limit struct {
	// Seq identifies the attempt.
	Seq       uint32
	PerSecond float64
}

//msgp:tuple Outcome

// Outcome is the result of one attempt.
type Outcome struct {
	Seq uint32
	// Fate is the value of a pool.Fate, and Status the HTTP status of the answer.
	Fate   uint8
	Status uint16
	// Signature is the signature that the backend server put on its answer.
	Signature string
	Reason    string
	// Micros is the time that the attempt took, in microseconds.
	Micros uint32
	// Running, Waiting and Slots are the load that the backend server reported in its
	// answer. Slots is 0 if it reported none.
	Running, Waiting, Slots uint32
	// RetryMicros is the time in microseconds after which the backend server accepts
	// requests again.
	RetryMicros uint64
	Misdirected bool
	Leaving     bool
	// Alone is set if Records holds the records of this answer, which are then not
	// merged into Report.Records.
	Alone   bool
	Records []byte
}
