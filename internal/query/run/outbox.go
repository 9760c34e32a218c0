package run

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
)

// outbox collects the messages of one step, one per receiver and version.
type outbox struct {
	step    Step
	sends   map[sendKey]int
	cancels map[ident.VMID]int
}

type sendKey struct {
	to      ident.VMID
	version ident.Version
	kind    msgs.Kind
}

// query adds an item to the query for an owner. template holds the fields
// that all queries of the request have in common.
func (o *outbox) query(to view.Member, template msgs.Query, item msgs.Item) {
	key := sendKey{to: to.Process.VM, version: ident.Version(template.Version), kind: template.Kind}
	i, ok := o.sends[key]
	if !ok {
		if o.sends == nil {
			o.sends = map[sendKey]int{}
		}
		i = len(o.step.Sends)
		o.sends[key] = i
		o.step.Sends = append(o.step.Sends, Send{To: to, Query: template})
	}
	query := &o.step.Sends[i].Query
	query.Items = append(query.Items, item)
}

func (o *outbox) cancel(to view.Member, id uint64, seq uint32) {
	i, ok := o.cancels[to.Process.VM]
	if !ok {
		if o.cancels == nil {
			o.cancels = map[ident.VMID]int{}
		}
		i = len(o.step.Cancels)
		o.cancels[to.Process.VM] = i
		o.step.Cancels = append(o.step.Cancels, Cancel{To: to, Cancel: msgs.Cancel{ID: id}})
	}
	cancel := &o.step.Cancels[i].Cancel
	cancel.Seqs = append(cancel.Seqs, seq)
}

// take returns the collected step and empties the outbox.
func (o *outbox) take() Step {
	step := o.step
	*o = outbox{}
	return step
}

func budgetMicros(now, deadline time.Time) int64 {
	return max(deadline.Sub(now).Microseconds(), 0)
}
