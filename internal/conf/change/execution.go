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

// execution is the state of one change across its tries. It is not safe for
// concurrent use.
type execution struct {
	changer       *Changer
	request       *Request
	documentCache *documentCache
	id            ident.ChangeID
	// baseSerial is the serial of the first index read. It is valid once
	// baseKnown is set.
	baseSerial uint64
	baseKnown  bool
	// documentStored is set once the text of the document is stored for sure.
	documentStored bool
	// uncertainWrite is the revision expected by a swap whose outcome is
	// unknown. It is absent if there is no such swap.
	uncertainWrite coll.Option[ident.Revision]
	// lastError is the last failure of the key-value service.
	lastError error
}

// noOutcome is the result of a try after which another one is needed.
func noOutcome() coll.Option[Outcome] {
	return coll.None[Outcome]()
}

// try reads the index, checks the change against it and attempts the swap. If
// the outcome is absent, another try is needed.
func (e *execution) try(ctx context.Context) (coll.Option[Outcome], error) {
	entry, ix, err := e.changer.Read(ctx)
	if err != nil {
		return noOutcome(), err
	}
	if found, ok := ix.Find(e.id); ok {
		return coll.Some(accepted(found, entry)), nil
	}
	if !e.baseKnown {
		e.baseSerial, e.baseKnown = ix.Serial, true
	}
	if e.historyTruncated(ix) {
		return coll.Some(e.failure()), nil
	}
	e.clearUncertain(entry.Revision)
	outcome, err := e.decide(ctx, ix, entry)
	if _, decided := outcome.Get(); decided || err != nil {
		return outcome, err
	}
	return e.swap(ctx, ix, entry)
}

// historyTruncated reports whether the index no longer lists all changes since
// baseSerial. The outcome of an earlier swap cannot be found then.
func (e *execution) historyTruncated(ix *index.Index) bool {
	return len(ix.Changes) > 0 && ix.Changes[0].Serial > e.baseSerial+1
}

// clearUncertain clears uncertainWrite if the given revision of an index without
// the change is higher: the write can no longer take effect, because it expects
// a revision that is no longer the latest.
func (e *execution) clearUncertain(revision ident.Revision) {
	if expected, ok := e.uncertainWrite.Get(); ok && revision > expected {
		e.uncertainWrite = coll.None[ident.Revision]()
	}
}

// decide returns an outcome if the change conflicts with another one, is in
// force already or is rejected by the configuration. It decides nothing while
// the outcome of an earlier write is unknown, because the next swap resolves
// that.
func (e *execution) decide(ctx context.Context, ix *index.Index, entry store.Entry) (coll.Option[Outcome], error) {
	if _, uncertain := e.uncertainWrite.Get(); uncertain {
		return noOutcome(), nil
	}
	if outcome, conflict := e.conflict(ix); conflict {
		return coll.Some(outcome), nil
	}
	unchanged, err := e.unchanged(ctx, ix)
	if err != nil {
		return noOutcome(), err
	}
	if unchanged {
		return coll.Some(Outcome{Status: Unchanged, Serial: ix.Serial, Revision: entry.Revision}), nil
	}
	reason, err := e.documentCache.rejectionReason(ctx, e.request, ix)
	if err != nil || reason == "" {
		return noOutcome(), err
	}
	return coll.Some(Outcome{Status: Rejected, Serial: ix.Serial, Reason: reason}), nil
}

// conflict rejects the change if another change of the same subject was accepted
// since baseSerial, or if the serial is not the expected one.
func (e *execution) conflict(ix *index.Index) (Outcome, bool) {
	if expect, ok := e.request.ExpectSerial.Get(); ok && expect != ix.Serial {
		reason := fmt.Sprintf("serial %d was expected, but %d is in force", expect, ix.Serial)
		return Outcome{Status: Rejected, Serial: ix.Serial, Reason: reason, Conflicts: changesSince(ix, expect)}, true
	}
	var others []index.Change
	for _, other := range changesSince(ix, e.baseSerial) {
		if e.request.touches(other) {
			others = append(others, other)
		}
	}
	if len(others) == 0 {
		return Outcome{}, false
	}
	reason := "another change of the same subject was accepted meanwhile"
	return Outcome{Status: Rejected, Serial: ix.Serial, Reason: reason, Conflicts: others}, true
}

// changesSince returns the changes after the given serial that the index lists.
func changesSince(ix *index.Index, serial uint64) []index.Change {
	var changes []index.Change
	for _, change := range ix.Changes {
		if change.Serial > serial {
			changes = append(changes, change)
		}
	}
	return changes
}

// unchanged reports whether the requested state is in force already.
func (e *execution) unchanged(ctx context.Context, ix *index.Index) (bool, error) {
	if e.request.Kind != Apply {
		_, out := e.request.isOut(ix)
		return out == e.request.takesOut(), nil
	}
	service := e.request.Document.Service
	id, ok := ix.Documents[service]
	if !ok {
		return false, nil
	}
	current, err := e.documentCache.document(ctx, service, id)
	if err != nil || current == nil {
		return false, err
	}
	return bytes.Equal(svcdoc.Format(current), svcdoc.Format(e.request.Document)), nil
}

// swap attempts the write. All tries use the same change ID, and only one swap
// of a given revision can succeed, so the change takes effect at most once.
func (e *execution) swap(ctx context.Context, ix *index.Index, entry store.Entry) (coll.Option[Outcome], error) {
	if err := e.storeDocument(ctx); err != nil {
		return noOutcome(), err
	}
	next := e.request.apply(ix, e.id, e.changer.options.Now())
	revision, err := e.changer.store.Swap(ctx, index.Key, entry.Revision, next.Encode())
	if err == nil {
		return coll.Some(Outcome{Status: Accepted, Serial: next.Serial, Revision: revision}), nil
	}
	if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnavailable) {
		e.uncertainWrite = coll.Some(entry.Revision)
	}
	return noOutcome(), err
}

// storeDocument writes the text of the document. No VM reads it before the index
// names it. If the write fails, storeDocument reads the text back, because the
// write may have been carried out nevertheless.
func (e *execution) storeDocument(ctx context.Context) error {
	if e.request.Kind != Apply || e.documentStored {
		return nil
	}
	key := index.DocumentKey(e.request.Document.Service, e.id)
	body := svcdoc.Format(e.request.Document)
	if _, err := e.changer.store.Swap(ctx, key, 0, body); err != nil {
		entry, readErr := e.changer.store.Get(ctx, key)
		if readErr != nil || !bytes.Equal(entry.Value, body) {
			return errors.Wrap(err, "change: store the document")
		}
	}
	e.documentStored = true
	return nil
}

// label sets the ID and the base serial of the change in an outcome.
func (e *execution) label(outcome Outcome) Outcome {
	outcome.ID, outcome.Base = e.id, e.baseSerial
	return outcome
}

// failure returns the outcome if ctx ended before the change was decided, or if
// the history of the index is truncated.
func (e *execution) failure() Outcome {
	outcome := Outcome{Status: Unavailable}
	if _, uncertain := e.uncertainWrite.Get(); uncertain {
		outcome.Status = Unknown
	}
	if e.lastError != nil {
		outcome.Reason = e.lastError.Error()
	}
	return outcome
}
