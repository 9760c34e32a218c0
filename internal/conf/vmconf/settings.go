// Package vmconf defines and reads the settings file of the process on an entry
// VM.
package vmconf

import (
	"log/slog"
	"net"
	"strconv"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// Settings holds the validated settings of one process, one field per section of
// the file.
type Settings struct {
	VM       VM
	Listen   Listen
	Platform Platform
	Policies Policies
	Fleet    Fleet
	Log      Log
	Test     Test
}

// VM describes the VM that the process runs on.
type VM struct {
	ID   ident.VMID
	Zone ident.Zone
	// IP is the address on which the process listens.
	IP string
	// Memory is the memory of the process in bytes.
	Memory int64
}

// Listen holds the ports on which the process listens.
type Listen struct {
	// Caller is for requests of callers.
	Caller int
	// Peer is for requests from other VMs.
	Peer int
	// Control is for control messages from other VMs.
	Control int
	// Admin is for operators.
	Admin int
}

// Platform holds the URLs of the platform's services.
type Platform struct {
	Store string
	VMs   string
}

// Policies holds the name of the policy used for each kind.
type Policies struct {
	Replica   string
	Hedge     string
	Admission string
}

// Fleet holds durations that must be the same on all VMs.
type Fleet struct {
	// Lease is the duration of the lease on a group of backend servers.
	Lease time.Duration
	// Heartbeat is the interval between heartbeats to another VM.
	Heartbeat time.Duration
	// ListLifetime is how long callers may cache the list of VM addresses.
	ListLifetime time.Duration
	// StopBound is the maximum duration of a planned stop.
	StopBound time.Duration
}

// Log holds the settings of logging.
type Log struct {
	// Format is "text" or "json".
	Format string
	Level  slog.Level
}

// Test holds settings for tests only.
type Test struct {
	// Faults enables requests to the admin port that cut the links to other
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

// address returns the address of a port on the IP address of the VM.
func (s *Settings) address(port int) string {
	return net.JoinHostPort(s.VM.IP, strconv.Itoa(port))
}
