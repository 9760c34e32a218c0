package notice

import (
	"log/slog"
	"math"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// Limit is the number of requests per second that a server takes from all VMs together.
type Limit float64

// Unlimited stands for the absence of a limit.
var Unlimited = Limit(math.Inf(1))

// LimitState describes the limit of a server that named one.
type LimitState struct {
	Limit Limit `json:"limit"`
	// Since is when this VM learned that the server has a limit.
	Since time.Time `json:"since"`
	// HeardAt is when the limit was last named to this VM.
	HeardAt time.Time `json:"heard"`
	// Sent is the number of requests that this VM wrote to the server after Since, on its
	// own behalf or for other VMs.
	Sent int `json:"sent"`
}

// changesLimit reports whether n names a limit or lifts one.
func (t *Tracker) changesLimit(p Process, n Notice) bool {
	limit, told := n.Limit.Get()
	if !told || limit != Unlimited {
		return told
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.notices[p].limit != nil
}

// updateLimit returns the state of a process's limit after an answer, and logs changes.
func (t *Tracker) updateLimit(now time.Time, p Process, known *LimitState, limit Limit) *LimitState {
	switch {
	case limit == Unlimited:
		if known != nil {
			t.options.Events.Record("server_limit_lifted", string(p.ID), "not named in its answer",
				slog.Float64("limit", float64(known.Limit)), slog.Duration("lasted", now.Sub(known.Since)), slog.Int("sent", known.Sent))
		}
		return nil
	case known == nil:
		t.options.Events.Record("server_limited", string(p.ID), "named in its answer", slog.Float64("limit", float64(limit)))
		return &LimitState{Limit: limit, Since: now, HeardAt: now}
	case known.Limit != limit:
		t.options.Events.Sample("server_limit_changed", string(p.ID), "named in its answer",
			slog.Float64("limit", float64(limit)), slog.Float64("before", float64(known.Limit)))
	}
	return &LimitState{Limit: limit, Since: known.Since, HeardAt: now, Sent: known.Sent}
}

// ReportUnreadableLimit logs that a server named a limit that can't be read. The limit
// that it named before remains in force.
func (t *Tracker) ReportUnreadableLimit(p Process, text string) {
	t.options.Events.Sample("server_limit_unreadable", string(p.ID), "not a number of requests", slog.String("text", text))
}

// CountSent counts a request that is written to a server, if the server has a limit.
func (t *Tracker) CountSent(p Process) {
	t.mu.RLock()
	limited := t.notices[p].limit != nil
	t.mu.RUnlock()
	if !limited {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if limit := t.notices[p].limit; limit != nil {
		limit.Sent++
	}
}

// Limit returns the state of a server's limit. ok is false if it has none.
func (t *Tracker) Limit(p Process) (limit LimitState, ok bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if known := t.notices[p].limit; known != nil {
		return *known, true
	}
	return LimitState{}, false
}

// Limits returns the state of the servers that have a limit.
func (t *Tracker) Limits() map[ident.ServerID]LimitState {
	t.mu.RLock()
	defer t.mu.RUnlock()
	limits := map[ident.ServerID]LimitState{}
	for p, e := range t.notices {
		if e.limit != nil {
			limits[p.ID] = *e.limit
		}
	}
	return limits
}
