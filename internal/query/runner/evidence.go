package runner

import (
	"log/slog"
	"time"
)

// observeEnd logs that the process of a backend server ended while it had the request.
func (e *execution) observeEnd(now time.Time, r *reply) {
	if !r.result.Ended {
		return
	}
	e.trace("server_ended", "it had the request", slog.String("server", string(r.process.ID)), slog.Int64("born", r.process.Born),
		slog.String("request", e.fingerprint().String()), slog.Int("shared", r.result.Shared), slog.Int("shard", r.shard), slog.Duration("after", now.Sub(r.sentAt)))
}
