package story

import (
	"fmt"
	"strings"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/link/mesh"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/owner/coord"
)

// link delivers the messages that one VM sends. It implements mesh.Sender.
type link struct {
	fleet *Fleet
	from  *VM
}

var _ mesh.Sender = (*link)(nil)

// SendQuery implements mesh.Sender.
func (l *link) SendQuery(to view.Member, q msgs.Query) {
	l.transmit(to, queryText(to.Process.VM, q), func(receiver *VM) {
		receiver.home.HandleQuery(l.from.member.Process, q)
	})
}

// SendReply implements mesh.Sender.
func (l *link) SendReply(to view.Member, r msgs.Reply) {
	l.transmit(to, replyText(to.Process.VM, r), func(receiver *VM) {
		if coord.OwnsQuery(r.ID) {
			receiver.home.HandleReply(l.from.member.Process, r)
			return
		}
		receiver.Entry.HandleReply(l.from.member.Process, r)
	})
}

// SendCancel implements mesh.Sender.
func (l *link) SendCancel(to view.Member, c msgs.Cancel) {
	text := fmt.Sprintf("tells %s to cancel %d sub-request(s)", to.Process.VM, len(c.Seqs))
	l.transmit(to, text, func(receiver *VM) {
		receiver.home.HandleCancel(l.from.member.Process, c)
	})
}

// transmit logs a message and delivers it after the latency, unless DropMessage
// drops it.
func (l *link) transmit(to view.Member, text string, deliver func(receiver *VM)) {
	receiver := l.fleet.VMs[to.Process.VM]
	if l.fleet.DropMessage(l.from.member.Process.VM, to.Process.VM, text) {
		l.fleet.Transcript.Logf(l.from.name(), "%s (lost on the way)", text)
		return
	}
	l.fleet.Transcript.Logf(l.from.name(), "%s", text)
	time.AfterFunc(latency(l.from, receiver), func() { deliver(receiver) })
}

// latency returns the one-way latency between two VMs. It differs for each pair, so
// that no two messages arrive at the same moment and the transcript's order is fixed.
func latency(from, to *VM) time.Duration {
	if from == to {
		return 50 * time.Microsecond
	}
	return time.Millisecond + time.Duration(from.index+3*to.index)*100*time.Microsecond
}

func (vm *VM) name() string {
	return string(vm.member.Process.VM)
}

func queryText(to ident.VMID, q msgs.Query) string {
	servers := make([]string, len(q.Items))
	for i, item := range q.Items {
		servers[i] = item.Server
	}
	list := strings.Join(servers, ", ")
	switch {
	case q.Kind == msgs.KindAction && servers[0] == "":
		return fmt.Sprintf("brings %q to the home of its key, %s", q.Action, to)
	case q.Kind == msgs.KindAction:
		return fmt.Sprintf("asks %s: %q at %s", to, q.Action, list)
	case q.Version == 0:
		return fmt.Sprintf("asks %s: which index versions have %s?", to, list)
	default:
		return fmt.Sprintf("asks %s: search version %d at %s", to, q.Version, list)
	}
}

// statusTexts maps the statuses of answers to their texts in the transcript.
var statusTexts = map[msgs.Status]string{
	msgs.StatusOK:         "ok",
	msgs.StatusNotRun:     "not run",
	msgs.StatusWrongOwner: "not the owner",
	msgs.StatusLate:       "late",
	msgs.StatusFailed:     "failed",
	msgs.StatusCancelled:  "cancelled",
}

func replyText(to ident.VMID, r msgs.Reply) string {
	parts := make([]string, len(r.Answers))
	for i, answer := range r.Answers {
		parts[i] = strings.TrimSpace(answer.Server + " " + answerText(answer))
	}
	return fmt.Sprintf("answers %s: %s", to, strings.Join(parts, ", "))
}

// answerText returns the status of an answer or, if the server was asked for its
// index versions or for a version that it does not hold, the versions that it holds.
func answerText(answer msgs.Answer) string {
	if answer.Status != msgs.StatusWrongVersion {
		return statusTexts[answer.Status]
	}
	text := "holds"
	for _, held := range answer.Maps {
		text += fmt.Sprintf(" version %d", held.Version)
	}
	return text
}
