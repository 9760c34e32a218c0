package entry

import (
	"strings"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/query/course"
)

// HandleReply implements mesh.ReplyHandler. Answers to another process of this
// VM, or to a request that is over, are only used for what they tell of index
// versions.
func (e *Entry) HandleReply(from ident.Process, reply msgs.Reply) {
	e.learnMaps(reply.Answers)
	if ident.Incarnation(reply.Incarnation) != e.deps.Self.Incarnation {
		e.deps.Events.Count("query_crossed_answer")
		return
	}
	f := e.pending.find(course.RequestID(reply.ID))
	if f == nil {
		e.deps.Events.Count("query_late_answer")
		return
	}
	f.onReply(from.VM, reply)
}

// HandleLost implements mesh.ReplyHandler.
func (e *Entry) HandleLost(to ident.VMID, query msgs.Query, sent bool) {
	if f := e.pending.find(course.RequestID(query.ID)); f != nil {
		f.onLost(to, query, sent)
	}
}

// learnMaps takes over what answers tell of the index versions of servers.
func (e *Entry) learnMaps(answers []msgs.Answer) {
	for i := range answers {
		answer := &answers[i]
		if answer.Server == "" {
			continue
		}
		name, _, _ := strings.Cut(answer.Server, "/")
		service, server := ident.ServiceID(name), ident.ServerID(answer.Server)
		switch {
		case len(answer.Maps) > 0 || answer.Status == msgs.StatusWrongVersion:
			e.table.Learn(service, server, answer.Maps)
		case answer.Status == msgs.StatusOK:
			e.table.Confirm(service, server, ident.Version(answer.Version), ident.Shard(answer.Shard))
		}
	}
}
