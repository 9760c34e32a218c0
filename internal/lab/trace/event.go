// Package trace writes and reads histories of runs. A history is a file with one
// event in JSON per line; package audit checks it.
package trace

import (
	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// Kind is the kind of an event. It determines which one of the event's pointers
// is set.
type Kind string

// Kinds of events.
const (
	// KindReceived and KindFinished mark the arrival and the end of a
	// sub-request at a backend server. They set SubRequest.
	KindReceived Kind = "received"
	KindFinished Kind = "finished"
	// KindExecution marks the execution of an action at a backend server. It
	// sets Execution.
	KindExecution Kind = "run"
	// KindServer marks a change of a backend server's state. It sets Server.
	KindServer Kind = "server"
	// KindStarted and KindEnded mark the start and the end of an attempt of a
	// caller. They set Attempt.
	KindStarted Kind = "started"
	KindEnded   Kind = "ended"
	// KindCommand marks an operator's command. It is recorded when the operator
	// has received the result. It sets Command.
	KindCommand Kind = "command"
	// KindConfig marks an observation of the configuration in force on a
	// process. It sets Config.
	KindConfig Kind = "config"
	// KindStop marks the begin and the end of the stop of a process. It sets
	// Stop.
	KindStop Kind = "stop"
)

// Event is one line of a history.
type Event struct {
	// At is the time of the event in nanoseconds since the Unix epoch. Process
	// is the name of the process that recorded it.
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

// Op is the kind of a request.
type Op string

// Kinds of requests.
const (
	OpSearch Op = "search"
	OpLookup Op = "lookup"
	OpAction Op = "action"
)

// SubRequest is a sub-request at a backend server.
type SubRequest struct {
	Server  ident.ServerID `json:"server"`
	Zone    ident.Zone     `json:"zone"`
	Boot    ident.BootID   `json:"boot"`
	Request string         `json:"request"`
	Op      Op             `json:"op"`
	Version ident.Version  `json:"version"`
	Shard   ident.Shard    `json:"shard"`
	// Shards is the number of shards of the index version according to the
	// server.
	Shards uint32 `json:"shards"`
	Query  string `json:"query,omitempty"`
	Key    string `json:"key,omitempty"`
	// Cold, Concurrent and ConcurrencyLimit are set in events of KindReceived
	// for sub-requests that the server accepts: whether the server is in cold
	// start, the number of concurrent requests including this one, and the
	// largest number that the server can process, which is lower in cold start.
	Cold             bool `json:"cold,omitempty"`
	Concurrent       int  `json:"running,omitempty"`
	ConcurrencyLimit int  `json:"bears,omitempty"`
	// Status and Begun are set in events of KindFinished: the HTTP status, or 0
	// without an answer, and whether the server had begun to process the
	// sub-request.
	Status int  `json:"status,omitempty"`
	Begun  bool `json:"ran,omitempty"`
}

// Execution is the execution of an action at a backend server. Key is the
// idempotency key.
type Execution struct {
	Service ident.ServiceID `json:"service"`
	Server  ident.ServerID  `json:"server"`
	Request string          `json:"request"`
	Action  string          `json:"action"`
	Key     string          `json:"key"`
}

// ServerChange is a change of a backend server's state.
type ServerChange struct {
	Server ident.ServerID `json:"server"`
	Zone   ident.Zone     `json:"zone"`
	Boot   ident.BootID   `json:"boot"`
	Change string         `json:"change"`
}

// Failure is the reason why an attempt ended without a usable answer. It is empty
// if there was an answer.
type Failure string

// Failures of attempts.
const (
	// FailureNoConnection means that no connection could be opened.
	FailureNoConnection Failure = "refused"
	// FailureConnectionLost means that the connection ended before the answer.
	FailureConnectionLost Failure = "cut"
	// FailureTimeout means that no answer arrived in time.
	FailureTimeout Failure = "silent"
	// FailureInvalidAnswer means that the answer could not be decoded or was too
	// large.
	FailureInvalidAnswer Failure = "bad"
)

// Outcome is the outcome of a request as the answer to the caller states it.
type Outcome string

// Outcomes of requests.
const (
	OutcomeFull    Outcome = "full"
	OutcomePartial Outcome = "partial"
	OutcomeDone    Outcome = "done"
	OutcomeNotRun  Outcome = "not run"
	OutcomeUnknown Outcome = "unknown"
)

// Attempt is one attempt of a caller to perform a request at one address.
type Attempt struct {
	// Request is the name of the request, which all its attempts share. ID
	// identifies the attempt.
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
	// The fields below are set in events of KindEnded. EchoedID is the request
	// ID in the answer, which should be equal to ID.
	Failure  Failure `json:"failure,omitempty"`
	Outcome  Outcome `json:"outcome,omitempty"`
	EchoedID string  `json:"echo,omitempty"`
	// EchoedKey is the key in the backend server's answer to a lookup or an
	// action, which should be equal to Key.
	EchoedKey      string        `json:"echo_key,omitempty"`
	Snapshot       ident.Version `json:"snapshot,omitempty"`
	AnsweredShards int           `json:"answered,omitempty"`
	TotalShards    int           `json:"of,omitempty"`
	Hits           []Hit         `json:"hits,omitempty"`
}

// Hit is one hit of an answer. Version, Shard and Query come from the document
// that the backend server put into the hit.
type Hit struct {
	ID      string        `json:"id"`
	Version ident.Version `json:"version"`
	Shard   ident.Shard   `json:"shard"`
	Query   string        `json:"query"`
}

// Result is the result of a command as the operator received it.
type Result string

// Results of commands.
const (
	ResultAccepted Result = "accepted"
	ResultRejected Result = "rejected"
	ResultUnknown  Result = "unknown"
	// ResultRead marks a command that only reads the serial.
	ResultRead Result = "read"
)

// Verb is the kind of an operator's command.
type Verb string

// Kinds of commands.
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

// Command is an operator's command that changes or reads the configuration.
type Command struct {
	Change ident.ChangeID `json:"change"`
	Verb   Verb           `json:"verb"`
	// Subject is the zone, server, VM or service that the command changes.
	Subject string `json:"subject"`
	// IssuedAt is the time at which the operator issued the command, in
	// nanoseconds since the Unix epoch.
	IssuedAt int64  `json:"begun_ns"`
	Result   Result `json:"result"`
	// Serial is the serial of the configuration that contains the change if
	// it was accepted, or the serial that was read.
	Serial uint64 `json:"serial,omitempty"`
}

// Config is an observation of the serial of the configuration in force on a
// process.
type Config struct {
	VM     ident.VMID `json:"vm"`
	Serial uint64     `json:"serial"`
}

// Stop is the begin or the end of the stop of a process.
type Stop struct {
	VM ident.VMID `json:"vm"`
	// Address is the address of the process for callers.
	Address string `json:"address"`
	// Planned is false if the process was killed or failed.
	Planned bool `json:"planned"`
	// Ended is false at the begin of the stop and true when the process has
	// exited.
	Ended bool `json:"ended"`
}
