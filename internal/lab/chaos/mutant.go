package chaos

import (
	"context"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/change"
)

// Mutant is a deliberate defect in the injection of faults. Runs with a mutant
// show that the checkers detect defects of that kind.
type Mutant string

// Mutants.
const (
	// HardStop kills processes instead of stopping them as planned.
	HardStop Mutant = "hard-stop"
	// Pretend reports changes of operators as accepted without making them.
	Pretend Mutant = "pretend"
)

// ErrUnknownMutant is returned by Mutate for an unknown mutant.
var ErrUnknownMutant = errors.New("chaos: unknown mutant")

// Mutate returns deps with the defect of a mutant built in. An empty name leaves
// deps as they are. An unknown one gives ErrUnknownMutant.
func Mutate(deps Deps, mutant Mutant) (Deps, error) {
	switch mutant {
	case "":
	case HardStop:
		deps.Processes = hardStop{deps.Processes}
	case Pretend:
		deps.Operator = &fakeOperator{}
	default:
		return deps, errors.Wrapf(ErrUnknownMutant, "%q, known: %s, %s", mutant, HardStop, Pretend)
	}
	return deps, nil
}

// hardStop implements HardStop.
type hardStop struct {
	Processes
}

// Signal implements Processes. It replaces SIGTERM by SIGKILL.
func (h hardStop) Signal(pid PID, signal syscall.Signal) error {
	if signal == syscall.SIGTERM {
		signal = syscall.SIGKILL
	}
	return h.Processes.Signal(pid, signal)
}

// fakeOperator implements Pretend. It reports every change as accepted, with
// serials above those in force.
type fakeOperator struct {
	serial atomic.Uint64
}

// fakeSerialBase is what a fakeOperator adds to the count of its changes to get
// serials.
const fakeSerialBase = 1000

// Do implements Operator.
func (p *fakeOperator) Do(_ context.Context, _ change.Request) change.Outcome {
	serial := fakeSerialBase + p.serial.Add(1)
	return change.Outcome{Status: change.Accepted, ID: ident.ChangeID("pretended"), Serial: serial}
}
