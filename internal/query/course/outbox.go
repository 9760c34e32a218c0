package course

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
)

// messageBits is the number of low bits of a message ID that number the
// messages of one request.
const messageBits = 20

// usualItems is the number of items to make room for in a query.
const usualItems = 5

// RequestID returns the ID of the request that a message belongs to.
func RequestID(messageID uint64) uint64 {
	return messageID >> messageBits
}

// outbox collects the messages of one step, one per receiver, kind and
// version. Each gets an ID of its own, because owners drop a message whose ID
// they are working on.
type outbox struct {
	request  uint64
	messages uint64
	step     Step
	sends    map[sendKey]int
	cancels  map[uint64]int
}

type sendKey struct {
	to      ident.VMID
	version ident.Version
	kind    msgs.Kind
}

// query adds an item to the query for an owner and returns the query's ID.
// template holds the fields that all queries of the request have in common.
func (o *outbox) query(to view.Member, template msgs.Query, item msgs.Item) uint64 {
	key := sendKey{to: to.Process.VM, version: ident.Version(template.Version), kind: template.Kind}
	i, ok := o.sends[key]
	if !ok {
		if o.sends == nil {
			o.sends = map[sendKey]int{}
		}
		i = len(o.step.Sends)
		o.sends[key] = i
		template.ID = o.nextID()
		template.Items = make([]msgs.Item, 0, usualItems)
		o.step.Sends = append(o.step.Sends, Send{To: to, Query: template})
	}
	query := &o.step.Sends[i].Query
	query.Items = append(query.Items, item)
	return query.ID
}

func (o *outbox) nextID() uint64 {
	o.messages++
	return o.request<<messageBits | o.messages&(1<<messageBits-1)
}

func (o *outbox) cancel(to view.Member, id uint64, seq uint32) {
	i, ok := o.cancels[id]
	if !ok {
		if o.cancels == nil {
			o.cancels = map[uint64]int{}
		}
		i = len(o.step.Cancels)
		o.cancels[id] = i
		o.step.Cancels = append(o.step.Cancels, Cancel{To: to, Cancel: msgs.Cancel{ID: id}})
	}
	cancel := &o.step.Cancels[i].Cancel
	cancel.Seqs = append(cancel.Seqs, seq)
}

// take returns the collected step and empties the outbox.
func (o *outbox) take() Step {
	step := o.step
	o.step, o.sends, o.cancels = Step{}, nil, nil
	return step
}

func budgetMicros(now, deadline time.Time) int64 {
	return max(deadline.Sub(now).Microseconds(), 0)
}
