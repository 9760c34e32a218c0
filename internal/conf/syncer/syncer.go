// Package syncer keeps the configuration of a VM up to date. It watches the
// index in the key-value service, and fetches the configuration from other VMs
// while that service is down. The revision in force never decreases.
package syncer

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

// errMissing means that the key-value service does not hold a document that the
// index names.
var errMissing = errors.New("syncer: the key-value service does not hold the document")

// Fetcher fetches the configuration from other VMs. Implementations must be
// safe for concurrent use.
type Fetcher interface {
	// Fetch returns the result of Syncer.Bundle on the given VM. It returns
	// when ctx ends.
	Fetch(ctx context.Context, from view.Member) (Bundle, error)
}

// Deps holds the dependencies of a Syncer.
type Deps struct {
	Store  store.Store
	Fetch  Fetcher
	Events *events.Recorder
	// OnConfig is called with each configuration that comes into force, in
	// ascending order of revisions and never concurrently. It is called again
	// for the same revision when a document that was missing could be read. It
	// may call methods of the Syncer.
	OnConfig func(*view.Config)
}

// Options configures a Syncer. Zero fields take their defaults.
type Options struct {
	// PollAfter is the time without an answer of the key-value service after
	// which the index is read. 0 means 1500 ms. If watches end sooner, reads
	// are rare.
	PollAfter time.Duration
	// AuditInterval is the longest time between reads of the index while
	// watches are answered. Such a read detects that the service lost accepted
	// writes. 0 means 5 min.
	AuditInterval time.Duration
	// WatchTimeout is the timeout of a watch. 0 means 30 s.
	WatchTimeout time.Duration
	// CallTimeout is the timeout of any other call. 0 means 2 s.
	CallTimeout time.Duration
	// Backoff is the mean delay after a failed call. It doubles with each
	// further failure, up to four times the value. 0 means 400 ms.
	Backoff time.Duration
	// PeerDelay is the mean delay before the configuration is fetched from a VM
	// that reported a higher revision. Usually the key-value service delivers
	// the revision in that time. 0 means 300 ms.
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

// Syncer keeps the configuration of one VM up to date. Its methods are safe for
// concurrent use.
type Syncer struct {
	deps          Deps
	options       Options
	peerRevisions *peerRevisions
	// revision is the one in force. It is atomic so that Revision never blocks.
	revision atomic.Uint64
	// publishMu serializes the calls of OnConfig. It is locked before mu.
	publishMu sync.Mutex

	mu      sync.Mutex
	tracker *tracker
	// lastAnswer is when the key-value service last answered.
	lastAnswer time.Time
	// lastRead is when the index was last read.
	lastRead time.Time
	// storeError is the error of the last read, or nil if the key-value service
	// has answered since.
	storeError error
	// lastSubject holds the last subject of each kind of event that recordOnce
	// recorded.
	lastSubject map[string]string
}

// New returns a Syncer. It is idle until Run is called.
func New(deps Deps, options Options) *Syncer {
	return &Syncer{
		deps:          deps,
		options:       options.withDefaults(),
		peerRevisions: newPeerRevisions(),
		tracker:       newTracker(),

		lastSubject: map[string]string{},
	}
}

// Run keeps the configuration up to date until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	var wg conc.WaitGroup
	wg.Go(func() { s.pollIndex(ctx) })
	wg.Go(func() { s.watchIndex(ctx) })
	wg.Go(func() { s.fetchFromPeers(ctx) })
	wg.Wait()
}

// NotePeerRevision records the revision that is in force on another VM. It does
// not wait for calls to other processes.
func (s *Syncer) NotePeerRevision(member view.Member, revision ident.Revision) {
	if revision > s.Revision() {
		s.peerRevisions.set(member, revision)
	}
}

// Revision returns the revision in force, or 0 if there is none. It does not
// block.
func (s *Syncer) Revision() ident.Revision {
	return ident.Revision(s.revision.Load())
}

// Bundle returns the configuration in force, to be sent to another VM. ok is
// false if there is none yet.
func (s *Syncer) Bundle() (b Bundle, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.bundle()
}

// LastConfirmed returns the latest time at which the configuration in force is
// known to have been the latest one in the key-value service, or the zero time
// if the service has not confirmed it yet. The time is taken before a read or
// watch begins, so that a pause of the process does not make the configuration
// look fresher. While the service answers, it is at most twice the duration of
// a watch ago.
func (s *Syncer) LastConfirmed() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.lastConfirmed
}

// State returns a copy of the state for operators.
func (s *Syncer) State() Dump {
	s.mu.Lock()
	defer s.mu.Unlock()
	dump := s.tracker.dump()
	dump.PeerRevisions = s.peerRevisions.dump()
	if s.storeError != nil {
		dump.StoreError = s.storeError.Error()
	}
	return dump
}

// publish puts the candidate in force if it is complete, and calls OnConfig. mu
// is not held during OnConfig, because OnConfig may wait for a goroutine that
// calls the Syncer.
func (s *Syncer) publish() {
	s.publishMu.Lock()
	defer s.publishMu.Unlock()
	next, problems := s.advance()
	for _, p := range problems {
		s.deps.Events.Record("config_document_unusable", string(p.service),
			"the document is missing or invalid; the previous one stays in force",
			slog.String("change", string(p.change)), slog.String("error", p.err.Error()))
	}
	config, ok := next.Get()
	if !ok {
		return
	}
	s.revision.Store(uint64(config.Revision))
	s.deps.Events.Record("config_adopted", fmt.Sprintf("serial %d", config.Serial),
		"adopted a new revision of the configuration", slog.Uint64("revision", uint64(config.Revision)))
	s.deps.OnConfig(config)
}

func (s *Syncer) advance() (coll.Option[*view.Config], []problem) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.advance()
}

// recordStoreFailure records a failed read of the key-value service. Only the
// first of consecutive failures is an event.
func (s *Syncer) recordStoreFailure(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.storeError == nil {
		s.deps.Events.Record("config_store_lost", "key-value service", err.Error())
	}
	s.storeError = err
}

// recordStoreAnswer records an answer of the key-value service. The first one
// after a failure is an event.
func (s *Syncer) recordStoreAnswer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastAnswer = time.Now()
	if s.storeError != nil {
		s.deps.Events.Record("config_store_heard", "key-value service", "the key-value service answers again")
	}
	s.storeError = nil
}

func (s *Syncer) recordRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRead = time.Now()
}

// recordOnce records an event that may repeat often. If the last event of the
// kind had the same subject, the event is only counted.
func (s *Syncer) recordOnce(kind, subject, reason string, attrs ...slog.Attr) {
	s.mu.Lock()
	last, known := s.lastSubject[kind]
	s.lastSubject[kind] = subject
	s.mu.Unlock()
	if known && last == subject {
		s.deps.Events.Count(kind)
		return
	}
	s.deps.Events.Record(kind, subject, reason, attrs...)
}
