package poison

import "time"

//go:generate go tool -modfile=../../../tools/go.mod msgp -file record.go -tests=false

// Records is what VMs tell each other about requests. Readers skip fields that they don't
// know.
type Records struct {
	Records []Record `msg:"r,limit=8192"`
}

// Record is what one VM knows of one request. Times are ages in milliseconds when it was
// written; a negative age means that it has not happened.
type Record struct {
	Fingerprint []byte `msg:"f"`
	// Label is the method and the target of the request, or empty if unknown.
	Label string `msg:"n"`
	// Ends are the server processes that ended while they ran it, since it was last cleared.
	Ends []EndRecord `msg:"e,limit=64"`
	// ClearedAgo is the age of the last answer of a server, and LiftedAgo that of the last
	// time an operator lifted its quarantine.
	ClearedAgo int64 `msg:"c"`
	LiftedAgo  int64 `msg:"l"`
	// TrialLeft is the time in milliseconds for which a trial is in progress, or 0.
	TrialLeft int64 `msg:"t"`
	// QuarantinedAgo is the age of its quarantine, and Hold the duration of that in
	// milliseconds. Pinned is set if an operator ordered it without an end.
	QuarantinedAgo int64 `msg:"q"`
	Hold           int64 `msg:"h"`
	Pinned         bool  `msg:"p"`
	// Processes are the hashes of the server processes that a quarantined request ended.
	Processes []byte `msg:"x"`
}

// EndRecord is the end of one server process.
type EndRecord struct {
	Server string `msg:"s"`
	Born   int64  `msg:"b"`
	Ago    int64  `msg:"a"`
	// Trial is the number of requests of the VM that the process ran if the request ran as a
	// trial, or 0.
	Trial int `msg:"t"`
	// Uncertain is set if the process may have ended before it got the request.
	Uncertain bool `msg:"u"`
}

// age returns the time since at in milliseconds, or -1 if at is zero.
func age(now, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return max(now.Sub(at).Milliseconds(), 0)
}

// maxAge bounds the ages that are read, so that they fit a Duration.
const maxAge = 30 * 24 * time.Hour

// before is the inverse of age.
func before(now time.Time, ago int64) time.Time {
	if ago < 0 {
		return time.Time{}
	}
	return now.Add(-milliseconds(ago))
}

// milliseconds converts a duration that another VM wrote. It is within 0 and maxAge.
func milliseconds(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxAge.Milliseconds())) * time.Millisecond
}
