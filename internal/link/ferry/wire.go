// Package ferry carries the attempts of searches to VMs in the availability zones of
// the backend servers. A VM there sends them, and answers with the greatest records of
// all parts in place of the parts. Client asks, Server sends.
package ferry

//go:generate go tool -modfile=../../../tools/go.mod msgp -file wire.go -tests=false

// Order asks a VM to send attempts of one search.
type Order struct {
	// Request is the caller's id of the search.
	Request string `msg:"i"`
	// Head holds the request line and the headers, each ended by CRLF.
	Head   []byte `msg:"h"`
	Body   []byte `msg:"b"`
	NoBody bool   `msg:"n"`
	// Limit is the number of records that the search is answered with.
	Limit uint32 `msg:"k"`
	// LeftMicros is the time that backend servers may take, and PatienceMicros that
	// after which the parts that are in are reported, in microseconds.
	LeftMicros     int64  `msg:"l"`
	PatienceMicros int64  `msg:"p"`
	Sends          []Send `msg:"s,limit=65536"`
}

//msgp:tuple Send

// Send is one attempt.
type Send struct {
	// Seq names the attempt in its outcome.
	Seq uint32
	// Server, Address and Born name the process that is to run it.
	Server  string
	Address string
	Born    int64
	// Connections is the largest number of connections to it.
	Connections uint32
}

// Report tells what became of some attempts of an order.
type Report struct {
	Outcomes []Outcome `msg:"o,limit=65536"`
	// Records are the greatest ones of the parts that have none of their own,
	// greatest first.
	Records []byte `msg:"r"`
}

//msgp:tuple Outcome

// Outcome tells what became of one attempt.
type Outcome struct {
	Seq uint32
	// Fate is a pool.Fate, and Status that of the answer.
	Fate   uint8
	Status uint16
	// Signature is that of the backend server.
	Signature string
	Reason    string
	// Micros is the time that the attempt took, in microseconds.
	Micros uint32
	// Running, Waiting and Slots describe the backend server. Slots is 0 if they
	// were not told.
	Running, Waiting, Slots uint32
	// RetryMicros is the time after which the backend server takes work again.
	RetryMicros uint64
	Misdirected bool
	Leaving     bool
	// Alone is set if Records are those of this part, and not in the report's.
	Alone   bool
	Records []byte
}
