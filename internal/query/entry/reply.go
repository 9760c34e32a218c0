package entry

import (
	"strings"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/query/engine"
)

// HandleReply implements mesh.ReplyHandler. Replies to another process of this
// VM, or to a request that has ended, are counted and used only for the index
// versions that they report.
func (e *Entry) HandleReply(from ident.Process, reply msgs.Reply) {
	e.recordIndexVersions(reply.Answers)
	if ident.Incarnation(reply.Incarnation) != e.deps.Self.Incarnation {
		e.deps.Events.Count("query_crossed_answer")
		msgs.Release(reply.Answers)
		return
	}
	x := e.pending.find(engine.RequestID(reply.ID))
	if x == nil {
		e.deps.Events.Count("query_late_answer")
		msgs.Release(reply.Answers)
		return
	}
	x.onReply(from.VM, reply)
}

// HandleLost implements mesh.ReplyHandler. It ignores queries of requests that
// have ended.
func (e *Entry) HandleLost(to ident.VMID, query msgs.Query, sent bool) {
	if x := e.pending.find(engine.RequestID(query.ID)); x != nil {
		x.onLost(to, query, sent)
	}
}

// recordIndexVersions records in the table the index versions of servers that
// the answers report.
func (e *Entry) recordIndexVersions(answers []msgs.Answer) {
	for i := range answers {
		answer := &answers[i]
		if answer.Server == "" {
			continue
		}
		name, _, _ := strings.Cut(answer.Server, "/")
		service, server := ident.ServiceID(name), ident.ServerID(answer.Server)
		switch {
		case len(answer.Maps) > 0 || answer.Status == msgs.StatusWrongVersion:
			e.table.SetHoldings(service, server, answer.Maps)
		case answer.Status == msgs.StatusOK:
			e.table.ConfirmHolding(service, server, ident.Version(answer.Version), ident.Shard(answer.Shard))
		}
	}
}
