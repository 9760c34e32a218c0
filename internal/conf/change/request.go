package change

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/index"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
)

// Kind is the kind of a change.
type Kind string

const (
	// Apply puts a document in force. The subject is its service.
	Apply Kind = "apply"
	// ZoneOut takes an availability zone out of service.
	ZoneOut Kind = "zone-out"
	// ZoneIn brings an availability zone back into service.
	ZoneIn Kind = "zone-in"
	// VMOut takes a VM out of service.
	VMOut Kind = "vm-out"
	// VMIn brings a VM back into service.
	VMIn Kind = "vm-in"
	// ServerOut takes a backend server out of service.
	ServerOut Kind = "server-out"
	// ServerIn brings a backend server back into service.
	ServerIn Kind = "server-in"
)

// Request is a change that an operator requests.
type Request struct {
	Kind Kind
	// Subject names the zone, VM or backend server. It is ignored for Apply.
	Subject string
	// Document is set for Apply.
	Document *svcdoc.Document
	// By names the operator.
	By string
	// ExpectSerial, if present, rejects the change unless the configuration has
	// this serial.
	ExpectSerial coll.Option[uint64]
	// Force allows taking out zones and backend servers that no document names.
	Force bool
}

// subject returns the zone, VM, backend server or service that r changes.
func (r *Request) subject() string {
	if r.Kind == Apply {
		return string(r.Document.Service)
	}
	return r.Subject
}

// touches reports whether an accepted change concerns the subject of r.
func (r *Request) touches(other index.Change) bool {
	return other.Subject == r.subject() && indexField(Kind(other.Kind)) == indexField(r.Kind)
}

// indexField returns the part of the index that a kind of change modifies.
func indexField(kind Kind) string {
	switch kind {
	case Apply:
		return "documents"
	case ZoneOut, ZoneIn:
		return "zones"
	case VMOut, VMIn:
		return "vms"
	default:
		return "servers"
	}
}

// apply returns a copy of the index with the change applied and appended.
func (r *Request) apply(ix *index.Index, id ident.ChangeID, at time.Time) *index.Index {
	next := ix.Clone()
	switch r.Kind {
	case Apply:
		next.Documents[r.Document.Service] = id
	case ZoneOut:
		next.ZonesOut[ident.Zone(r.Subject)] = id
	case ZoneIn:
		delete(next.ZonesOut, ident.Zone(r.Subject))
	case VMOut:
		next.VMsOut[ident.VMID(r.Subject)] = id
	case VMIn:
		delete(next.VMsOut, ident.VMID(r.Subject))
	case ServerOut:
		next.ServersOut[ident.ServerID(r.Subject)] = id
	case ServerIn:
		delete(next.ServersOut, ident.ServerID(r.Subject))
	}
	next.Append(index.Change{ID: id, Kind: string(r.Kind), Subject: r.subject(), By: r.By, At: at.UTC()})
	return next
}

// isOut returns the change that took the subject out of service, and whether it
// is out of service. It is not for Apply.
func (r *Request) isOut(ix *index.Index) (ident.ChangeID, bool) {
	switch indexField(r.Kind) {
	case "zones":
		id, out := ix.ZonesOut[ident.Zone(r.Subject)]
		return id, out
	case "vms":
		id, out := ix.VMsOut[ident.VMID(r.Subject)]
		return id, out
	default:
		id, out := ix.ServersOut[ident.ServerID(r.Subject)]
		return id, out
	}
}

// takesOut reports whether r takes its subject out of service.
func (r *Request) takesOut() bool {
	return r.Kind == ZoneOut || r.Kind == VMOut || r.Kind == ServerOut
}
