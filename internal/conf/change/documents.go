package change

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"github.com/agnivade/levenshtein"
	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/index"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/plat/store"
)

// documentCache reads service documents from the key-value service and caches
// them. It is not safe for concurrent use.
type documentCache struct {
	store store.Store
	// documents holds nil for a document that is missing or invalid.
	documents map[ident.ChangeID]*svcdoc.Document
}

func newDocumentCache(s store.Store) *documentCache {
	return &documentCache{store: s, documents: map[ident.ChangeID]*svcdoc.Document{}}
}

// load returns the documents that the index names, sorted by service. Documents
// that are missing or invalid are left out.
func (c *documentCache) load(ctx context.Context, ix *index.Index) ([]*svcdoc.Document, error) {
	var documents []*svcdoc.Document
	for _, service := range slices.Sorted(maps.Keys(ix.Documents)) {
		document, err := c.document(ctx, service, ix.Documents[service])
		if err != nil {
			return nil, err
		}
		if document != nil {
			documents = append(documents, document)
		}
	}
	return documents, nil
}

// document returns a document, or nil if it is missing or invalid. It fails if
// the key-value service cannot be read.
func (c *documentCache) document(ctx context.Context, service ident.ServiceID, id ident.ChangeID) (*svcdoc.Document, error) {
	if document, ok := c.documents[id]; ok {
		return document, nil
	}
	entry, err := c.store.Get(ctx, index.DocumentKey(service, id))
	if err != nil {
		return nil, errors.Wrapf(err, "change: read the document of %s", service)
	}
	// An invalid document is ignored here because no VM uses it either.
	document, err := svcdoc.Parse(entry.Value)
	if err != nil {
		document = nil
	}
	c.documents[id] = document
	return document, nil
}

// rejectionReason returns why a request is invalid in the given configuration,
// or "" if it is valid.
func (c *documentCache) rejectionReason(ctx context.Context, r *Request, ix *index.Index) (string, error) {
	if !r.takesOut() && r.Kind != Apply || r.Kind == VMOut || r.Force {
		return "", nil
	}
	documents, err := c.load(ctx, ix)
	if err != nil {
		return "", err
	}
	switch r.Kind {
	case Apply:
		return sharedAddressReason(r.Document, documents), nil
	case ZoneOut:
		return unknownSubjectReason("zone", r.Subject, documents, func(s svcdoc.Server) string { return string(s.Zone) }), nil
	default:
		return unknownSubjectReason("backend server", r.Subject, documents, func(s svcdoc.Server) string { return string(s.ID) }), nil
	}
}

// sharedAddressReason rejects a document with a backend server that another
// service names too, because neither service would count the load of the other.
// It returns "" if there is none.
func sharedAddressReason(document *svcdoc.Document, others []*svcdoc.Document) string {
	owners := map[string]ident.ServerID{}
	for _, other := range others {
		if other.Service == document.Service {
			continue
		}
		for _, server := range other.Servers {
			owners[server.Address] = server.ID
		}
	}
	for _, server := range document.Servers {
		if owner, taken := owners[server.Address]; taken {
			return fmt.Sprintf("the address %s of %s belongs to %s", server.Address, server.ID, owner)
		}
	}
	return ""
}

// unknownSubjectReason rejects a subject that no document names, with a
// suggestion. It returns "" if a document names it.
func unknownSubjectReason(kind, subject string, documents []*svcdoc.Document, name func(svcdoc.Server) string) string {
	names := coll.NewSet[string]()
	for _, document := range documents {
		for _, server := range document.Servers {
			names.Add(name(server))
		}
	}
	if names.Has(subject) {
		return ""
	}
	reason := fmt.Sprintf("no document names %s %q", kind, subject)
	if near := nearest(subject, coll.Sorted(names)); near != "" {
		reason += fmt.Sprintf(", did you mean %q?", near)
	}
	return reason
}

// nearest returns the name with the smallest edit distance to the subject, or ""
// if there are no names.
func nearest(subject string, names []string) string {
	if len(names) == 0 {
		return ""
	}
	return slices.MinFunc(names, func(a, b string) int {
		return levenshtein.ComputeDistance(subject, a) - levenshtein.ComputeDistance(subject, b)
	})
}
