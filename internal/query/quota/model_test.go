package quota

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// model is a process "p" that leases its share to "a" and "b" through a network that delays,
// repeats and loses messages. Shares of different processes don't depend on each other, so that
// one process that leases and two that own show all that can happen to a share.
type model struct {
	now    time.Duration
	holder *Holder
	// owners are the owners by VM, that of each process of p included, and boots counts the
	// processes.
	owners map[ident.VMID][]*Owner
	boots  uint64
	view   []ident.VMID
	// messages are those in the network.
	messages []modelMessage
	orders   map[*Order]bool
}

type modelMessage struct {
	out   Outgoing
	reply *Reply
	// holder is the one that gets the reply.
	holder *Holder
}

var modelClock = map[ident.VMID]time.Duration{"p": time.Hour, "a": 2 * time.Hour, "b": time.Minute}

const modelStep = 200 * time.Millisecond

func newModel() *model {
	m := &model{owners: map[ident.VMID][]*Owner{}, view: []ident.VMID{"a"}}
	for _, vm := range []ident.VMID{"a", "b", "p"} {
		m.restart(vm)
	}
	return m
}

func (m *model) restart(vm ident.VMID) {
	m.boots++
	owner := NewOwner(m.now+modelClock[vm], m.boots, func() Bounds { return Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20} })
	m.owners[vm] = []*Owner{owner}
	if vm == "p" {
		m.holder = NewHolder(m.now+modelClock[vm], Process{vm, m.boots}, owner)
		m.orders = map[*Order]bool{}
	}
}

// actions returns the actions that are possible, in a fixed order.
func (m *model) actions() []string {
	actions := []string{"time", "tick", "round", "view a", "view b", "view p", "restart p", "restart a"}
	for i := range m.messages {
		actions = append(actions, fmt.Sprint("deliver ", i), fmt.Sprint("repeat ", i))
	}
	if len(m.orders) > 0 {
		actions = append(actions, "fail")
	}
	return actions
}

func (m *model) do(action string) {
	verb, object, _ := strings.Cut(action, " ")
	local := m.now + modelClock["p"]
	switch verb {
	case "time":
		m.now += modelStep
	case "tick":
		m.holder.Update(local, Situation{Owners: slices.Clone(m.view), Sharers: 6, Serving: true})
		for _, out := range m.holder.Due(local) {
			m.messages = append(m.messages, modelMessage{out: out})
			m.orders[out.Order] = true
		}
	case "round":
		// A tick with a network that delivers at once.
		m.do("tick")
		for len(m.messages) > 0 {
			m.do("deliver 0")
		}
	case "view":
		m.view = []ident.VMID{ident.VMID(object)}
	case "restart":
		m.restart(ident.VMID(object))
	case "fail":
		for order := range m.orders {
			for vm := range m.holder.peers {
				m.holder.Failed(local, vm, order)
			}
		}
		clear(m.orders)
	default:
		var i int
		_, _ = fmt.Sscan(object, &i)
		message := m.messages[i]
		if verb == "deliver" {
			m.messages = slices.Delete(slices.Clone(m.messages), i, i+1)
		}
		m.receive(message)
	}
}

func (m *model) receive(message modelMessage) {
	vm := message.out.To
	if message.reply == nil {
		reply := m.owners[vm][0].Handle(m.now+modelClock[vm], message.out.Order)
		m.messages = append(m.messages, modelMessage{message.out, reply, m.holder})
		return
	}
	if message.holder == m.holder {
		m.holder.Answered(m.now+modelClock["p"], vm, message.out.Order, message.reply)
		delete(m.orders, message.out.Order)
	}
}

// uses returns how often the share of p in slot 0 can be used now.
func (m *model) uses() int {
	count := 0
	for vm, owners := range m.owners {
		owners[0].advance(m.now + modelClock[vm])
		for process, l := range owners[0].leases {
			if process.VM == "p" && l.slots.has(0) {
				count++
			}
		}
	}
	return count
}

// key identifies the state up to the time.
func (m *model) key() string {
	var b strings.Builder
	h, now := m.holder, m.now+modelClock["p"]
	since := func(at time.Duration) time.Duration { return min(now-at, time.Second) }
	fmt.Fprint(&b, m.view, m.boots, since(h.started), h.desired[0], h.slots[0].owner, h.slots[0].leasedTo, max(h.slots[0].until-now, 0))
	for _, vm := range []ident.VMID{"a", "b", "p"} {
		if p := h.peers[vm]; p != nil {
			fmt.Fprint(&b, vm, p.boot, since(p.stampAt), since(p.sentAt), p.failed, p.urgent, p.order != nil, p.order != nil && m.orders[p.order])
			if p.order != nil {
				fmt.Fprint(&b, h.seq-p.order.Seq)
			}
			fmt.Fprint(&b, m.now+modelClock[vm]-time.Duration(p.stamp))
		}
		owner := m.owners[vm][0]
		for boot := range m.boots + 1 {
			if l := owner.leases[Process{"p", boot}]; l != nil {
				fmt.Fprint(&b, "/", vm, boot, h.seq-l.seq, l.slots.has(0), max(l.until-owner.now, 0))
			}
		}
	}
	for _, message := range m.messages {
		o := message.out.Order
		fmt.Fprint(&b, "|", message.out.To, o.Boot, h.seq-o.Seq, o.OwnerBoot, o.Slots&1, m.now+modelClock[message.out.To]-time.Duration(o.Stamp))
		if message.reply != nil {
			fmt.Fprint(&b, message.reply.Boot, m.now+modelClock[message.out.To]-time.Duration(message.reply.Stamp), message.holder == h)
		}
	}
	return b.String()
}

// Guards against a share that two owners use at the same time, in every order of events up to a
// depth: time, changed views, restarts, and messages that arrive late, repeatedly or never.
func TestShareIsUsedOnceInEveryOrderOfEvents(t *testing.T) {
	const (
		maxDepth    = 5
		maxMessages = 3
	)
	// The process has been running for long enough to lease its share to "a".
	prefix := []string{"tick", "time", "time", "time", "round", "round"}
	// An order that leases the share is late and given up, and the owner changes.
	late := append(slices.Clone(prefix), "time", "tick", "view b", "fail", "time", "tick")
	paths, seen, leased := [][]string{prefix, late}, map[string]bool{}, 0
	for range maxDepth {
		var next [][]string
		for _, path := range paths {
			before := newModel()
			for _, action := range path {
				before.do(action)
			}
			for _, action := range before.actions() {
				m := newModel()
				longer := append(slices.Clone(path), action)
				for _, a := range longer {
					m.do(a)
				}
				uses := m.uses()
				require.LessOrEqual(t, uses, 1, longer)
				if m.owners["a"][0].shares[0]+m.owners["b"][0].shares[0] > 0 {
					leased++
				}
				if key := m.key(); !seen[key] && len(m.messages) <= maxMessages && m.boots <= 4 {
					seen[key] = true
					next = append(next, longer)
				}
			}
		}
		paths = next
		t.Log(len(seen), "states,", leased, "leased")
	}
	require.NotZero(t, leased)
}
