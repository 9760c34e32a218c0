package node

import (
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/link/mesh"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/owner/coord"
)

// router passes the replies to queries of this process, and the news that a query
// was lost, to the part that issued the query: the coordinator of actions or the
// entry.
type router struct {
	coordinator mesh.ReplyHandler
	entry       mesh.ReplyHandler
}

// HandleReply implements mesh.ReplyHandler.
func (r *router) HandleReply(from ident.Process, reply msgs.Reply) {
	r.issuer(reply.ID).HandleReply(from, reply)
}

// HandleLost implements mesh.ReplyHandler.
func (r *router) HandleLost(to ident.VMID, query msgs.Query, sent bool) {
	r.issuer(query.ID).HandleLost(to, query, sent)
}

// issuer returns the part that issued the query with the given id.
func (r *router) issuer(id uint64) mesh.ReplyHandler {
	if coord.OwnsQuery(id) {
		return r.coordinator
	}
	return r.entry
}
