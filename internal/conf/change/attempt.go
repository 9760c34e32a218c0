package change

import (
	"bytes"
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/index"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/plat/store"
)

// attempt is the state of one change across its tries.
type attempt struct {
	changer *Changer
	request *Request
	catalog *catalog
	id      ident.ChangeID
	// base is the serial of the first index read.
	base    uint64
	started bool
	// written is set once the text of the document is known to be stored.
	written bool
	// doubt is the revision on which a write with an unknown outcome was based.
	doubt coll.Option[ident.Revision]
	// lastError is the last failure of the key-value service.
	lastError error
}

// undecided is the outcome of a try after which another one is needed.
func undecided() coll.Option[Outcome] {
	return coll.None[Outcome]()
}

// try reads the index, judges the change and attempts the swap. Without an
// outcome, another try is needed.
func (a *attempt) try(ctx context.Context) (coll.Option[Outcome], error) {
	entry, ix, err := a.changer.Read(ctx)
	if err != nil {
		return undecided(), err
	}
	if found, ok := ix.Find(a.id); ok {
		return coll.Some(accepted(found, entry)), nil
	}
	if !a.started {
		a.base, a.started = ix.Serial, true
	}
	if a.forgotten(ix) {
		return coll.Some(a.giveUp()), nil
	}
	a.exclude(entry.Revision)
	outcome, err := a.judge(ctx, ix, entry)
	if _, decided := outcome.Get(); decided || err != nil {
		return outcome, err
	}
	return a.swap(ctx, ix, entry)
}

// forgotten reports whether the index does not remember all changes since the
// base any more.
func (a *attempt) forgotten(ix *index.Index) bool {
	return len(ix.Changes) > 0 && ix.Changes[0].Serial > a.base+1
}

// exclude ends the doubt about an earlier write: if the revision has moved on
// without the change, the write can no longer take effect.
func (a *attempt) exclude(revision ident.Revision) {
	if doubted, ok := a.doubt.Get(); ok && revision > doubted {
		a.doubt = coll.None[ident.Revision]()
	}
}

// judge ends the change if the configuration speaks against it, or has it in
// force already. While an earlier write is in doubt nothing is judged: the next
// swap decides it.
func (a *attempt) judge(ctx context.Context, ix *index.Index, entry store.Entry) (coll.Option[Outcome], error) {
	if _, doubtful := a.doubt.Get(); doubtful {
		return undecided(), nil
	}
	if outcome, conflict := a.conflict(ix); conflict {
		return coll.Some(outcome), nil
	}
	unchanged, err := a.unchanged(ctx, ix)
	if err != nil {
		return undecided(), err
	}
	if unchanged {
		return coll.Some(Outcome{Status: Unchanged, Serial: ix.Serial, Revision: entry.Revision}), nil
	}
	reason, err := a.catalog.objection(ctx, a.request, ix)
	if err != nil || reason == "" {
		return undecided(), err
	}
	return coll.Some(Outcome{Status: Rejected, Serial: ix.Serial, Reason: reason}), nil
}

// conflict rejects the change if another operator touched its subject since the
// base, or if the serial is not the expected one.
func (a *attempt) conflict(ix *index.Index) (Outcome, bool) {
	if expect, ok := a.request.ExpectSerial.Get(); ok && expect != ix.Serial {
		reason := fmt.Sprintf("serial %d was expected, but %d is in force", expect, ix.Serial)
		return Outcome{Status: Rejected, Serial: ix.Serial, Reason: reason, Conflicts: since(ix, expect)}, true
	}
	var others []index.Change
	for _, other := range since(ix, a.base) {
		if a.request.touches(other) {
			others = append(others, other)
		}
	}
	if len(others) == 0 {
		return Outcome{}, false
	}
	reason := "another change of the same subject was accepted meanwhile"
	return Outcome{Status: Rejected, Serial: ix.Serial, Reason: reason, Conflicts: others}, true
}

func since(ix *index.Index, serial uint64) []index.Change {
	var changes []index.Change
	for _, change := range ix.Changes {
		if change.Serial > serial {
			changes = append(changes, change)
		}
	}
	return changes
}

func (a *attempt) unchanged(ctx context.Context, ix *index.Index) (bool, error) {
	if a.request.Kind != Apply {
		_, out := a.request.isOut(ix)
		return out == a.request.takesOut(), nil
	}
	service := a.request.Document.Service
	id, ok := ix.Documents[service]
	if !ok {
		return false, nil
	}
	current, err := a.catalog.document(ctx, service, id)
	if err != nil || current == nil {
		return false, err
	}
	return bytes.Equal(svcdoc.Format(current), svcdoc.Format(a.request.Document)), nil
}

// swap attempts the write. The id stays the same across attempts, and attempts
// on one revision exclude each other, so the change takes effect at most once.
func (a *attempt) swap(ctx context.Context, ix *index.Index, entry store.Entry) (coll.Option[Outcome], error) {
	if err := a.storeDocument(ctx); err != nil {
		return undecided(), err
	}
	next := a.request.apply(ix, a.id, a.changer.options.Now())
	revision, err := a.changer.store.Swap(ctx, index.Key, entry.Revision, next.Encode())
	if err == nil {
		return coll.Some(Outcome{Status: Accepted, Serial: next.Serial, Revision: revision}), nil
	}
	if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnavailable) {
		a.doubt = coll.Some(entry.Revision)
	}
	return undecided(), err
}

// storeDocument writes the text of the document, which no VM reads before the
// index names it. After a lost answer it reads the text back.
func (a *attempt) storeDocument(ctx context.Context) error {
	if a.request.Kind != Apply || a.written {
		return nil
	}
	key := index.DocumentKey(a.request.Document.Service, a.id)
	body := svcdoc.Format(a.request.Document)
	if _, err := a.changer.store.Swap(ctx, key, 0, body); err != nil {
		entry, readErr := a.changer.store.Get(ctx, key)
		if readErr != nil || !bytes.Equal(entry.Value, body) {
			return errors.Wrap(err, "change: store the document")
		}
	}
	a.written = true
	return nil
}

// label completes an outcome with what identifies the change.
func (a *attempt) label(outcome Outcome) Outcome {
	outcome.ID, outcome.Base = a.id, a.base
	return outcome
}

// giveUp returns the outcome when no time is left, or when the index has
// forgotten too much.
func (a *attempt) giveUp() Outcome {
	outcome := Outcome{Status: Unavailable}
	if _, doubtful := a.doubt.Get(); doubtful {
		outcome.Status = Unknown
	}
	if a.lastError != nil {
		outcome.Reason = a.lastError.Error()
	}
	return outcome
}
