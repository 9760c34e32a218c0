package syncer

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// Dump is the state of a Syncer as shown to operators.
type Dump struct {
	// Started is false until a configuration is in force.
	Started  bool           `json:"started"`
	Revision ident.Revision `json:"revision"`
	Serial   uint64         `json:"serial"`
	// LastConfirmed is what Syncer.LastConfirmed returns.
	LastConfirmed time.Time `json:"heard"`
	// Pending is a higher revision whose documents are being fetched, or 0.
	Pending ident.Revision `json:"pending"`
	// Missing lists the documents that are still to be fetched.
	Missing   []ident.ChangeID                   `json:"wanted"`
	Documents map[ident.ServiceID]DumpedDocument `json:"documents"`
	// PeerRevisions holds higher revisions that other VMs reported and this VM
	// has not fetched yet.
	PeerRevisions map[ident.VMID]ident.Revision `json:"notices"`
	// StoreError is the last error of the key-value service, or empty if its
	// last call succeeded.
	StoreError string `json:"store_error"`
}

// DumpedDocument identifies the change of a document that the index names and
// the one in use. They differ if the named document is missing or invalid;
// Problem then holds the error.
type DumpedDocument struct {
	Named   ident.ChangeID `json:"named"`
	Used    ident.ChangeID `json:"used"`
	Problem string         `json:"problem,omitempty"`
}

func (t *tracker) dump() Dump {
	d := Dump{LastConfirmed: t.lastConfirmed, Documents: map[ident.ServiceID]DumpedDocument{}}
	for _, ref := range t.missing() {
		d.Missing = append(d.Missing, ref.change)
	}
	if pending, ok := t.candidate.Get(); ok {
		d.Pending = pending.revision
	}
	current, ok := t.inForce.Get()
	if !ok {
		return d
	}
	d.Started, d.Revision, d.Serial = true, current.revision, current.index.Serial
	for _, ref := range references(current.index) {
		document := DumpedDocument{Named: ref.change, Used: t.parsed[ref.service].change}
		if err := t.unusable[ref]; err != nil {
			document.Problem = err.Error()
		}
		d.Documents[ref.service] = document
	}
	return d
}
