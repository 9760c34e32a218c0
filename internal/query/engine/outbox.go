package engine

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
)

// querySeqBits is the number of low bits of a query ID that number the queries
// of one request. The other bits are the request ID.
const querySeqBits = 20

// initialItemCapacity is the initial capacity of a query's items.
const initialItemCapacity = 5

// RequestID returns the ID of the request that a query or its reply belongs to.
func RequestID(queryID uint64) uint64 {
	return queryID >> querySeqBits
}

// outbox collects the messages of one step: one query per receiver, kind and
// version, and one cancel per query. Each query has an ID of its own, because
// owners drop a query whose ID they are already working on.
type outbox struct {
	requestID   uint64
	lastSeq     uint64
	step        Step
	sendIndex   map[sendKey]int
	cancelIndex map[uint64]int
}

type sendKey struct {
	receiver ident.VMID
	version  ident.Version
	kind     msgs.Kind
}

// addItem adds an item to the query for an owner and returns the query's ID.
// template holds the fields that are common to all queries of the request.
func (o *outbox) addItem(to view.Member, template msgs.Query, item msgs.Item) uint64 {
	key := sendKey{receiver: to.Process.VM, version: ident.Version(template.Version), kind: template.Kind}
	i, ok := o.sendIndex[key]
	if !ok {
		if o.sendIndex == nil {
			o.sendIndex = map[sendKey]int{}
		}
		i = len(o.step.Sends)
		o.sendIndex[key] = i
		template.ID = o.nextQueryID()
		template.Items = make([]msgs.Item, 0, initialItemCapacity)
		o.step.Sends = append(o.step.Sends, Send{To: to, Query: template})
	}
	query := &o.step.Sends[i].Query
	query.Items = append(query.Items, item)
	return query.ID
}

func (o *outbox) nextQueryID() uint64 {
	o.lastSeq++
	return o.requestID<<querySeqBits | o.lastSeq&(1<<querySeqBits-1)
}

// addCancel adds the item seq of the query id to the cancel for an owner.
func (o *outbox) addCancel(to view.Member, id uint64, seq uint32) {
	i, ok := o.cancelIndex[id]
	if !ok {
		if o.cancelIndex == nil {
			o.cancelIndex = map[uint64]int{}
		}
		i = len(o.step.Cancels)
		o.cancelIndex[id] = i
		o.step.Cancels = append(o.step.Cancels, Cancel{To: to, Cancel: msgs.Cancel{ID: id}})
	}
	cancel := &o.step.Cancels[i].Cancel
	cancel.Seqs = append(cancel.Seqs, seq)
}

// flush returns the collected step and empties the outbox.
func (o *outbox) flush() Step {
	step := o.step
	o.step, o.sendIndex, o.cancelIndex = Step{}, nil, nil
	return step
}

func budgetMicros(now, deadline time.Time) int64 {
	return max(deadline.Sub(now).Microseconds(), 0)
}
