// Package change applies the configuration changes that operators request. Each
// change is one compare-and-swap of the configuration index. Its ID is stored in
// the index, so that its outcome can be found when the answer of the key-value
// service is lost.
package change

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/base/sleep"
	"github.com/samphirestair/samphirestair/internal/conf/index"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/plat/store"
)

// Options configures a Changer. Zero fields take their defaults.
type Options struct {
	// Now returns the time that is stored with changes. nil means time.Now.
	Now func() time.Time
	// NewID returns the ID of a new change, which must be unique. nil means a
	// UUID of version 7.
	NewID func() ident.ChangeID
	// Backoff is the mean delay between tries. 0 means 100 ms.
	Backoff time.Duration
}

// Changer applies changes to the configuration. It is safe for concurrent use.
type Changer struct {
	store   store.Store
	options Options
}

// New returns a Changer for the configuration in the given store.
func New(s store.Store, options Options) *Changer {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.NewID == nil {
		options.NewID = newID
	}
	if options.Backoff == 0 {
		options.Backoff = 100 * time.Millisecond
	}
	return &Changer{store: s, options: options}
}

func newID() ident.ChangeID {
	return ident.ChangeID(uuid.Must(uuid.NewV7()).String())
}

// Do applies a change. It retries until the outcome is certain or ctx ends.
func (c *Changer) Do(ctx context.Context, r Request) Outcome {
	e := &execution{changer: c, request: &r, documentCache: newDocumentCache(c.store), id: c.options.NewID()}
	for {
		outcome, err := e.try(ctx)
		if end, ok := outcome.Get(); ok {
			return e.label(end)
		}
		e.lastError = err
		if !c.waitBeforeRetry(ctx) {
			return e.label(e.failure())
		}
	}
}

// Settle determines the outcome of an earlier change. If the change did not take
// effect, Settle ensures that it never will: it writes the unchanged index again,
// so that a swap still in flight finds another revision and fails. It retries
// until the outcome is certain or ctx ends.
func (c *Changer) Settle(ctx context.Context, id ident.ChangeID) Outcome {
	for {
		outcome, done := c.settleOnce(ctx, id)
		outcome.ID = id
		if done || !c.waitBeforeRetry(ctx) {
			return outcome
		}
	}
}

// settleOnce performs one try of Settle. It returns false if another is needed.
func (c *Changer) settleOnce(ctx context.Context, id ident.ChangeID) (Outcome, bool) {
	entry, ix, err := c.Read(ctx)
	if err != nil {
		return Outcome{Status: Unknown, Reason: err.Error()}, false
	}
	if found, ok := ix.Find(id); ok {
		return accepted(found, entry), true
	}
	if _, err := c.store.Swap(ctx, index.Key, entry.Revision, ix.Encode()); err != nil {
		return Outcome{Status: Unknown, Reason: err.Error()}, false
	}
	if len(ix.Changes) > 0 && ix.Changes[0].Serial > 1 {
		reason := fmt.Sprintf("changes before serial %d are not remembered", ix.Changes[0].Serial)
		return Outcome{Status: Unknown, Serial: ix.Serial, Reason: reason}, true
	}
	return Outcome{Status: Rejected, Serial: ix.Serial, Reason: "the change did not and will not take effect"}, true
}

// Read returns the index and its entry in the key-value service. It fails with
// store.ErrUnavailable, or with another error if the index cannot be decoded.
func (c *Changer) Read(ctx context.Context) (store.Entry, *index.Index, error) {
	entry, err := c.store.Get(ctx, index.Key)
	if err != nil {
		return store.Entry{}, nil, errors.Wrap(err, "change: read the index")
	}
	ix, err := index.Decode(entry.Value)
	return entry, ix, err
}

// Documents returns the documents that an index names, sorted by service.
// Missing and invalid ones are left out. It fails with store.ErrUnavailable.
func (c *Changer) Documents(ctx context.Context, ix *index.Index) ([]*svcdoc.Document, error) {
	return newDocumentCache(c.store).load(ctx, ix)
}

// waitBeforeRetry waits for the backoff delay with jitter. It returns false if
// ctx ends.
func (c *Changer) waitBeforeRetry(ctx context.Context) bool {
	return sleep.For(ctx, c.options.Backoff/2+rand.N(c.options.Backoff))
}

// accepted returns the outcome of a change that was found in the index.
func accepted(found index.Change, entry store.Entry) Outcome {
	return Outcome{Status: Accepted, Serial: found.Serial, Revision: entry.Revision}
}
