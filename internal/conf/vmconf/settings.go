// Package vmconf defines and reads the settings of one entry VM's process.
package vmconf

import (
	"log/slog"
	"net"
	"strconv"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// Settings are the checked settings of one process.
type Settings struct {
	VM       VM
	Listen   Listen
	Platform Platform
	Policies Policies
	Fleet    Fleet
	Log      Log
	Test     Test
}

// VM says which VM the process runs on.
type VM struct {
	ID   ident.VMID
	Zone ident.Zone
	// IP is the address on which the process listens.
	IP string
}

// Listen holds the ports of the process.
type Listen struct {
	// Caller takes requests of callers.
	Caller int
	// Peer takes traffic from other VMs.
	Peer int
	// Control takes control messages from other VMs.
	Control int
	// Admin takes requests of operators.
	Admin int
}

// Platform holds the URLs of the platform's services.
type Platform struct {
	Store string
	VMs   string
}

// Policies holds one plug-in name per kind of policy.
type Policies struct {
	Replica   string
	Hedge     string
	Admission string
}

// Fleet holds the times that all VMs have to agree on.
type Fleet struct {
	// Lease is the length of the lease of a group of backend servers.
	Lease time.Duration
	// Heartbeat is the time between heartbeats to a peer.
	Heartbeat time.Duration
	// ListLifetime is the time for which callers may keep a list of addresses.
	ListLifetime time.Duration
	// StopBound is the time that a planned stop may take.
	StopBound time.Duration
}

// Log says how the process logs.
type Log struct {
	// Format is "text" or "json".
	Format string
	Level  slog.Level
}

// Test holds settings for tests only.
type Test struct {
	// Faults allows requests to the admin listener that cut links to other
	// VMs.
	Faults bool
}

// CallerAddress returns the "ip:port" address for callers.
func (s *Settings) CallerAddress() string { return s.address(s.Listen.Caller) }

// PeerAddress returns the "ip:port" address for traffic from other VMs.
func (s *Settings) PeerAddress() string { return s.address(s.Listen.Peer) }

// ControlAddress returns the "ip:port" address for control messages.
func (s *Settings) ControlAddress() string { return s.address(s.Listen.Control) }

// AdminAddress returns the "ip:port" address for operators.
func (s *Settings) AdminAddress() string { return s.address(s.Listen.Admin) }

func (s *Settings) address(port int) string {
	return net.JoinHostPort(s.VM.IP, strconv.Itoa(port))
}
