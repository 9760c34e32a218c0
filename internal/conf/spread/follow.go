package spread

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/index"
	"github.com/samphirestair/samphirestair/internal/plat/store"
)

// documentFetches is the number of documents that are read at once.
const documentFetches = 4

// poll reads the index at jittered intervals. It finds what a silent watch
// misses, and it is what proves that the configuration is the latest one.
func (s *Spreader) poll(ctx context.Context) {
	for ctx.Err() == nil {
		err := s.read(ctx)
		wait := s.options.Poll
		if err != nil {
			wait = s.options.Backoff
		}
		sleep(ctx, jitter(wait))
	}
}

// read reads the index once, and the documents that it needs.
func (s *Spreader) read(ctx context.Context) error {
	started := time.Now()
	before := s.Revision()
	callCtx, cancel := context.WithTimeout(ctx, s.options.CallBound)
	defer cancel()
	entry, err := s.deps.Store.Get(callCtx, index.Key)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	s.noteStore(err)
	if err != nil {
		return err
	}
	if entry.Revision < before {
		s.deps.Events.Record("config_store_behind", "key-value service",
			"it returned a lower revision than the one in force; ignored",
			slog.Uint64("returned", uint64(entry.Revision)), slog.Uint64("in_force", uint64(before)))
		return nil
	}
	if err := s.offer(entry); err != nil {
		return err
	}
	s.prove(entry.Revision, started)
	return s.fetchDocuments(ctx)
}

// watch waits for changes of the index.
func (s *Spreader) watch(ctx context.Context) {
	for ctx.Err() == nil {
		if err := s.watchOnce(ctx); err != nil {
			sleep(ctx, jitter(s.options.Backoff))
		}
	}
}

func (s *Spreader) watchOnce(ctx context.Context) error {
	watchCtx, cancel := context.WithTimeout(ctx, s.options.WatchBound)
	defer cancel()
	entry, err := s.deps.Store.Watch(watchCtx, index.Key, s.newest())
	if err != nil {
		return err
	}
	if err := s.offer(entry); err != nil {
		return err
	}
	return s.fetchDocuments(ctx)
}

func (s *Spreader) newest() ident.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.newest()
}

// offer hands a read index to the tracker.
func (s *Spreader) offer(entry store.Entry) error {
	ix, err := index.Decode(entry.Value)
	if err != nil {
		s.deps.Events.Record("config_index_unusable", fmt.Sprintf("revision %d", entry.Revision), err.Error())
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.offer(entry.Revision, ix)
	return nil
}

func (s *Spreader) prove(revision ident.Revision, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.prove(revision, at)
}

// fetchDocuments reads the wanted documents and puts in force what is complete.
func (s *Spreader) fetchDocuments(ctx context.Context) error {
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

func (s *Spreader) fetchDocument(ctx context.Context, ref reference) error {
	callCtx, cancel := context.WithTimeout(ctx, s.options.CallBound)
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

// jitter returns a random time between three and five quarters of d.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2+1)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
