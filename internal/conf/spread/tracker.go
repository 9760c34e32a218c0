package spread

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/index"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
)

// reference names one immutable document.
type reference struct {
	service ident.ServiceID
	change  ident.ChangeID
}

// text is the text of a document. An absent text is one that the key-value
// service was found not to hold.
type text = coll.Option[string]

// state is one revision of the index.
type state struct {
	revision ident.Revision
	index    *index.Index
}

// problem is a document that cannot be put in force.
type problem struct {
	reference
	err error
}

// tracker decides which revision is in force and which documents are missing
// for the next one. It is a plain type: it holds no goroutine, socket or timer,
// and it is not safe for concurrent use.
type tracker struct {
	// inForce is absent until the first revision has been adopted.
	inForce   coll.Option[state]
	candidate coll.Option[state]
	texts     map[reference]text
	// parsed holds the document in force for each service.
	parsed map[ident.ServiceID]parsedDocument
	// broken holds the documents of the revision in force that are unusable.
	broken map[reference]error
	// heard is the latest time at which the key-value service is known to have
	// held no later revision than the one in force.
	heard time.Time
	proof coll.Option[proof]
}

// parsedDocument is a document with the change that it came from.
type parsedDocument struct {
	change   ident.ChangeID
	document *svcdoc.Document
}

// proof says that the key-value service held the revision at the given time.
type proof struct {
	revision ident.Revision
	at       time.Time
}

func newTracker() *tracker {
	return &tracker{
		texts:  map[reference]text{},
		parsed: map[ident.ServiceID]parsedDocument{},
		broken: map[reference]error{},
	}
}

// revision returns the revision in force, or 0.
func (t *tracker) revision() ident.Revision {
	return t.inForce.Or(state{}).revision
}

// newest returns the highest revision offered so far.
func (t *tracker) newest() ident.Revision {
	return max(t.revision(), t.candidate.Or(state{}).revision)
}

// offer notes a revision of the index. Revisions that are not above all earlier
// ones are ignored.
func (t *tracker) offer(revision ident.Revision, ix *index.Index) {
	_, started := t.inForce.Get()
	_, pending := t.candidate.Get()
	if (started || pending) && revision <= t.newest() {
		return
	}
	t.candidate = coll.Some(state{revision: revision, index: ix})
}

// prove notes that the key-value service was read at the given time and held
// the revision.
func (t *tracker) prove(revision ident.Revision, at time.Time) {
	if last, ok := t.proof.Get(); !ok || at.After(last.at) {
		t.proof = coll.Some(proof{revision: revision, at: at})
	}
	t.settleProof()
}

func (t *tracker) settleProof() {
	p, ok := t.proof.Get()
	if _, started := t.inForce.Get(); ok && started && p.revision <= t.revision() && p.at.After(t.heard) {
		t.heard = p.at
	}
}

// learn notes the text of a document.
func (t *tracker) learn(ref reference, body text) {
	t.texts[ref] = body
}

// wanted returns the documents whose texts are needed next, in a fixed order.
// Texts that the key-value service was found not to hold are wanted again.
func (t *tracker) wanted() []reference {
	target, ok := t.candidate.Get()
	if !ok {
		target, ok = t.inForce.Get()
	}
	if !ok {
		return nil
	}
	var missing []reference
	for _, ref := range references(target.index) {
		if _, known := t.texts[ref].Get(); !known {
			missing = append(missing, ref)
		}
	}
	return missing
}

// advance puts the candidate in force if all of its texts are known, and
// returns the joined configuration and the documents that are unusable in it.
// Nothing is returned if nothing changed.
func (t *tracker) advance() (coll.Option[*view.Config], []problem) {
	next, ok := t.candidate.Get()
	if !ok {
		return t.repair()
	}
	for _, ref := range references(next.index) {
		if _, tried := t.texts[ref]; !tried {
			return coll.None[*view.Config](), nil
		}
	}
	t.inForce, t.candidate = coll.Some(next), coll.None[state]()
	problems := t.parse(next)
	t.prune(next)
	t.settleProof()
	return coll.Some(t.config(next)), problems
}

// repair parses documents of the revision in force whose texts arrived late.
func (t *tracker) repair() (coll.Option[*view.Config], []problem) {
	current, ok := t.inForce.Get()
	if !ok || !t.anyLate() {
		return coll.None[*view.Config](), nil
	}
	problems := t.parse(current)
	return coll.Some(t.config(current)), problems
}

// anyLate reports whether a text that was absent is known now.
func (t *tracker) anyLate() bool {
	for ref, err := range t.broken {
		_, known := t.texts[ref].Get()
		if known && errors.Is(err, errAbsent) {
			return true
		}
	}
	return false
}

// parse parses the documents that changed. A service whose new document is
// unusable keeps its previous one.
func (t *tracker) parse(s state) []problem {
	var problems []problem
	broken := map[reference]error{}
	for _, ref := range references(s.index) {
		if t.parsed[ref.service].change == ref.change {
			continue
		}
		document, err := parseDocument(ref, t.texts[ref])
		if err != nil {
			broken[ref] = err
			problems = append(problems, problem{reference: ref, err: err})
			continue
		}
		t.parsed[ref.service] = parsedDocument{change: ref.change, document: document}
	}
	t.broken = broken
	return problems
}

func parseDocument(ref reference, body text) (*svcdoc.Document, error) {
	raw, ok := body.Get()
	if !ok {
		return nil, errAbsent
	}
	document, err := svcdoc.Parse([]byte(raw))
	if err != nil {
		return nil, err
	}
	if document.Service != ref.service {
		return nil, errors.Newf("spread: the document of %s names service %s", ref.service, document.Service)
	}
	return document, nil
}

// prune forgets what the given state does not refer to.
func (t *tracker) prune(s state) {
	used := coll.NewSet(references(s.index)...)
	maps.DeleteFunc(t.texts, func(ref reference, _ text) bool { return !used.Has(ref) })
	maps.DeleteFunc(t.parsed, func(service ident.ServiceID, _ parsedDocument) bool {
		_, listed := s.index.Documents[service]
		return !listed
	})
}

func (t *tracker) config(s state) *view.Config {
	services := make(map[ident.ServiceID]*svcdoc.Document, len(t.parsed))
	for service, parsed := range t.parsed {
		services[service] = parsed.document
	}
	ix := s.index.Clone()
	return &view.Config{
		Revision:   s.revision,
		Serial:     ix.Serial,
		Services:   services,
		ZonesOut:   ix.ZonesOut,
		VMsOut:     ix.VMsOut,
		ServersOut: ix.ServersOut,
	}
}

// references returns the documents that an index refers to, in a fixed order.
func references(ix *index.Index) []reference {
	refs := make([]reference, 0, len(ix.Documents))
	for service, change := range ix.Documents {
		refs = append(refs, reference{service: service, change: change})
	}
	slices.SortFunc(refs, func(a, b reference) int { return cmp.Compare(a.service, b.service) })
	return refs
}
