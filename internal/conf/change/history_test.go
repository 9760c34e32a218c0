package change_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/change"
	"github.com/samphirestair/samphirestair/internal/conf/index"
	"github.com/samphirestair/samphirestair/internal/conf/memkv"
	"github.com/samphirestair/samphirestair/internal/plat/store"
)

// unreliableStore is a store whose calls take time, fail, lose answers, and
// sometimes carry out a write after its answer was lost.
type unreliableStore struct {
	kv     *memkv.Store
	random *rand.Rand
	mu     sync.Mutex
	// lateWrites counts writes that are still to be carried out after their
	// answers were lost.
	lateWrites sync.WaitGroup
}

func (s *unreliableStore) draw(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

func (s *unreliableStore) delay() { time.Sleep(time.Duration(s.draw(100)) * time.Millisecond) }

func (s *unreliableStore) Get(ctx context.Context, key string) (store.Entry, error) {
	s.delay()
	defer s.delay()
	if s.draw(8) == 0 {
		return store.Entry{}, store.ErrUnavailable
	}
	return s.kv.Get(ctx, key)
}

func (s *unreliableStore) Swap(ctx context.Context, key string, expect ident.Revision, value []byte) (ident.Revision, error) {
	s.delay()
	defer s.delay()
	switch s.draw(8) {
	case 0:
		return 0, store.ErrUnavailable
	case 1:
		return 0, store.ErrUnknown
	case 2:
		_, _ = s.kv.Swap(ctx, key, expect, value)
		return 0, store.ErrUnknown
	case 3:
		s.lateWrites.Go(func() {
			time.Sleep(time.Duration(s.draw(2000)) * time.Millisecond)
			_, _ = s.kv.Swap(ctx, key, expect, value)
		})
		return 0, store.ErrUnknown
	}
	return s.kv.Swap(ctx, key, expect, value)
}

func (s *unreliableStore) Watch(ctx context.Context, key string, after ident.Revision) (store.Entry, error) {
	return s.kv.Watch(ctx, key, after)
}

// input is the input of one operation of a history. A nil request is a read.
type input struct {
	request *change.Request
}

// output is the outcome of a change, or the state of the index that was read.
type output struct {
	outcome change.Outcome
	state   string
}

// state returns the contents of an index as a comparable text.
func state(ix *index.Index) string {
	return fmt.Sprint(ix.Serial, ix.Documents, ix.ZonesOut, ix.ServersOut)
}

// model is the sequential specification: a single index to which changes are
// applied one after another.
func model() porcupine.Model {
	nondeterministic := porcupine.NondeterministicModel{
		Init: func() []any { return []any{(&index.Index{}).Clone()} },
		Step: func(at, in, out any) []any {
			ix, request, result := at.(*index.Index), in.(input).request, out.(output)
			if request == nil {
				return keepIf(ix, state(ix) == result.state)
			}
			return step(ix, request, result.outcome)
		},
		Equal: func(a, b any) bool { return state(a.(*index.Index)) == state(b.(*index.Index)) },
	}
	return nondeterministic.ToModel()
}

// step returns the possible indexes after a change with the given outcome, or
// none if the outcome is impossible.
func step(ix *index.Index, request *change.Request, outcome change.Outcome) []any {
	next := applied(ix, request, outcome.ID)
	switch outcome.Status {
	case change.Accepted:
		return keepIf(next, next.Serial == outcome.Serial)
	case change.Unknown:
		return []any{ix, next}
	case change.Unchanged:
		_, out := ix.ZonesOut[ident.Zone(request.Subject)]
		return keepIf(ix, request.Kind == change.Apply || out == (request.Kind == change.ZoneOut))
	default:
		return []any{ix}
	}
}

func keepIf(ix *index.Index, ok bool) []any {
	if ok {
		return []any{ix}
	}
	return nil
}

// applied returns the index after a change. It does not use the code under test.
func applied(ix *index.Index, r *change.Request, id ident.ChangeID) *index.Index {
	next := ix.Clone()
	next.Serial++
	switch r.Kind {
	case change.Apply:
		next.Documents[r.Document.Service] = id
	case change.ZoneOut:
		next.ZonesOut[ident.Zone(r.Subject)] = id
	case change.ZoneIn:
		delete(next.ZonesOut, ident.Zone(r.Subject))
	}
	return next
}

// recorder collects a history of concurrent operations for porcupine.
type recorder struct {
	mu         sync.Mutex
	start      time.Time
	operations []porcupine.Operation
}

// run performs and records an operation. A change with an unknown outcome may
// take effect later, so its end is recorded as one hour.
func (r *recorder) run(client int, in input, do func() output) change.Outcome {
	call := time.Since(r.start)
	out := do()
	end := time.Since(r.start)
	if out.outcome.Status == change.Unknown {
		end = time.Hour
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.operations = append(r.operations, porcupine.Operation{
		ClientId: client, Input: in, Call: int64(call), Output: out, Return: int64(end),
	})
	return out.outcome
}

func randomRequest(s *unreliableStore) change.Request {
	zone := []string{"espoo", "lahti"}[s.draw(2)]
	switch s.draw(3) {
	case 0:
		service := s.draw(2)
		return change.Request{Kind: change.Apply, Document: document(fmt.Sprintf("s%d", service), 1+s.draw(50), 1+service)}
	case 1:
		return change.Request{Kind: change.ZoneOut, Subject: zone, Force: true}
	default:
		return change.Request{Kind: change.ZoneIn, Subject: zone}
	}
}

// runOperator makes four changes as one operator and reads the index after each.
func runOperator(s *unreliableStore, r *recorder, client int) []change.Outcome {
	changer := change.New(s, change.Options{})
	var outcomes []change.Outcome
	for range 4 {
		request := randomRequest(s)
		outcomes = append(outcomes, r.run(client, input{&request}, func() output {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			return output{outcome: changer.Do(ctx, request)}
		}))
		r.run(client, input{}, func() output {
			_, ix, _ := change.New(s.kv, change.Options{}).Read(context.Background())
			return output{state: state(ix)}
		})
	}
	return outcomes
}

// checkSettle requires that Settle returns the actual outcome of each change, also
// of those whose outcome was unknown.
func checkSettle(t *testing.T, s *unreliableStore, outcomes []change.Outcome) {
	t.Helper()
	changer := change.New(s.kv, change.Options{})
	settled := make([]change.Status, len(outcomes))
	for i, outcome := range outcomes {
		settled[i] = changer.Settle(t.Context(), outcome.ID).Status
	}
	s.lateWrites.Wait()
	ix := read(t, s.kv)
	for i, outcome := range outcomes {
		_, found := ix.Find(outcome.ID)
		require.Equal(t, found, settled[i] == change.Accepted)
		if outcome.Status != change.Unknown {
			require.Equal(t, found, outcome.Status == change.Accepted, outcome)
		}
	}
	require.EqualValues(t, len(ix.Changes), ix.Serial)
}

func TestConcurrentOperatorsLoseNoAcceptedChange(t *testing.T) {
	seen := map[change.Status]int{}
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			s := &unreliableStore{kv: memkv.New(), random: rand.New(rand.NewPCG(seed, 1))}
			r := &recorder{start: time.Now()}
			var operators sync.WaitGroup
			results := make([][]change.Outcome, 4)
			for client := range results {
				operators.Go(func() { results[client] = runOperator(s, r, client) })
			}
			operators.Wait()
			outcomes := slices.Concat(results...)
			checkSettle(t, s, outcomes)
			require.True(t, porcupine.CheckOperations(model(), r.operations), "seed %d", seed)
			for _, outcome := range outcomes {
				seen[outcome.Status]++
			}
		})
	}
	for _, status := range []change.Status{change.Accepted, change.Rejected, change.Unchanged, change.Unknown} {
		require.Positive(t, seen[status], status)
	}
	t.Log(seen)
}
