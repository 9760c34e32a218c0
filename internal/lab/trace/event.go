// Package trace records histories of runs: events as JSON lines, which the
// checkers of package audit read.
package trace

import (
	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// Kind is the kind of an event. It says which of the event's parts is set.
type Kind string

// Kinds of events.
const (
	// KindReceived and KindFinished mark a sub-request at a backend server.
	// Part: Work.
	KindReceived Kind = "received"
	KindFinished Kind = "finished"
	// KindRun marks the execution of an action at a backend server. Part: Run.
	KindExecution Kind = "run"
	// KindServer marks a change of a backend server's state. Part: Server.
	KindServer Kind = "server"
	// KindStarted and KindEnded mark an attempt of a caller. Part: Attempt.
	KindStarted Kind = "started"
	KindEnded   Kind = "ended"
	// KindCommand marks an operator's change. It is recorded when the operator
	// has the outcome. Part: Command.
	KindCommand Kind = "command"
	// KindConfig marks an observation of the configuration in force on a
	// process. Part: Config.
	KindConfig Kind = "config"
	// KindStop marks the begin and the end of the stop of a process. Part:
	// Stop.
	KindStop Kind = "stop"
)

// Event is one line of a history.
type Event struct {
	// At is the time in nanoseconds since the Unix epoch.
	At         int64         `json:"at_ns"`
	Process    string        `json:"process"`
	Kind       Kind          `json:"kind"`
	SubRequest *SubRequest   `json:"work,omitempty"`
	Execution  *Execution    `json:"run,omitempty"`
	Server     *ServerChange `json:"server,omitempty"`
	Attempt    *Attempt      `json:"attempt,omitempty"`
	Command    *Command      `json:"command,omitempty"`
	Config     *Config       `json:"config,omitempty"`
	Stop       *Stop         `json:"stop,omitempty"`
}

// Op is the kind of work.
type Op string

// Kinds of work.
const (
	OpSearch Op = "search"
	OpLookup Op = "lookup"
	OpAction Op = "action"
)

// Work is a sub-request at a backend server.
type SubRequest struct {
	Server  ident.ServerID `json:"server"`
	Zone    ident.Zone     `json:"zone"`
	Boot    ident.BootID   `json:"boot"`
	Request string         `json:"request"`
	Op      Op             `json:"op"`
	Version ident.Version  `json:"version"`
	Shard   ident.Shard    `json:"shard"`
	// Shards is the number of shards of the version, as far as the server
	// knows it.
	Shards uint32 `json:"shards"`
	Query  string `json:"query,omitempty"`
	Key    string `json:"key,omitempty"`
	// Cold, Running and Bears are set when the work is received: whether the
	// server is in cold start, the requests at once including this one, and
	// the number that it bears.
	Cold             bool `json:"cold,omitempty"`
	Concurrent       int  `json:"running,omitempty"`
	ConcurrencyLimit int  `json:"bears,omitempty"`
	// Status and Ran are set when the work is finished: the HTTP status, or 0
	// without an answer, and whether the work had begun.
	Status int  `json:"status,omitempty"`
	Begun  bool `json:"ran,omitempty"`
}

// Run is the execution of an action.
type Execution struct {
	Service ident.ServiceID `json:"service"`
	Server  ident.ServerID  `json:"server"`
	Request string          `json:"request"`
	Action  string          `json:"action"`
	Key     string          `json:"key"`
}

// Server is a change of a backend server's state.
type ServerChange struct {
	Server ident.ServerID `json:"server"`
	Zone   ident.Zone     `json:"zone"`
	Boot   ident.BootID   `json:"boot"`
	Change string         `json:"change"`
}

// Failure says how an attempt ended without an answer.
type Failure string

// Failures of attempts.
const (
	// FailureRefused means that no connection could be opened.
	FailureNoConnection Failure = "refused"
	// FailureCut means that the connection ended before the answer.
	FailureConnectionLost Failure = "cut"
	// FailureSilent means that no answer came in time.
	FailureTimeout Failure = "silent"
	// FailureBad means that the answer could not be read.
	FailureInvalidAnswer Failure = "bad"
)

// Outcome is what an answer to a caller says.
type Outcome string

// Outcomes of requests.
const (
	OutcomeFull    Outcome = "full"
	OutcomePartial Outcome = "partial"
	OutcomeDone    Outcome = "done"
	OutcomeNotRun  Outcome = "not run"
	OutcomeUnknown Outcome = "unknown"
)

// Attempt is one try of a caller at one address.
type Attempt struct {
	// Request names the request of which this is an attempt, ID the attempt.
	Request string          `json:"request"`
	ID      string          `json:"id"`
	Address string          `json:"address"`
	Op      Op              `json:"op"`
	Service ident.ServiceID `json:"service"`
	Class   string          `json:"class,omitempty"`
	Query   string          `json:"query,omitempty"`
	Limit   int             `json:"limit,omitempty"`
	Action  string          `json:"action,omitempty"`
	Key     string          `json:"key,omitempty"`
	// The fields below are set when the attempt ended.
	Failure  Failure `json:"failure,omitempty"`
	Outcome  Outcome `json:"outcome,omitempty"`
	EchoedID string  `json:"echo,omitempty"`
	// EchoKey is the key that the backend server's answer names.
	EchoedKey      string        `json:"echo_key,omitempty"`
	Snapshot       ident.Version `json:"snapshot,omitempty"`
	AnsweredShards int           `json:"answered,omitempty"`
	TotalShards    int           `json:"of,omitempty"`
	Hits           []Hit         `json:"hits,omitempty"`
}

// Hit is one hit of an answer, as the backend server's document in it tells.
type Hit struct {
	ID      string        `json:"id"`
	Version ident.Version `json:"version"`
	Shard   ident.Shard   `json:"shard"`
	Query   string        `json:"query"`
}

// Result is what an operator was told about a change.
type Result string

// Results of changes.
const (
	ResultAccepted Result = "accepted"
	ResultRejected Result = "rejected"
	ResultUnknown  Result = "unknown"
	// ResultRead marks a command that only reads the serial.
	ResultRead Result = "read"
)

// Verb is the kind of an operator's change.
type Verb string

// Kinds of changes.
const (
	VerbApply     Verb = "apply"
	VerbZoneOut   Verb = "zone out"
	VerbZoneIn    Verb = "zone in"
	VerbServerOut Verb = "server out"
	VerbServerIn  Verb = "server in"
	VerbVMOut     Verb = "vm out"
	VerbVMIn      Verb = "vm in"
	VerbRead      Verb = "read"
)

// Command is an operator's change of the configuration.
type Command struct {
	Change ident.ChangeID `json:"change"`
	Verb   Verb           `json:"verb"`
	// Subject is the zone, server, VM or service that changes.
	Subject string `json:"subject"`
	// Begun is the time at which the operator asked, in nanoseconds since the
	// Unix epoch.
	IssuedAt int64  `json:"begun_ns"`
	Result   Result `json:"result"`
	// Serial is the serial of the configuration with this change in it, if it
	// was accepted, or the serial that was read.
	Serial uint64 `json:"serial,omitempty"`
}

// Config is the configuration in force on a process.
type Config struct {
	VM     ident.VMID `json:"vm"`
	Serial uint64     `json:"serial"`
}

// Stop is the stop of a process.
type Stop struct {
	VM ident.VMID `json:"vm"`
	// Address is the address of the process for callers.
	Address string `json:"address"`
	// Planned is false if the process was killed or failed.
	Planned bool `json:"planned"`
	// Ended is false at the begin and true when the process is gone.
	Ended bool `json:"ended"`
}
