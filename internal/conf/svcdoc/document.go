// Package svcdoc defines the document in which a service team states what its
// service needs.
package svcdoc

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// Document is a checked service document.
type Document struct {
	Service ident.ServiceID
	// Deadline applies to requests that state none.
	Deadline time.Duration
	// Classes lists the caller classes, the most important first. The index of
	// a name is its ident.Class.
	Classes []string
	// NonIdempotent lists the actions that run at most once.
	NonIdempotent []string
	// Limits applies to each backend server that has none of its own.
	Limits Limits
	// Servers lists the backend servers in the order of the document.
	Servers []Server
}

// Limits states what one backend server bears.
type Limits struct {
	// Slots is the number of requests that run at once on a warm server.
	Slots int
	// Connections is the number of open connections.
	Connections int
	// ConnectCost is the server's own time per new connection.
	ConnectCost time.Duration
	// ColdSlots is the number of requests that run at once in cold start.
	ColdSlots int
	// WarmAfter is the number of completed requests after which a server is
	// warm.
	WarmAfter int
}

// Server is one backend server of a service.
type Server struct {
	ID      ident.ServerID
	Address string
	Zone    ident.Zone
	// Shard is the shard that the server holds while it reports no map of its
	// own.
	Shard  ident.Shard
	Limits Limits
}

// Class returns the rank of the named class. Unknown and empty names rank last.
func (d *Document) Class(name string) ident.Class {
	for i, known := range d.Classes {
		if known == name {
			return ident.Class(i)
		}
	}
	return ident.Class(max(len(d.Classes)-1, 0))
}

// IsNonIdempotent reports whether the named action runs at most once.
func (d *Document) IsNonIdempotent(action string) bool {
	for _, known := range d.NonIdempotent {
		if known == action {
			return true
		}
	}
	return false
}

// Shards returns the number of shards that the document itself states.
func (d *Document) Shards() int {
	count := 0
	for _, server := range d.Servers {
		count = max(count, int(server.Shard)+1)
	}
	return count
}
