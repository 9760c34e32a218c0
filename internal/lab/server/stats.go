package server

import "github.com/samphirestair/samphirestair/internal/base/ident"

// Stats counts what happened at one backend server.
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
	// ColdOverloads counts the requests that made the server fall over in cold
	// start.
	ColdOverloads int `json:"cold_excess"`
	// SlotPeak is the largest number of requests at once, waiting ones
	// included.
	SlotPeak int `json:"slot_peak"`
	// SlotExcess counts the requests that had to wait for a slot because more
	// were sent at once than there are slots.
	SlotExcess int `json:"slot_excess"`
	// Connections is the present number of connections. ConnectionPeak is the
	// largest, ConnectionsAccepted the number accepted since the start, and
	// ConnectionExcess the number closed because the limit was reached.
	Connections         int `json:"connections_now"`
	ConnectionPeak      int `json:"connection_peak"`
	ConnectionsAccepted int `json:"connected"`
	ConnectionExcess    int `json:"connection_excess"`
	// Executions counts the actions that ran, Duplicates those that had run
	// before on any server of the host.
	Executions int `json:"executions"`
	Duplicates int `json:"duplicates"`
	// LastWorkAt is the time at which the last request was accepted, in
	// nanoseconds since the Unix epoch.
	LastWorkAt int64 `json:"last_work_at"`
}
