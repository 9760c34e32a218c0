// Package vmlist reads the platform's list of VMs. The list may be outdated: a
// change of a VM appears in it with a delay.
package vmlist

import (
	"context"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// State is the state of a VM in the list.
type State string

const (
	// Live is the state of a running VM.
	Live State = "live"
	// Leaving is the state of a VM that the platform is about to stop.
	Leaving State = "leaving"
)

// VM is one entry of the list.
type VM struct {
	ID   ident.VMID `json:"id"`
	Zone ident.Zone `json:"zone"`
	// IP is the address on which the VM's processes listen.
	IP    string `json:"ip"`
	State State  `json:"state"`
}

// List is the platform's list of VMs. Implementations are safe for concurrent
// use.
type List interface {
	// VMs returns the current list. An error means that the list could not be
	// read; it does not mean that any VM has failed.
	VMs(ctx context.Context) ([]VM, error)
}
