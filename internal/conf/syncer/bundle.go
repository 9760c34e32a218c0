package syncer

import (
	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/index"
)

// Bundle is a complete configuration: the index and the texts of its documents.
// VMs send it to each other.
type Bundle struct {
	Revision  ident.Revision   `json:"revision"`
	Index     *index.Index     `json:"index"`
	Documents []BundleDocument `json:"documents"`
}

// BundleDocument is the text of one document of a bundle.
type BundleDocument struct {
	Service ident.ServiceID `json:"service"`
	Change  ident.ChangeID  `json:"change"`
	Text    string          `json:"text"`
	// Absent is true if the sending VM found that the key-value service does
	// not hold the document.
	Absent bool `json:"absent,omitempty"`
}

// body returns the text of d, which is absent if the document is.
func (d BundleDocument) body() text {
	if d.Absent {
		return coll.None[string]()
	}
	return coll.Some(d.Text)
}

// bundle returns the configuration in force. ok is false if there is none yet.
func (t *tracker) bundle() (b Bundle, ok bool) {
	current, ok := t.inForce.Get()
	if !ok {
		return Bundle{}, false
	}
	b = Bundle{Revision: current.revision, Index: current.index.Clone()}
	for _, ref := range references(current.index) {
		body, known := t.texts[ref].Get()
		b.Documents = append(b.Documents, BundleDocument{
			Service: ref.service,
			Change:  ref.change,
			Text:    body,
			Absent:  !known,
		})
	}
	return b, true
}

// merge offers the index of a bundle and stores its texts. Texts that are known
// already are not replaced. A bundle without an index is ignored.
func (t *tracker) merge(b Bundle) {
	if b.Index == nil {
		return
	}
	t.offer(b.Revision, b.Index)
	for _, document := range b.Documents {
		ref := reference{service: document.Service, change: document.Change}
		if _, known := t.texts[ref].Get(); !known {
			t.setText(ref, document.body())
		}
	}
}
