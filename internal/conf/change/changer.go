// Package change carries out the changes that operators ask for. Each change is
// one compare-and-swap of the configuration index and carries an id, by which
// the outcome is found when an answer was lost.
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

// Options tunes a Changer. The zero value is useful.
type Options struct {
	// Now returns the time that is noted with changes. nil means time.Now.
	Now func() time.Time
	// NewID returns ids for changes. nil means UUIDs of version 7.
	NewID func() ident.ChangeID
	// Backoff is the mean time between attempts. 0 means 100 ms.
	Backoff time.Duration
}

// Changer carries out changes. It is safe for concurrent use.
type Changer struct {
	store   store.Store
	options Options
}

// New returns a changer for the configuration in the given store.
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

// Do carries out a change. It tries again until the outcome is clear or ctx
// ends.
func (c *Changer) Do(ctx context.Context, r Request) Outcome {
	a := &attempt{changer: c, request: &r, catalog: newCatalog(c.store), id: c.options.NewID()}
	for {
		outcome, err := a.try(ctx)
		if end, ok := outcome.Get(); ok {
			return a.label(end)
		}
		a.lastError = err
		if !c.pause(ctx) {
			return a.label(a.giveUp())
		}
	}
}

// Settle finds the outcome of an earlier change. If the change did not take
// effect, Settle makes sure that it never will: it rewrites the index, so that a
// write still under way meets another revision.
func (c *Changer) Settle(ctx context.Context, id ident.ChangeID) Outcome {
	for {
		outcome, done := c.settleOnce(ctx, id)
		outcome.ID = id
		if done || !c.pause(ctx) {
			return outcome
		}
	}
}

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
// store.ErrUnavailable, or if the index cannot be decoded.
func (c *Changer) Read(ctx context.Context) (store.Entry, *index.Index, error) {
	entry, err := c.store.Get(ctx, index.Key)
	if err != nil {
		return store.Entry{}, nil, errors.Wrap(err, "change: read the index")
	}
	ix, err := index.Decode(entry.Value)
	return entry, ix, err
}

// Documents returns the documents that an index names, in the order of their
// services. Absent and unusable ones are left out. It fails with
// store.ErrUnavailable.
func (c *Changer) Documents(ctx context.Context, ix *index.Index) ([]*svcdoc.Document, error) {
	return newCatalog(c.store).load(ctx, ix)
}

// pause waits before the next attempt and reports whether there may be one.
func (c *Changer) pause(ctx context.Context) bool {
	return sleep.For(ctx, c.options.Backoff/2+rand.N(c.options.Backoff))
}

func accepted(found index.Change, entry store.Entry) Outcome {
	return Outcome{Status: Accepted, Serial: found.Serial, Revision: entry.Revision}
}
