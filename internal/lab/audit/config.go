package audit

import (
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/lab/trace"
)

func init() {
	checkers.Register("config", checkConfig)
}

// registerTimeout bounds the search for an order of the operators' changes.
const registerTimeout = 30 * time.Second

// checkConfig checks that accepted changes are in force on every process after
// the grace, that no VM goes back, and that the changes fit one register.
func checkConfig(h *History, t *tally) {
	latest := map[ident.VMID]uint64{}
	accepted := h.acceptedChanges()
	for _, event := range h.kind(trace.KindConfig) {
		c := event.Config
		if c.Serial == 0 {
			continue
		}
		if c.Serial < latest[c.VM] {
			t.violationf("at %d %s has serial %d in force after %d", event.At, c.VM, c.Serial, latest[c.VM])
		}
		latest[c.VM] = max(latest[c.VM], c.Serial)
		if due := accepted.dueAt(event.At); due > 0 {
			t.seen()
			if c.Serial < due {
				t.violationf("at %d %s has serial %d in force, %d was accepted before", event.At, c.VM, c.Serial, due)
			}
		}
	}
	h.checkRegister(t)
}

// changes are the accepted changes in the order of time.
type changes []*trace.Event

func (h *History) acceptedChanges() changes {
	var accepted changes
	for _, event := range h.kind(trace.KindCommand) {
		if event.Command.Result == trace.ResultAccepted {
			accepted = append(accepted, event)
		}
	}
	return accepted
}

// dueAt returns the highest serial that must be in force at the given time.
func (c changes) dueAt(at int64) uint64 {
	due := uint64(0)
	for _, event := range c {
		if event.At+grace < at {
			due = max(due, event.Command.Serial)
		}
	}
	return due
}

// register is the state of the configuration's register. Its serial is unknown
// until the first change or read.
type register struct {
	known  bool
	serial uint64
}

// registerModel is the model of the configuration's serial. A change whose
// result is unknown may have taken effect or not.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{register{}} },
	Step: func(state, input, _ any) []any {
		r, isRegister := state.(register)
		c, isCommand := input.(*trace.Command)
		if !isRegister || !isCommand {
			return nil
		}
		return r.step(c)
	},
}

func (r register) step(c *trace.Command) []any {
	next := register{known: true, serial: c.Serial}
	switch {
	case c.Result == trace.ResultUnknown && r.known:
		return []any{r, register{known: true, serial: r.serial + 1}}
	case c.Result == trace.ResultUnknown:
		return []any{r}
	case !r.known:
		return []any{next}
	case c.Result == trace.ResultAccepted && c.Serial == r.serial+1:
		return []any{next}
	case c.Result == trace.ResultRead && c.Serial == r.serial:
		return []any{next}
	default:
		return nil
	}
}

// checkRegister checks that the operators' changes and reads have an order in
// which each accepted change raises the serial by one.
func (h *History) checkRegister(t *tally) {
	var operations []porcupine.Operation
	for i, event := range h.kind(trace.KindCommand) {
		c := event.Command
		if c.Result == trace.ResultRejected {
			continue
		}
		op := porcupine.Operation{ClientId: i, Input: c, Call: c.Begun, Return: event.At}
		if c.Result == trace.ResultUnknown {
			op.Return = never
		}
		operations = append(operations, op)
	}
	model := registerModel.ToModel()
	if porcupine.CheckOperationsTimeout(model, operations, registerTimeout) == porcupine.Illegal {
		t.violationf("the serials of %d changes and reads fit no order", len(operations))
	}
}
