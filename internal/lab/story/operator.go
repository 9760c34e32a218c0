package story

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/change"
	"github.com/samphirestair/samphirestair/internal/plat/store"
)

// Operator requests changes of the configuration and logs them in a transcript.
type Operator struct {
	transcript *Transcript
	name       string
	changer    *change.Changer
	changes    int
}

// NewOperator returns an operator whose calls to the key-value service have the
// given one-way latency.
func NewOperator(transcript *Transcript, name string, kv store.Store, latency time.Duration) *Operator {
	o := &Operator{transcript: transcript, name: name}
	logged := &loggedStore{Store: kv, transcript: transcript, name: name, latency: latency}
	o.changer = change.New(logged, change.Options{NewID: o.newID, Backoff: 1})
	return o
}

func (o *Operator) newID() ident.ChangeID {
	o.changes++
	return ident.ChangeID(fmt.Sprintf("%s-%d", o.name, o.changes))
}

// Do carries out a change, logs the request and its outcome, and returns the outcome.
func (o *Operator) Do(ctx context.Context, r change.Request) change.Outcome {
	r.By = o.name
	subject := r.Subject
	if r.Document != nil {
		subject = string(r.Document.Service)
	}
	o.transcript.Logf(o.name, "asks for %s %s", r.Kind, subject)
	outcome := o.changer.Do(ctx, r)
	text := fmt.Sprint(outcome.Status)
	if outcome.Reason != "" {
		text += ", because: " + outcome.Reason
	}
	o.transcript.Logf(o.name, "learns of %s %s: %s", r.Kind, subject, text)
	return outcome
}

// loggedStore logs each call to the key-value service and delays it by latency each
// way.
type loggedStore struct {
	store.Store
	transcript *Transcript
	name       string
	latency    time.Duration
}

// Get implements store.Store.
func (s *loggedStore) Get(ctx context.Context, key string) (store.Entry, error) {
	time.Sleep(s.latency)
	entry, err := s.Store.Get(ctx, key)
	s.transcript.Logf(s.name, "reads %s: %s", key, storeResultText(entry.Revision, err))
	time.Sleep(s.latency)
	return entry, err
}

// Swap implements store.Store.
func (s *loggedStore) Swap(ctx context.Context, key string, expect ident.Revision, value []byte) (ident.Revision, error) {
	time.Sleep(s.latency)
	revision, err := s.Store.Swap(ctx, key, expect, value)
	s.transcript.Logf(s.name, "writes %s over revision %d: %s", key, expect, storeResultText(revision, err))
	time.Sleep(s.latency)
	return revision, err
}

// storeResultText describes the result of a call to the key-value service.
func storeResultText(revision ident.Revision, err error) string {
	switch {
	case errors.Is(err, store.ErrConflict):
		return "another revision is there"
	case errors.Is(err, store.ErrUnknown):
		return "the answer is lost"
	case err != nil:
		return err.Error()
	case revision == 0:
		return "absent"
	default:
		return fmt.Sprintf("revision %d", revision)
	}
}
