package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/query/engine"
	"github.com/samphirestair/samphirestair/internal/query/entry"
)

// answer is the body of every answer to a search, lookup or action.
type answer struct {
	Request      string          `json:"request"`
	Outcome      string          `json:"outcome"`
	Snapshot     ident.Version   `json:"snapshot,omitempty"`
	Coverage     *coverage       `json:"coverage,omitempty"`
	Hits         []hit           `json:"hits,omitzero"`
	Answer       json.RawMessage `json:"answer,omitempty"`
	Reason       string          `json:"reason,omitempty"`
	RetryAfterMS int64           `json:"retry_after_ms,omitempty"`
	Error        *failure        `json:"error,omitempty"`
}

// coverage is the number of shards that answered, of all shards of the service.
type coverage struct {
	Answered int `json:"answered"`
	Of       int `json:"of"`
}

type hit struct {
	ID    string          `json:"id"`
	Score float64         `json:"score"`
	Doc   json.RawMessage `json:"doc,omitempty"`
}

// reply writes the result of a request as an answer, and releases it.
func reply(c fiber.Ctx, id string, result entry.Result) error {
	defer result.Release()
	if rejected := rejectionOf(result); rejected != nil {
		return replyRejected(c, id, rejected)
	}
	body := answer{
		Request:      id,
		Outcome:      result.Outcome.String(),
		Snapshot:     result.Version,
		Hits:         toHits(result.Hits),
		Reason:       result.Reason,
		RetryAfterMS: result.RetryAfter.Milliseconds(),
	}
	if result.TotalShards > 0 {
		body.Coverage = &coverage{Answered: result.AnsweredShards, Of: result.TotalShards}
	}
	if len(result.Body) > 0 {
		body.Answer = toJSON(result.Body)
	}
	status := http.StatusOK
	switch result.Outcome {
	case engine.OutcomeNotRun:
		status = http.StatusServiceUnavailable
		body.Error = &failure{Code: codeNotRun, Message: result.Reason}
		c.Set(fiber.HeaderRetryAfter, roundUpToSeconds(result.RetryAfter))
	case engine.OutcomeUnknown:
		status = statusOfUnknown(result.Reason)
		body.Error = &failure{Code: codeOutcomeUnknown, Message: result.Reason}
	case engine.OutcomeFull, engine.OutcomePartial, engine.OutcomeDone:
	}
	return send(c, status, body)
}

// statusOfUnknown returns the HTTP status of a request whose outcome is unknown.
func statusOfUnknown(reason string) int {
	if reason == engine.ReasonDeadline {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// rejectionOf returns the rejection for a result that reports a faulty request, or nil.
func rejectionOf(result entry.Result) *rejection {
	switch result.Problem {
	case entry.ProblemUnknownService:
		return newRejection(http.StatusNotFound, codeUnknownService, result.Reason)
	case entry.ProblemUnknownAction:
		return newRejection(http.StatusNotFound, codeUnknownAction, result.Reason)
	case entry.ProblemDeadlinePassed:
		return newRejection(http.StatusRequestTimeout, codeDeadlinePassed, result.Reason)
	case entry.ProblemNone:
	}
	return nil
}

// replyRejected writes the answer to a faulty request, which was not run.
func replyRejected(c fiber.Ctx, id string, rejected *rejection) error {
	return send(c, rejected.status, answer{
		Request: id,
		Outcome: engine.OutcomeNotRun.String(),
		Error:   &rejected.failure,
	})
}

// send writes body as JSON with the given status.
func send(c fiber.Ctx, status int, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "caller: encode answer")
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Status(status).Send(data)
}

// toHits converts hits for the answer. It returns nil for nil, so that only answers to
// searches have the field "hits".
func toHits(hits []msgs.Hit) []hit {
	if hits == nil {
		return nil
	}
	out := make([]hit, len(hits))
	for i := range hits {
		out[i] = hit{ID: hits[i].ID, Score: hits[i].Score, Doc: toJSON(hits[i].Doc)}
	}
	return out
}

// toJSON returns data if it is valid JSON, else data as a JSON string.
func toJSON(data []byte) json.RawMessage {
	if len(data) == 0 || json.Valid(data) {
		return data
	}
	text, err := json.Marshal(string(data))
	if err != nil {
		return nil
	}
	return text
}

// roundUpToSeconds returns d in whole seconds, the unit of the Retry-After header.
func roundUpToSeconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}
