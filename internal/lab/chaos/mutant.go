package chaos

import (
	"context"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/change"
)

// Mutant is a deliberate mistake in how faults are injected. It shows that the
// checkers find mistakes of that kind.
type Mutant string

// Mutants.
const (
	// HardStop kills the processes that are to stop as planned.
	HardStop Mutant = "hard-stop"
	// Pretend tells operators that changes are accepted and makes none.
	Pretend Mutant = "pretend"
)

// ErrUnknownMutant is returned for a name that is no mutant.
var ErrUnknownMutant = errors.New("chaos: unknown mutant")

// Mutate returns deps with a mutant. An empty name changes nothing.
func Mutate(deps Deps, mutant Mutant) (Deps, error) {
	switch mutant {
	case "":
	case HardStop:
		deps.Processes = hardStop{deps.Processes}
	case Pretend:
		deps.Operator = &pretender{}
	default:
		return deps, errors.Wrapf(ErrUnknownMutant, "%q, known: %s, %s", mutant, HardStop, Pretend)
	}
	return deps, nil
}

type hardStop struct {
	Processes
}

// Signal implements Processes.
func (h hardStop) Signal(pid PID, signal syscall.Signal) error {
	if signal == syscall.SIGTERM {
		signal = syscall.SIGKILL
	}
	return h.Processes.Signal(pid, signal)
}

// pretender accepts every change. Its serials are above those in force.
type pretender struct {
	serial atomic.Uint64
}

// pretendedSerial is below the serials that a pretender gives.
const pretendedSerial = 1000

// Do implements Operator.
func (p *pretender) Do(_ context.Context, _ change.Request) change.Outcome {
	serial := pretendedSerial + p.serial.Add(1)
	return change.Outcome{Status: change.Accepted, ID: ident.ChangeID("pretended"), Serial: serial}
}
