// Package rig holds the stand-ins of the review's cases: the platform's store, searchers,
// clients, and the processes under test. Every address is a loopback address.
package rig

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Item is the state of one key in answers of the store.
type Item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type change struct {
	item Item
	at   time.Time
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

// Store is a stand-in of the platform's metadata store. It keeps all history.
type Store struct {
	// PageItems is the number of items in a page of a range.
	PageItems int
	// ReadAge returns how old the state is that answers a read with staleOk. nil means 0.
	ReadAge func(r *http.Request) time.Duration
	// Intercept may answer a call in place of the store. It returns false to let it pass.
	Intercept func(w http.ResponseWriter, r *http.Request) bool

	Address string

	mu       sync.Mutex
	items    map[string]Item
	history  []change
	revision uint64
	leases   map[uint64]*lease
	last     uint64
	changed  chan struct{}
}

// NewStore starts a store on a free port.
func NewStore() (*Store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{
		PageItems: 500, Address: l.Addr().String(), items: map[string]Item{}, leases: map[uint64]*lease{},
		revision: 1, changed: make(chan struct{}),
	}
	go func() { _ = http.Serve(l, http.HandlerFunc(s.serve)) }()
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.mu.Lock()
			s.expire(time.Now())
			s.mu.Unlock()
		}
	}()
	return s, nil
}

// Listen returns one more address of the store, so that Intercept can tell callers apart by
// Request.Host.
func (s *Store) Listen() (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, http.HandlerFunc(s.serve)) }()
	return l.Addr().String(), nil
}

// Set writes a key as the operator or a searcher does, and returns its revision.
func (s *Store) Set(key string, value any) uint64 {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, encoded, 0)
	return s.revision
}

// Delete removes a key as the operator or the platform does.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

func (s *Store) write(key string, value []byte, leaseID uint64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	item := Item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: leaseID}
	s.items[key] = item
	s.record(item)
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.record(Item{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *Store) record(item Item) {
	s.history = append(s.history, change{item, time.Now()})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) expire(now time.Time) {
	for id, l := range s.leases {
		if now.Before(l.until) {
			continue
		}
		delete(s.leases, id)
		for key, item := range s.items {
			if item.Lease == id {
				s.remove(key)
			}
		}
	}
}

// stateAt returns the items and the revision of the store at a time.
func (s *Store) stateAt(at time.Time) (items []Item, revision uint64) {
	state := map[string]Item{}
	for _, c := range s.history {
		if c.at.After(at) {
			break
		}
		revision = c.item.Revision
		if c.item.Tombstone {
			delete(state, c.item.Key)
		} else {
			state[c.item.Key] = c.item
		}
	}
	for _, item := range state {
		items = append(items, item)
	}
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	return items, max(revision, 1)
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	if s.Intercept != nil && s.Intercept(w, r) {
		return
	}
	query := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/api/kv-range":
		s.serveRange(w, r)
	case path == "/api/kv-watch":
		s.serveWatch(w, r)
	case path == "/api/kv-key":
		s.mu.Lock()
		item, ok := s.items[query.Get("key")]
		s.mu.Unlock()
		if !ok {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
		answer(w, http.StatusOK, item)
	case path == "/api/kv-txn":
		s.serveTxn(w, r)
	case path == "/api/kv-lease":
		s.serveLease(w, r)
	case strings.HasPrefix(path, "/api/kv-keep/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, "/api/kv-keep/"), 10, 64)
		s.mu.Lock()
		l := s.leases[id]
		if l != nil {
			l.until = time.Now().Add(l.ttl)
		}
		s.mu.Unlock()
		if l == nil {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
		answer(w, http.StatusOK, struct{}{})
	default:
		answer(w, http.StatusNotFound, struct{}{})
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix, after := query.Get("pathPrefix"), query.Get("after")
	at := time.Now()
	if query.Get("staleOk") == "1" && s.ReadAge != nil {
		at = at.Add(-s.ReadAge(r))
	}
	s.mu.Lock()
	all, revision := s.stateAt(at)
	s.mu.Unlock()
	page := []Item{}
	more := false
	for _, item := range all {
		if !strings.HasPrefix(item.Key, prefix) || item.Key <= after {
			continue
		}
		if len(page) == s.PageItems {
			more = true
			break
		}
		page = append(page, item)
	}
	answer(w, http.StatusOK, map[string]any{"items": page, "morePages": more, "currentRev": revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []Item{}
		for _, c := range s.history {
			if c.item.Revision > after && strings.HasPrefix(c.item.Key, query.Get("pathPrefix")) {
				events = append(events, c.item)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		left := time.Until(deadline)
		if len(events) > 0 || left <= 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "currentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-time.After(left):
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Precondition []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"precondition"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"writes"`
		Deletes []string `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	for _, p := range txn.Precondition {
		if s.items[p.Key].Revision != p.Revision {
			answer(w, http.StatusPreconditionFailed, map[string]any{"items": []Item{s.items[p.Key]}})
			return
		}
	}
	for _, one := range txn.Writes {
		if one.Lease != 0 && s.leases[one.Lease] == nil {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
		if strings.HasPrefix(one.Key, "op/") || strings.HasPrefix(one.Key, "servers/") {
			answer(w, http.StatusForbidden, struct{}{})
			return
		}
	}
	for _, one := range txn.Writes {
		s.write(one.Key, one.Value, one.Lease)
	}
	for _, key := range txn.Deletes {
		s.remove(key)
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *Store) serveLease(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	ttl := time.Duration(max(request.TTLMs, 1000)) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	s.leases[s.last] = &lease{ttl: ttl, until: time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"lease": s.last, "ttlMs": ttl.Milliseconds()})
}
