package spread

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// Dump is what a spreader knows, for operators.
type Dump struct {
	// Started is false until a configuration is in force.
	Started  bool           `json:"started"`
	Revision ident.Revision `json:"revision"`
	Serial   uint64         `json:"serial"`
	// Heard is when the key-value service last proved that no later revision
	// was accepted.
	LastConfirmed time.Time `json:"heard"`
	// Pending is a higher revision whose documents are being fetched, or 0.
	Pending   ident.Revision                     `json:"pending"`
	Missing   []ident.ChangeID                   `json:"wanted"`
	Documents map[ident.ServiceID]DumpedDocument `json:"documents"`
	// Notices holds higher revisions that other VMs told of.
	PeerRevisions map[ident.VMID]ident.Revision `json:"notices"`
	// StoreError is the last failure of the key-value service, or empty while
	// it answers.
	StoreError string `json:"store_error"`
}

// DumpedDocument says which change of a document the index names and which is
// used. They differ if the document named by the index is unusable.
type DumpedDocument struct {
	Named   ident.ChangeID `json:"named"`
	Used    ident.ChangeID `json:"used"`
	Problem string         `json:"problem,omitempty"`
}

func (t *tracker) dump() Dump {
	d := Dump{LastConfirmed: t.heard, Documents: map[ident.ServiceID]DumpedDocument{}}
	for _, ref := range t.wanted() {
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
		if err := t.broken[ref]; err != nil {
			document.Problem = err.Error()
		}
		d.Documents[ref.service] = document
	}
	return d
}
