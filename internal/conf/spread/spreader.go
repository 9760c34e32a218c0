// Package spread brings the configuration in force to a VM. It follows the
// index in the key-value service and asks other VMs while that is down. The
// revision in force never becomes lower.
package spread

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/core/events"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/plat/store"
)

// errAbsent means that the key-value service does not hold a document that the
// index names.
var errAbsent = errors.New("spread: the key-value service does not hold the document")

// Fetcher reads the configuration of other VMs. Implementations are safe for
// concurrent use.
type Fetcher interface {
	// Fetch returns what Spreader.Bundle returns on the given VM. It ends when
	// ctx does.
	Fetch(ctx context.Context, from view.Member) (Bundle, error)
}

// Deps are what a Spreader works with.
type Deps struct {
	Store  store.Store
	Fetch  Fetcher
	Events *events.Recorder
	// OnConfig receives each configuration that comes into force, in the order
	// of their revisions. A revision comes twice if one of its documents could
	// be read only later. It may call the Spreader.
	OnConfig func(*view.Config)
}

// Options tunes a Spreader. The zero value is useful.
type Options struct {
	// Poll is the time without an answer to a watch after which the index is
	// read. 0 means 1500 ms. Watches that end sooner make reads rare.
	PollAfter time.Duration
	// Audit is the longest time between reads of the index while watches are
	// answered. A read finds out that the service lost what it had accepted. 0
	// means 5 min.
	AuditInterval time.Duration
	// WatchBound is the longest time that a watch is waited for. 0 means 30 s.
	WatchTimeout time.Duration
	// CallBound is the longest time that any other call is waited for. 0 means
	// 2 s.
	CallTimeout time.Duration
	// Backoff is the mean time after a failed call. It doubles with further
	// failures, up to four times. 0 means 400 ms.
	Backoff time.Duration
	// PeerDelay is the mean time between a notice and the question to the peer,
	// in which the key-value service usually answers. 0 means 300 ms.
	PeerDelay time.Duration
}

func (o Options) withDefaults() Options {
	setDefault(&o.PollAfter, 1500*time.Millisecond)
	setDefault(&o.AuditInterval, 5*time.Minute)
	setDefault(&o.WatchTimeout, 30*time.Second)
	setDefault(&o.CallTimeout, 2*time.Second)
	setDefault(&o.Backoff, 400*time.Millisecond)
	setDefault(&o.PeerDelay, 300*time.Millisecond)
	return o
}

func setDefault(d *time.Duration, fallback time.Duration) {
	if *d == 0 {
		*d = fallback
	}
}

// Spreader follows the configuration. Its methods are safe for concurrent use.
type Syncer struct {
	deps    Deps
	options Options
	notices *notices
	// revision is the one in force. It is read without a lock.
	revision atomic.Uint64
	// publishing orders the calls of OnConfig. It is taken before mu.
	publishing sync.Mutex

	mu      sync.Mutex
	tracker *tracker
	// answered is when the key-value service last answered.
	answered time.Time
	// lastRead is when the index was last read.
	lastRead   time.Time
	storeError error
	// repeated holds the last subject of each kind of repeated event.
	repeated map[string]string
}

// New returns a spreader that does nothing until Run is called.
func New(deps Deps, options Options) *Syncer {
	return &Syncer{
		deps:    deps,
		options: options.withDefaults(),
		notices: newNotices(),
		tracker: newTracker(),

		repeated: map[string]string{},
	}
}

// Run follows the configuration until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	var wg conc.WaitGroup
	wg.Go(func() { s.poll(ctx) })
	wg.Go(func() { s.watch(ctx) })
	wg.Go(func() { s.askPeers(ctx) })
	wg.Wait()
}

// Notice tells of the revision that is in force on another VM. It does not
// block.
func (s *Syncer) NotePeerRevision(member view.Member, revision ident.Revision) {
	if revision > s.Revision() {
		s.notices.add(member, revision)
	}
}

// Revision returns the revision in force, or 0 if there is none. It does not
// block.
func (s *Syncer) Revision() ident.Revision {
	return ident.Revision(s.revision.Load())
}

// Bundle returns the configuration in force for another VM. ok is false if
// there is none yet.
func (s *Syncer) Bundle() (b Bundle, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.bundle()
}

// Heard returns the latest time at which the configuration in force is known
// to have been the latest one in the key-value service. It is the zero time if
// the service has not been read yet. The time is taken before a read or watch
// begins, so that a pause of the process does not make the configuration look
// fresher. While the service answers, it is up to two waits of a watch ago.
func (s *Syncer) LastConfirmed() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.heard
}

// State returns what the spreader knows.
func (s *Syncer) State() Dump {
	s.mu.Lock()
	defer s.mu.Unlock()
	dump := s.tracker.dump()
	dump.PeerRevisions = s.notices.dump()
	if s.storeError != nil {
		dump.StoreError = s.storeError.Error()
	}
	return dump
}

// settle puts the newest revision in force whose documents are all known. mu is
// not held while OnConfig runs, because the receiver may wait for a goroutine
// that calls the Spreader.
func (s *Syncer) settle() {
	s.publishing.Lock()
	defer s.publishing.Unlock()
	next, problems := s.advance()
	for _, p := range problems {
		s.deps.Events.Record("config_document_unusable", string(p.service),
			"the document cannot be used; the previous one stays in force",
			slog.String("change", string(p.change)), slog.String("error", p.err.Error()))
	}
	config, ok := next.Get()
	if !ok {
		return
	}
	s.revision.Store(uint64(config.Revision))
	s.deps.Events.Record("config_adopted", fmt.Sprintf("serial %d", config.Serial),
		"a higher revision was accepted", slog.Uint64("revision", uint64(config.Revision)))
	s.deps.OnConfig(config)
}

func (s *Syncer) advance() (coll.Option[*view.Config], []problem) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.advance()
}

// noteLost records that the key-value service stopped answering.
func (s *Syncer) noteLost(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.storeError == nil {
		s.deps.Events.Record("config_store_lost", "key-value service", err.Error())
	}
	s.storeError = err
}

// noteAnswer records that the key-value service answers, or does so again.
func (s *Syncer) noteAnswer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered = time.Now()
	if s.storeError != nil {
		s.deps.Events.Record("config_store_heard", "key-value service", "it answers again")
	}
	s.storeError = nil
}

func (s *Syncer) noteRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRead = time.Now()
}

// recordOnce records an event that may repeat many times. Repetitions for the
// same subject are only counted.
func (s *Syncer) recordOnce(kind, subject, reason string, attrs ...slog.Attr) {
	s.mu.Lock()
	before, known := s.repeated[kind]
	s.repeated[kind] = subject
	s.mu.Unlock()
	if known && before == subject {
		s.deps.Events.Count(kind)
		return
	}
	s.deps.Events.Record(kind, subject, reason, attrs...)
}
