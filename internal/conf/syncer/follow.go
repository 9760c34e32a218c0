package syncer

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/index"
	"github.com/samphirestair/samphirestair/internal/plat/store"
)

// maxDocumentReads is the number of documents that are read concurrently.
const maxDocumentReads = 4

// pollIndex reads the index whenever pollDue reports true, until ctx ends. It
// limits the delay caused by a watch that gets no answer or by a failed read of
// a document.
func (s *Syncer) pollIndex(ctx context.Context) {
	var failures backoff
	for ctx.Err() == nil {
		if s.pollDue(time.Now()) {
			failures.record(s.readIndex(ctx))
		}
		failures.sleep(ctx, s.options.Backoff)
	}
}

// pollDue reports whether the index must be read: the key-value service has not
// answered for PollAfter, or for Backoff while documents are missing, or the
// last read was AuditInterval ago.
func (s *Syncer) pollDue(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	sinceAnswer := now.Sub(s.lastAnswer)
	_, pending := s.tracker.candidate.Get()
	return sinceAnswer >= s.options.PollAfter ||
		pending && sinceAnswer >= s.options.Backoff ||
		now.Sub(s.lastRead) >= s.options.AuditInterval
}

// readIndex reads the index and the documents that are missing. It ignores and
// reports a revision below the one in force, as after a restore from a backup.
func (s *Syncer) readIndex(ctx context.Context) error {
	started, before := time.Now(), s.Revision()
	callCtx, cancel := context.WithTimeout(ctx, s.options.CallTimeout)
	defer cancel()
	entry, err := s.deps.Store.Get(callCtx, index.Key)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err != nil {
		s.recordStoreFailure(err)
		return err
	}
	s.recordStoreAnswer()
	s.recordRead()
	if entry.Revision < before {
		s.recordOnce("config_store_behind", fmt.Sprintf("revision %d", entry.Revision),
			"the key-value service returned a lower revision than the one in force; ignored",
			slog.Uint64("in_force", uint64(before)))
		return nil
	}
	return s.acceptEntry(ctx, entry, started)
}

// watchIndex accepts each change of the index until ctx ends.
func (s *Syncer) watchIndex(ctx context.Context) {
	var failures backoff
	for ctx.Err() == nil {
		err := s.watchOnce(ctx)
		failures.record(err)
		if err != nil {
			failures.sleep(ctx, s.options.Backoff)
		}
	}
}

// watchOnce waits for one change of the index, at most for WatchTimeout.
func (s *Syncer) watchOnce(ctx context.Context) error {
	started, after := time.Now(), s.newest()
	watchCtx, cancel := context.WithTimeout(ctx, s.options.WatchTimeout)
	defer cancel()
	entry, err := s.deps.Store.Watch(watchCtx, index.Key, after)
	if errors.Is(err, store.ErrUnchanged) {
		s.recordStoreAnswer()
		s.confirm(after, started)
		return s.fetchDocuments(ctx)
	}
	if err != nil {
		return err
	}
	s.recordStoreAnswer()
	return s.acceptEntry(ctx, entry, started)
}

// acceptEntry processes an index entry. started is when the call that returned
// it began.
func (s *Syncer) acceptEntry(ctx context.Context, entry store.Entry, started time.Time) error {
	if err := s.offer(entry); err != nil {
		return err
	}
	s.confirm(entry.Revision, started)
	return s.fetchDocuments(ctx)
}

func (s *Syncer) newest() ident.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.newest()
}

// offer decodes an index entry and offers it to the tracker.
func (s *Syncer) offer(entry store.Entry) error {
	ix, err := index.Decode(entry.Value)
	if err != nil {
		s.recordOnce("config_index_unusable", fmt.Sprintf("revision %d", entry.Revision), err.Error())
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.offer(entry.Revision, ix)
	return nil
}

func (s *Syncer) confirm(revision ident.Revision, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.confirm(revision, at)
}

// fetchDocuments reads the missing documents and puts the candidate in force if
// it is complete.
func (s *Syncer) fetchDocuments(ctx context.Context) error {
	s.mu.Lock()
	missing := s.tracker.missing()
	s.mu.Unlock()
	fetches := pool.New().WithMaxGoroutines(maxDocumentReads).WithErrors()
	for _, ref := range missing {
		fetches.Go(func() error { return s.fetchDocument(ctx, ref) })
	}
	err := fetches.Wait()
	s.publish()
	return err
}

func (s *Syncer) fetchDocument(ctx context.Context, ref reference) error {
	callCtx, cancel := context.WithTimeout(ctx, s.options.CallTimeout)
	defer cancel()
	entry, err := s.deps.Store.Get(callCtx, index.DocumentKey(ref.service, ref.change))
	if err != nil {
		return err
	}
	body := coll.None[string]()
	if entry.Revision > 0 {
		body = coll.Some(string(entry.Value))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.setText(ref, body)
	return nil
}
