package server

import "github.com/samphirestair/samphirestair/internal/base/ident"

// Stats holds the counters and the present state of one backend server.
type Stats struct {
	Server    ident.ServerID `json:"server"`
	Zone      ident.Zone     `json:"zone"`
	Boot      ident.BootID   `json:"boot"`
	Cold      bool           `json:"cold"`
	Up        bool           `json:"up"`
	Accepted  int            `json:"accepted"`
	Completed int            `json:"completed"`
	Shed      int            `json:"shed"`
	Cancelled int            `json:"cancelled"`
	Expired   int            `json:"expired"`
	// ColdOverloads counts the requests that exceeded the concurrency limit of
	// the cold server and made it restart.
	ColdOverloads int `json:"cold_excess"`
	// SlotPeak is the largest number of requests in flight at once, including
	// those that wait for a slot.
	SlotPeak int `json:"slot_peak"`
	// SlotExcess counts the accepted requests that arrived while at least as
	// many were in flight as there are slots.
	SlotExcess int `json:"slot_excess"`
	// Connections is the present number of connections and ConnectionPeak the
	// largest so far. ConnectionsAccepted counts the accepted connections,
	// ConnectionExcess those closed because the limit was reached.
	Connections         int `json:"connections_now"`
	ConnectionPeak      int `json:"connection_peak"`
	ConnectionsAccepted int `json:"connected"`
	ConnectionExcess    int `json:"connection_excess"`
	// Executions counts the executions of actions. Duplicates counts those whose
	// action and key had been executed before on any server of the host.
	Executions int `json:"executions"`
	Duplicates int `json:"duplicates"`
	// LastWorkAt is the time at which the last request was accepted, in
	// nanoseconds since the Unix epoch.
	LastWorkAt int64 `json:"last_work_at"`
}
