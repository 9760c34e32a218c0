// Package svcdoc defines and reads service documents. In its document, a service
// team describes the backend servers and limits of its service.
package svcdoc

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// Document is a validated service document.
type Document struct {
	Service ident.ServiceID
	// Deadline applies to requests that do not state one.
	Deadline time.Duration
	// Classes lists the caller classes, the most important first. The index of
	// a name is its ident.Class.
	Classes []string
	// NonIdempotent lists the actions that must run at most once.
	NonIdempotent []string
	// Limits holds the defaults of the limits of each backend server.
	Limits Limits
	// Servers lists the backend servers in the order of the document.
	Servers []Server
}

// Limits holds the capacity limits of one backend server.
type Limits struct {
	// Slots is the maximum number of concurrent requests on a warm server.
	Slots int
	// Connections is the maximum number of open connections.
	Connections int
	// ConnectCost is the processing time that a new connection costs the server.
	ConnectCost time.Duration
	// ColdSlots is the maximum number of concurrent requests on a server that is
	// still warming up.
	ColdSlots int
	// WarmAfter is the number of completed requests after which a server counts
	// as warm.
	WarmAfter int
}

// Server is one backend server of a service.
type Server struct {
	ID      ident.ServerID
	Address string
	Zone    ident.Zone
	// Shard is the shard that the server holds unless the server itself reports
	// which shards it holds.
	Shard  ident.Shard
	Limits Limits
}

// Class returns the rank of the named class. Unknown and empty names get the rank
// of the least important class.
func (d *Document) Class(name string) ident.Class {
	for i, known := range d.Classes {
		if known == name {
			return ident.Class(i)
		}
	}
	return ident.Class(max(len(d.Classes)-1, 0))
}

// IsNonIdempotent reports whether the named action must run at most once.
func (d *Document) IsNonIdempotent(action string) bool {
	for _, known := range d.NonIdempotent {
		if known == action {
			return true
		}
	}
	return false
}

// Shards returns the number of shards according to the document.
func (d *Document) Shards() int {
	count := 0
	for _, server := range d.Servers {
		count = max(count, int(server.Shard)+1)
	}
	return count
}
