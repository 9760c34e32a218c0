package runner

import (
	"log/slog"
	"strconv"
	"strings"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/query/relay"
)

// report counts the answer to a request, and logs it unless it is complete and in time.
func (r *Runner) report(e *execution, answer Answer) {
	took := time.Since(e.request.Arrived)
	kind := "request_answered"
	switch {
	case answer.Gone:
		kind = "request_cancelled"
		answer.Reason = "caller left or this process stops"
	case answer.Quarantined:
		kind = "request_quarantined"
	case answer.Verdict != relay.Success:
		kind = "request_" + answer.Verdict.String()
	case answer.Missing > 0:
		kind = "request_partial"
	case e.request.Route.Goal > 0 && took > e.request.Route.Goal:
		kind = "request_late"
	}
	r.requestMetrics.observe(e.request.Route, kind, took)
	if kind == "request_answered" {
		return
	}
	parts, crossed := 0, ""
	if e.query != nil {
		parts, crossed = e.query.AnsweredShards(), e.query.CrossZoneReasons()
	}
	e.trace(kind, answer.Reason, slog.Duration("took", took), slog.Int("parts", parts), slog.Int("missing", answer.Missing),
		slog.Int("attempts", e.attempts), slog.String("crossed", crossed), slog.String("waiting", e.describeUnanswered()), slog.Uint64("version", uint64(r.version())), slog.Duration("retry_after", answer.RetryAfter), slog.String("request", e.knownFingerprint()))
}

// describeUnanswered lists the attempts without a reply for logs, each as "shard:server",
// with "@vm" if that VM sent it on behalf of this one.
func (e *execution) describeUnanswered() string {
	texts := make([]string, len(e.unanswered))
	for i, a := range e.unanswered {
		texts[i] = strconv.Itoa(a.Shard) + ":" + string(a.Server)
		if vm, ordered := e.delegateOf(a.Shard, a.Attempt); ordered {
			texts[i] += "@" + string(vm)
		}
	}
	return strings.Join(texts, ",")
}

func (r *Runner) version() ident.Version {
	if table := r.deps.Views.View().Table; table != nil {
		return table.Config().Version
	}
	return 0
}
