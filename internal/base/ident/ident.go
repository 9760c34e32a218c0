// Package ident defines the named types for identities and units that all
// other packages share.
package ident

import "fmt"

// VMID names an entry VM. It stays the same across restarts of the VM.
type VMID string

// Incarnation distinguishes successive processes of one VM. It is chosen at
// process start and is greater than that of every earlier process of the VM.
type Incarnation uint64

// Zone names an availability zone.
type Zone string

// ServiceID names a service, and so its document.
type ServiceID string

// ServerID names a backend server. It is unique in the whole fleet and has the
// form "service/name".
type ServerID string

// GroupID names a group of backend servers that have one owner VM.
type GroupID string

// Shard is the number of a shard of a service's index, counted from 0.
type Shard uint32

// Version is the version of a service's index. 0 means no version.
type Version uint64

// Revision is a position in the history of the key-value service. 0 means
// absent.
type Revision uint64

// ChangeID names one change that an operator asked for.
type ChangeID string

// RequestID names a query or action. It is unique within the incarnation of
// the VM that issued it.
type RequestID uint64

// BootID identifies one run of a backend server's process.
type BootID string

// Class is the rank of a caller class. 0 is the most important.
type Class uint8

// Process identifies one process of an entry VM.
type Process struct {
	VM          VMID        `json:"vm"`
	Incarnation Incarnation `json:"incarnation"`
}

// String returns the process as "vm#incarnation".
func (p Process) String() string {
	return fmt.Sprintf("%s#%d", p.VM, p.Incarnation)
}

// IsZero reports whether p names no process.
func (p Process) IsZero() bool {
	return p == Process{}
}
