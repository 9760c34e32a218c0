package load

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/lab/server"
	"github.com/samphirestair/samphirestair/internal/lab/trace"
)

// answer is the body of an entry VM's answer to a request.
type answer struct {
	Request  string        `json:"request"`
	Outcome  trace.Outcome `json:"outcome"`
	Snapshot ident.Version `json:"snapshot"`
	Coverage coverage      `json:"coverage"`
	Hits     []server.Hit  `json:"hits"`
	// Answer is the backend server's answer to a lookup or an action.
	Answer      serverAnswer `json:"answer"`
	Reason      string       `json:"reason"`
	RetryMillis int          `json:"retry_after_ms"`
	// moveOn is set if the answer has the header that asks the caller to fetch
	// new addresses. It isn't part of the body.
	moveOn bool
}

// serverAnswer is the decoded part of a backend server's answer: the key for
// which it was sent.
type serverAnswer struct {
	Key string `json:"key"`
}

type coverage struct {
	Answered int `json:"answered"`
	Total    int `json:"of"`
}

// parseAnswer decodes the body of an answer. It returns an error if the outcome
// is not one of those of package trace.
func parseAnswer(body []byte) (answer, error) {
	var a answer
	if err := json.Unmarshal(body, &a); err != nil {
		return answer{}, errors.Wrap(err, "load: answer")
	}
	switch a.Outcome {
	case trace.OutcomeFull, trace.OutcomePartial, trace.OutcomeDone, trace.OutcomeNotRun, trace.OutcomeUnknown:
		return a, nil
	default:
		return answer{}, errors.Newf("load: unknown outcome %q", a.Outcome)
	}
}

// copyTo copies the contents of the answer to the recorded attempt.
func (a answer) copyTo(attempt *trace.Attempt) {
	attempt.Outcome = a.Outcome
	attempt.EchoedID = a.Request
	attempt.EchoedKey = a.Answer.Key
	attempt.Snapshot = a.Snapshot
	attempt.AnsweredShards, attempt.TotalShards = a.Coverage.Answered, a.Coverage.Total
	for _, hit := range a.Hits {
		attempt.Hits = append(attempt.Hits, trace.Hit{
			ID: hit.ID, Version: hit.Doc.Version, Shard: hit.Doc.Shard, Query: hit.Doc.Query,
		})
	}
}
