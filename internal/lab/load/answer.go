package load

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/lab/server"
	"github.com/samphirestair/samphirestair/internal/lab/trace"
)

// answer is what an entry VM answers to a request.
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
	// moveOn is set if the answer tells the caller to use other addresses.
	moveOn bool
}

// keyed is the part of an answer that names what it belongs to.
type serverAnswer struct {
	Key string `json:"key"`
}

type coverage struct {
	Answered int `json:"answered"`
	Total    int `json:"of"`
}

// parseAnswer parses the body of an answer.
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

// fill copies what the answer says into the record of an attempt.
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
