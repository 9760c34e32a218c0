// Package mesh transports queries, replies and cancellations between VMs.
// Messages to one VM are batched while earlier batches are in flight.
package mesh

import (
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
)

// Sender sends messages to another VM, or to this one. The calls do not block
// and retain the message; the caller must not change it afterwards.
type Sender interface {
	SendQuery(to view.Member, q msgs.Query)
	SendReply(to view.Member, r msgs.Reply)
	SendCancel(to view.Member, c msgs.Cancel)
}

// QueryHandler executes sub-requests on the VM that owns the backend servers. Its methods are called
// concurrently and must not block for long.
type QueryHandler interface {
	HandleQuery(from ident.Process, q msgs.Query)
	HandleCancel(from ident.Process, c msgs.Cancel)
}

// ReplyHandler collects answers on the VM that received the caller's request. Its methods are called
// concurrently and must not block for long.
type ReplyHandler interface {
	HandleReply(from ident.Process, r msgs.Reply)
	// HandleLost is called when the transfer of a query failed. sent is false if the
	// query certainly did not reach the receiver, and true if it may have.
	HandleLost(to ident.VMID, q msgs.Query, sent bool)
}
