// Package ident defines the types of identifiers that are shared by all packages.
package ident

import "fmt"

// VMID names an entry VM. It stays the same across restarts of the VM.
type VMID string

// Incarnation distinguishes successive processes on one VM. It is chosen at
// process start and is greater than that of every earlier process on the VM.
type Incarnation uint64

// Zone names an availability zone.
type Zone string

// ServiceID names a service and its document.
type ServiceID string

// TenantID names a tenant: a customer of the callers' services, with its own keys and quota.
type TenantID string

// ServerID names a backend server as "service/name". It is unique among the backend
// servers of all services.
type ServerID string

// GroupID names a group of backend servers that are owned by the same VM.
type GroupID string

// Shard is the number of a shard of a service's index, counted from 0.
type Shard uint32

// Version is the version of a service's search index. 0 means no version.
type Version uint64

// Revision is a position in the write history of the key-value service. 0 means
// that the key does not exist.
type Revision uint64

// ChangeID names one configuration change requested by an operator.
type ChangeID string

// RequestID names a query or action. It is unique within the process of the VM that
// issued it.
type RequestID uint64

// BootID identifies one process of a backend server. It changes at each restart.
type BootID string

// Class is the rank of a caller class. 0 is the most important.
type Class uint8

// Process identifies one process on an entry VM.
type Process struct {
	VM          VMID        `json:"vm"`
	Incarnation Incarnation `json:"incarnation"`
}

// String returns the process as "vm#incarnation".
func (p Process) String() string {
	return fmt.Sprintf("%s#%d", p.VM, p.Incarnation)
}

// IsZero reports whether p is the zero value, which identifies no process.
func (p Process) IsZero() bool {
	return p == Process{}
}
