// Package mesh carries traffic messages between VMs. Messages to one VM are
// collected into batches while earlier batches are on their way.
package mesh

import (
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
)

// Sender sends messages to another VM, or to this one. The calls do not block
// and keep the message; the caller must not change it afterwards.
type Sender interface {
	SendQuery(to view.Member, q msgs.Query)
	SendReply(to view.Member, r msgs.Reply)
	SendCancel(to view.Member, c msgs.Cancel)
}

// QueryHandler executes sub-requests at the owner. Its methods are called
// concurrently and must not block for long.
type QueryHandler interface {
	HandleQuery(from ident.Process, q msgs.Query)
	HandleCancel(from ident.Process, c msgs.Cancel)
}

// ReplyHandler collects answers at the entry. Its methods are called
// concurrently and must not block for long.
type ReplyHandler interface {
	HandleReply(from ident.Process, r msgs.Reply)
	// HandleLost reports that a query did not reach its receiver, or may not
	// have: sent is false if it certainly did not.
	HandleLost(to ident.VMID, q msgs.Query, sent bool)
}
