package server

import (
	"sync"

	"github.com/samphirestair/samphirestair/internal/lab/trace"
)

// ledger remembers which actions ran on any server of the host. It is safe for
// concurrent use.
type ledger struct {
	recorder *trace.Recorder
	mu       sync.Mutex
	runs     map[string]int
}

func newLedger(recorder *trace.Recorder) *ledger {
	return &ledger{recorder: recorder, runs: map[string]int{}}
}

// run notes the execution of an action and reports whether it had run before.
func (l *ledger) run(run trace.Execution) bool {
	l.recorder.Record(trace.Event{Kind: trace.KindExecution, Execution: &run})
	id := string(run.Service) + "\x00" + run.Action + "\x00" + run.Key
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
	return l.runs[id] > 1
}
