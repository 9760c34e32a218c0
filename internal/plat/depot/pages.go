package depot

import "github.com/cockroachdb/errors"

// Pages joins the pages of one range. The pages of a range are read one after the other and are
// no snapshot: those of a stale range may come from states of any age and in any order. What is
// known of the age of a page is
//   - for a current range: the page is of the revision that the store states, or a later one;
//   - for a stale range: the page is of the revision of its newest item, or a later one. The store
//     states its current revision, which says nothing about the page.
//
// Only changes up to the lowest of these revisions are in all pages, so that is the revision of
// the batch: a watch from there returns whatever any page lacks. An empty stale page proves
// nothing, so that only a watch from the start of the era would do.
type Pages struct {
	stale bool
	batch Batch
	count int
}

// NewPages returns a range without pages. stale is set if the store may answer from a state that
// is older than the call.
func NewPages(stale bool) *Pages {
	return &Pages{stale: stale}
}

// Add appends the next page, whose revision is the one that the store states. It fails with
// ErrUnavailable if the store came back from an older copy between two pages.
func (p *Pages) Add(page Batch) error {
	revision := page.Revision
	if p.stale {
		revision = newestRevision(page)
	}
	switch {
	case p.count == 0:
		p.batch.Revision = revision
	case revision.Era() != p.batch.Revision.Era():
		return errors.Wrap(ErrUnavailable, "the era changed between two pages")
	default:
		p.batch.Revision = min(p.batch.Revision, revision)
	}
	p.batch.Items = append(p.batch.Items, page.Items...)
	p.count++
	return nil
}

// Batch returns the joined pages. Items may be newer than its revision.
func (p *Pages) Batch() Batch {
	return p.batch
}

// newestRevision returns the revision of the newest item of a page, or the start of its era if it
// has none.
func newestRevision(page Batch) Position {
	newest := page.Revision.Era().Start()
	for _, item := range page.Items {
		newest = max(newest, item.Revision)
	}
	return newest
}
