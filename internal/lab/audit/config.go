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

// registerTimeout limits the linearizability check of the operators' commands.
const registerTimeout = 30 * time.Second

// checkConfig checks that an accepted change is in force on every process once
// changeGrace has passed, that the serial in force on a VM never decreases, and
// that the operators' commands are linearizable.
func checkConfig(h *History, t *tally) {
	latest := map[ident.VMID]uint64{}
	accepted := h.acceptedChanges()
	for _, event := range h.eventsOfKind(trace.KindConfig) {
		c := event.Config
		if c.Serial == 0 {
			continue
		}
		if c.Serial < latest[c.VM] {
			t.violationf("at %d %s has serial %d in force after %d", event.At, c.VM, c.Serial, latest[c.VM])
		}
		latest[c.VM] = max(latest[c.VM], c.Serial)
		if required := accepted.requiredSerial(event.At); required > 0 {
			t.countEvent()
			if c.Serial < required {
				t.violationf("at %d %s has serial %d in force, %d was accepted before", event.At, c.VM, c.Serial, required)
			}
		}
	}
	h.checkRegister(t, registerTimeout)
}

// acceptedCommands are the events of accepted commands, ordered by time.
type acceptedCommands []*trace.Event

func (h *History) acceptedChanges() acceptedCommands {
	var accepted acceptedCommands
	for _, event := range h.eventsOfKind(trace.KindCommand) {
		if event.Command.Result == trace.ResultAccepted {
			accepted = append(accepted, event)
		}
	}
	return accepted
}

// requiredSerial returns the lowest serial that a process may have in force at
// the given time, or 0 if no change has to be in force yet.
func (c acceptedCommands) requiredSerial(at int64) uint64 {
	highest := uint64(0)
	for _, event := range c {
		if event.At+changeGrace < at {
			highest = max(highest, event.Command.Serial)
		}
	}
	return highest
}

// register models the stored configuration as a register that holds its
// serial. The serial is unknown until the first accepted change or read.
type register struct {
	known  bool
	serial uint64
}

// registerModel is the sequential specification of the register. It is
// nondeterministic because a change whose result is unknown may or may not have
// taken effect.
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

// step returns the possible states after the command, or none if the command's
// result is impossible in this state.
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

// checkRegister checks that the operators' changes and reads are linearizable:
// that they fit an order in which each accepted change raises the serial by
// one and each read returns the current one. It reports a violation, too, if it
// can't tell within the timeout.
func (h *History) checkRegister(t *tally, timeout time.Duration) {
	var operations []porcupine.Operation
	for i, event := range h.eventsOfKind(trace.KindCommand) {
		c := event.Command
		if c.Result == trace.ResultRejected {
			continue
		}
		op := porcupine.Operation{ClientId: i, Input: c, Call: c.IssuedAt, Return: event.At}
		if c.Result == trace.ResultUnknown {
			op.Return = never
		}
		operations = append(operations, op)
	}
	model := registerModel.ToModel()
	switch porcupine.CheckOperationsTimeout(model, operations, timeout) {
	case porcupine.Illegal:
		t.violationf("the serials of %d changes and reads fit no order", len(operations))
	case porcupine.Unknown:
		t.violationf("not decided within %v whether the serials of %d changes and reads fit an order", timeout, len(operations))
	}
}
