package spread

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

// documentFetches is the number of documents that are read at once.
const documentFetches = 4

// poll reads the index while no watch is answered, so that a silent watch or a
// failed read of a document delays nothing for long.
func (s *Syncer) poll(ctx context.Context) {
	var failures backoff
	for ctx.Err() == nil {
		if s.pollDue(time.Now()) {
			failures.note(s.read(ctx))
		}
		failures.sleep(ctx, s.options.Backoff)
	}
}

// pollDue reports whether the key-value service has been quiet for too long.
func (s *Syncer) pollDue(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	quiet := now.Sub(s.answered)
	_, pending := s.tracker.candidate.Get()
	return quiet >= s.options.PollAfter ||
		pending && quiet >= s.options.Backoff ||
		now.Sub(s.lastRead) >= s.options.AuditInterval
}

// read reads the index once, and the documents that it needs.
func (s *Syncer) read(ctx context.Context) error {
	started, before := time.Now(), s.Revision()
	callCtx, cancel := context.WithTimeout(ctx, s.options.CallTimeout)
	defer cancel()
	entry, err := s.deps.Store.Get(callCtx, index.Key)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err != nil {
		s.noteLost(err)
		return err
	}
	s.noteAnswer()
	s.noteRead()
	if entry.Revision < before {
		s.recordOnce("config_store_behind", fmt.Sprintf("revision %d", entry.Revision),
			"the key-value service returned a lower revision than the one in force; ignored",
			slog.Uint64("in_force", uint64(before)))
		return nil
	}
	return s.accept(ctx, entry, started)
}

// watch waits for changes of the index.
func (s *Syncer) watch(ctx context.Context) {
	var failures backoff
	for ctx.Err() == nil {
		err := s.watchOnce(ctx)
		failures.note(err)
		if err != nil {
			failures.sleep(ctx, s.options.Backoff)
		}
	}
}

func (s *Syncer) watchOnce(ctx context.Context) error {
	started, after := time.Now(), s.newest()
	watchCtx, cancel := context.WithTimeout(ctx, s.options.WatchTimeout)
	defer cancel()
	entry, err := s.deps.Store.Watch(watchCtx, index.Key, after)
	if errors.Is(err, store.ErrUnchanged) {
		s.noteAnswer()
		s.prove(after, started)
		return s.fetchDocuments(ctx)
	}
	if err != nil {
		return err
	}
	s.noteAnswer()
	return s.accept(ctx, entry, started)
}

// accept takes an entry of the index that was asked for at started.
func (s *Syncer) accept(ctx context.Context, entry store.Entry, started time.Time) error {
	if err := s.offer(entry); err != nil {
		return err
	}
	s.prove(entry.Revision, started)
	return s.fetchDocuments(ctx)
}

func (s *Syncer) newest() ident.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.newest()
}

// offer hands a read index to the tracker.
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

func (s *Syncer) prove(revision ident.Revision, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.prove(revision, at)
}

// fetchDocuments reads the wanted documents and puts in force what is complete.
func (s *Syncer) fetchDocuments(ctx context.Context) error {
	s.mu.Lock()
	wanted := s.tracker.wanted()
	s.mu.Unlock()
	fetches := pool.New().WithMaxGoroutines(documentFetches).WithErrors()
	for _, ref := range wanted {
		fetches.Go(func() error { return s.fetchDocument(ctx, ref) })
	}
	err := fetches.Wait()
	s.settle()
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
	s.tracker.learn(ref, body)
	return nil
}
