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

// catalog reads the documents that an index names, and keeps them.
type catalog struct {
	store     store.Store
	documents map[ident.ChangeID]*svcdoc.Document
}

func newCatalog(s store.Store) *catalog {
	return &catalog{store: s, documents: map[ident.ChangeID]*svcdoc.Document{}}
}

// load returns the documents in force, in the order of their services.
// Documents that are absent or unusable are left out.
func (c *catalog) load(ctx context.Context, ix *index.Index) ([]*svcdoc.Document, error) {
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

func (c *catalog) document(ctx context.Context, service ident.ServiceID, id ident.ChangeID) (*svcdoc.Document, error) {
	if document, ok := c.documents[id]; ok {
		return document, nil
	}
	entry, err := c.store.Get(ctx, index.DocumentKey(service, id))
	if err != nil {
		return nil, errors.Wrapf(err, "change: read the document of %s", service)
	}
	// An unusable document is kept as nil: no VM uses it either.
	document, err := svcdoc.Parse(entry.Value)
	if err != nil {
		document = nil
	}
	c.documents[id] = document
	return document, nil
}

// objection returns why the configuration speaks against a request, or "".
func (c *catalog) objection(ctx context.Context, r *Request, ix *index.Index) (string, error) {
	if !r.takesOut() && r.Kind != Apply || r.Kind == VMOut || r.Force {
		return "", nil
	}
	documents, err := c.load(ctx, ix)
	if err != nil {
		return "", err
	}
	switch r.Kind {
	case Apply:
		return sharedAddress(r.Document, documents), nil
	case ZoneOut:
		return unnamed("zone", r.Subject, documents, func(s svcdoc.Server) string { return string(s.Zone) }), nil
	default:
		return unnamed("backend server", r.Subject, documents, func(s svcdoc.Server) string { return string(s.ID) }), nil
	}
}

// sharedAddress objects to a backend server that two services name, because
// neither would count the work of the other.
func sharedAddress(document *svcdoc.Document, others []*svcdoc.Document) string {
	users := map[string]ident.ServerID{}
	for _, other := range others {
		if other.Service == document.Service {
			continue
		}
		for _, server := range other.Servers {
			users[server.Address] = server.ID
		}
	}
	for _, server := range document.Servers {
		if user, taken := users[server.Address]; taken {
			return fmt.Sprintf("the address %s of %s belongs to %s", server.Address, server.ID, user)
		}
	}
	return ""
}

// unnamed objects to a subject that no document names.
func unnamed(kind, subject string, documents []*svcdoc.Document, name func(svcdoc.Server) string) string {
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

func nearest(subject string, names []string) string {
	if len(names) == 0 {
		return ""
	}
	return slices.MinFunc(names, func(a, b string) int {
		return levenshtein.ComputeDistance(subject, a) - levenshtein.ComputeDistance(subject, b)
	})
}
