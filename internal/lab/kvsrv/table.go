package kvsrv

import (
	"strconv"
	"sync"
	"time"
)

// swapResult is the result of a write.
type swapResult int

const (
	written swapResult = iota
	conflict
	noLease
)

// record is the current value of a key.
type record struct {
	value    []byte
	revision uint64
	lease    string
}

// table holds keys and leases. One counter gives the revisions of all keys.
// It is safe for concurrent use.
type table struct {
	mu       sync.Mutex
	revision uint64
	records  map[string]record
	changed  map[string]chan struct{}
	leases   map[string]time.Time
	leaseSeq uint64
}

func newTable() *table {
	return &table{
		records: map[string]record{},
		changed: map[string]chan struct{}{},
		leases:  map[string]time.Time{},
	}
}

// get returns the record of key and a channel that is closed when it changes.
func (t *table) get(key string) (record, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireLocked(time.Now())
	signal, ok := t.changed[key]
	if !ok {
		signal = make(chan struct{})
		t.changed[key] = signal
	}
	return t.records[key], signal
}

// swap writes value if the revision of key is expect and lease is empty or exists. It
// returns the revision of the key afterwards, or 0 without the lease.
func (t *table) swap(key string, expect uint64, value []byte, lease string) (uint64, swapResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireLocked(time.Now())
	if _, ok := t.leases[lease]; lease != "" && !ok {
		return 0, noLease
	}
	if t.records[key].revision != expect {
		return t.records[key].revision, conflict
	}
	t.revision++
	t.records[key] = record{value: value, revision: t.revision, lease: lease}
	t.notifyLocked(key)
	return t.revision, written
}

// grant starts a lease and returns its id.
func (t *table) grant(ttl time.Duration) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaseSeq++
	id := strconv.FormatUint(t.leaseSeq, 10)
	t.leases[id] = time.Now().Add(ttl)
	time.AfterFunc(ttl, t.expire)
	return id
}

// renew extends a lease to ttl from now. It returns false if the lease has expired.
func (t *table) renew(id string, ttl time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireLocked(time.Now())
	if _, ok := t.leases[id]; !ok {
		return false
	}
	t.leases[id] = time.Now().Add(ttl)
	time.AfterFunc(ttl, t.expire)
	return true
}

// expire removes the expired leases and deletes their keys.
func (t *table) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireLocked(time.Now())
}

func (t *table) expireLocked(now time.Time) {
	for id, end := range t.leases {
		if now.Before(end) {
			continue
		}
		delete(t.leases, id)
		t.dropKeysLocked(id)
	}
}

func (t *table) dropKeysLocked(lease string) {
	for key, r := range t.records {
		if r.lease == lease {
			t.revision++
			delete(t.records, key)
			t.notifyLocked(key)
		}
	}
}

func (t *table) notifyLocked(key string) {
	if signal, ok := t.changed[key]; ok {
		close(signal)
		delete(t.changed, key)
	}
}
