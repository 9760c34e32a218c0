// Package tally exchanges the reports on roll-outs between VMs: each VM reports what it counted
// to the VM that decides, whose reply says what may be sent to the new version.
package tally

//go:generate go tool -modfile=../../../tools/go.mod msgp -file wire.go -tests=false

// Reports is a message to the deciding VM.
type Reports struct {
	Reports []Report `msg:"r,limit=65536"`
}

//msgp:tuple Report

// Report is a roll.Report.
type Report struct {
	VM            string
	Boot          uint64
	Number        uint64
	Service       string
	Position      uint64
	Seq           uint64
	TargetRunning uint32
	OthersRunning uint32
	Counts        []Count `msg:",limit=65536"`
}

//msgp:tuple Count

// Count holds the responses on a route from servers of a zone.
type Count struct {
	Route        string
	Zone         string
	TargetFailed uint32
	OthersFailed uint32
	// TargetTimes and OthersTimes are the numbers of responses by class of time.
	TargetTimes []uint32 `msg:",limit=64"`
	OthersTimes []uint32 `msg:",limit=64"`
}

// Replies is the response to Reports.
type Replies struct {
	Replies []Reply `msg:"r,limit=65536"`
}

//msgp:tuple Reply

// Reply is a roll.Reply.
type Reply struct {
	Service   string
	Declined  bool
	Share     float64
	AgeMicros int64
	// Record is a roll.Record as JSON, as in the store.
	Record []byte
}
