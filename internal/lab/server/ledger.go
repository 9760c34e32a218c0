package server

import (
	"sync"

	"github.com/samphirestair/samphirestair/internal/lab/trace"
)

// ledger counts the executions of each action and key on all servers of the
// host, to detect duplicates. It is safe for concurrent use.
type ledger struct {
	recorder   *trace.Recorder
	mu         sync.Mutex
	executions map[string]int
}

func newLedger(recorder *trace.Recorder) *ledger {
	return &ledger{recorder: recorder, executions: map[string]int{}}
}

// record records the execution of an action and reports whether the action was
// executed before with the same key.
func (l *ledger) record(run trace.Execution) bool {
	l.recorder.Record(trace.Event{Kind: trace.KindExecution, Execution: &run})
	id := string(run.Service) + "\x00" + run.Action + "\x00" + run.Key
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions[id]++
	return l.executions[id] > 1
}
