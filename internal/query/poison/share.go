package poison

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/owner/notice"
)

// Changed is sent to when there are changes to tell other VMs.
func (l *Ledger) Changed() <-chan struct{} {
	return l.wake
}

// Changes returns up to limit entries that changed since they were last returned.
func (l *Ledger) Changes(now time.Time, limit int) []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	var records []Record
	for f := range l.dirty {
		if len(records) == limit {
			break
		}
		records = append(records, l.share(now, f))
	}
	return records
}

// Page returns the next entries of a rotation over all that other VMs should know, at most
// limit.
func (l *Ledger) Page(now time.Time, limit int) []Record {
	if l.Empty() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var records []Record
	for range min(limit, len(l.entries)) {
		f, ok := l.nextInRotation()
		if !ok {
			break
		}
		records = append(records, l.share(now, f))
	}
	return records
}

// nextInRotation returns the next entry of the rotation. ok is false if there is none.
func (l *Ledger) nextInRotation() (f Fingerprint, ok bool) {
	for range 2 {
		for len(l.rotation) > 0 {
			f, l.rotation = l.rotation[0], l.rotation[1:]
			if _, known := l.entries[f]; known {
				return f, true
			}
		}
		for f := range l.entries {
			l.rotation = append(l.rotation, f)
		}
	}
	return f, false
}

// All returns the records of all entries, for a VM that knows none.
func (l *Ledger) All(now time.Time) []Record {
	if l.Empty() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	records := make([]Record, 0, len(l.entries))
	for f := range l.entries {
		records = append(records, l.share(now, f))
	}
	return records
}

// share returns the record of an entry, which another VM then knows of.
func (l *Ledger) share(now time.Time, f Fingerprint) Record {
	e := l.entries[f]
	e.published = true
	l.dirty.Remove(f)
	return e.record(now, f)
}

// Merge adds what another VM knows. It ignores records without a valid fingerprint, and those
// that say nothing against a request of which nothing is known here.
func (l *Ledger) Merge(now time.Time, records []Record) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range records {
		r := &records[i]
		if len(r.Fingerprint) != fingerprintSize || len(r.Ends) > maxEnds {
			continue
		}
		f := Fingerprint(r.Fingerprint)
		if _, known := l.entries[f]; known || len(r.Ends) > 0 || r.QuarantinedAgo >= 0 {
			l.mergeRecord(now, f, r)
		}
	}
}

// mergeRecord adds what another VM knows of one request.
func (l *Ledger) mergeRecord(now time.Time, f Fingerprint, r *Record) {
	e := l.entry(now, f)
	state, trial := e.state(now), e.trialUntil
	contested := e.contests(now, r)
	e.merge(now, r)
	for _, other := range r.Ends {
		l.addEnd(now, f, e, end{process: notice.Process{ID: ident.ServerID(other.Server), Born: other.Born}, at: before(now, max(other.Ago, 0)), trial: max(other.Trial, 0), uncertain: other.Uncertain})
	}
	e.published = true
	if l.judge(now, e) || contested {
		l.publish(f, e)
	}
	if state != Quarantined && e.state(now) == Quarantined {
		l.explain(now, e)
	}
	l.report(now, f, e, state, "told by another VM")
	if e.state(now) != state || e.trialUntil.Before(trial) {
		e.wakeWaiting()
	}
}

// Encode encodes records into messages of at most maxBytes each, as far as single records
// allow.
func Encode(records []Record, maxBytes int) ([][]byte, error) {
	var messages [][]byte
	for len(records) > 0 {
		count, size := 0, 0
		for count < len(records) && (count == 0 || size+records[count].Msgsize() <= maxBytes) {
			size += records[count].Msgsize()
			count++
		}
		batch := Records{Records: records[:count]}
		encoded, err := batch.MarshalMsg(nil)
		if err != nil {
			return nil, err
		}
		messages, records = append(messages, encoded), records[count:]
	}
	return messages, nil
}

// Decode is the inverse of Encode for one message.
func Decode(message []byte) ([]Record, error) {
	var batch Records
	_, err := batch.UnmarshalMsg(message)
	return batch.Records, err
}
