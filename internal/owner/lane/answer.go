package lane

import (
	"math"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/plat/bknd"
)

// Outcome is how a request ended on its connection.
type Outcome uint8

// Outcomes of a request.
const (
	// OutcomeUnsent means that no byte of it was written.
	OutcomeUnsent Outcome = iota
	// OutcomeAnswered means that the server answered this request.
	OutcomeAnswered
	// OutcomeSilent means that no answer came in time; the server may still
	// work on it.
	OutcomeTimedOut
	// OutcomeBroken means that the connection failed or carried something that
	// is no answer to this request; the server may still work on it.
	OutcomeBroken
)

// Result is the end of one request.
type Result struct {
	Outcome Outcome
	Status  msgs.Status
	// Shed is set if the server refused the work.
	Shed bool
	// Reset is set if the server reset the connection.
	Reset       bool
	Boot        ident.BootID
	Maps        string
	Version     ident.Version
	Hits        []msgs.Hit
	Body        []byte
	ServiceTime time.Duration
	// Err says what was wrong; it is nil if the answer is usable.
	Err error
}

// answerReader checks and decodes answers. It keeps buffers between calls and
// is not safe for concurrent use.
type answerReader struct {
	parser fastjson.Parser
	boot   ident.BootID
	maps   string
}

// read checks that the response answers the request and decodes it.
func (a *answerReader) read(r *Request, resp *fasthttp.Response) Result {
	if string(resp.Header.Peek(bknd.HeaderRequest)) != r.ID {
		return Result{
			Outcome: OutcomeBroken, Status: msgs.StatusFailed,
			Err: errors.New("lane: answer to another request"),
		}
	}
	result := Result{Outcome: OutcomeAnswered, Boot: a.internBoot(resp), Maps: a.internMaps(resp)}
	switch code := resp.StatusCode(); {
	case code == fasthttp.StatusOK:
		a.readOK(r, resp, &result)
	case code == bknd.StatusWrongVersion:
		result.Status = msgs.StatusWrongVersion
	case code == bknd.StatusShed:
		result.Status, result.Shed = msgs.StatusNotRun, true
	case string(resp.Header.Peek(bknd.HeaderNotRun)) == "1":
		result.Status = msgs.StatusNotRun
	case code == bknd.StatusCancelled:
		result.Status = msgs.StatusCancelled
	case code == bknd.StatusDeadline:
		result.Status = msgs.StatusLate
	default:
		result.Status = msgs.StatusFailed
		result.Err = errors.Newf("lane: status %d", code)
	}
	return result
}

// readOK reads an answer with status 200.
func (a *answerReader) readOK(r *Request, resp *fasthttp.Response, result *Result) {
	if err := a.readBody(r, resp, result); err != nil {
		result.Status, result.Err = msgs.StatusFailed, err
		result.Hits, result.Body = nil, nil
	}
}

func (a *answerReader) readBody(r *Request, resp *fasthttp.Response, result *Result) error {
	version, err := checkVersionAndShard(r, resp)
	if err != nil {
		return err
	}
	result.Version = version
	if r.Kind == msgs.KindSearch {
		result.Hits, err = a.hits(resp.Body())
		return err
	}
	result.Body = append([]byte(nil), resp.Body()...)
	return nil
}

// checkPlace checks that the answer is from the requested version and shard.
func checkVersionAndShard(r *Request, resp *fasthttp.Response) (ident.Version, error) {
	version, err := headerUint(resp, bknd.HeaderVersion)
	if err != nil {
		return 0, err
	}
	shard, err := headerUint(resp, bknd.HeaderShard)
	if err != nil {
		return 0, err
	}
	if r.Version != 0 && version != uint64(r.Version) {
		return 0, errors.Newf("lane: answer from version %d, not %d", version, r.Version)
	}
	if shard != uint64(r.Shard) {
		return 0, errors.Newf("lane: answer from shard %d, not %d", shard, r.Shard)
	}
	return ident.Version(version), nil
}

// hits decodes the answer to a search.
func (a *answerReader) hits(body []byte) ([]msgs.Hit, error) {
	if err := fastjson.ValidateBytes(body); err != nil {
		return nil, errors.Wrap(err, "lane: answer is not JSON")
	}
	value, err := a.parser.ParseBytes(body)
	if err != nil {
		return nil, errors.Wrap(err, "lane: answer is not JSON")
	}
	list := value.Get("hits")
	if list == nil {
		return nil, errors.New("lane: answer has no hits")
	}
	items, err := list.Array()
	if err != nil {
		return nil, errors.Wrap(err, "lane: hits")
	}
	hits := make([]msgs.Hit, len(items))
	docs := make([]byte, 0, len(body))
	for i, item := range items {
		if docs, err = readHit(item, &hits[i], docs); err != nil {
			return nil, errors.Wrapf(err, "lane: hit %d", i)
		}
	}
	return hits, nil
}

// readHit decodes one hit. Its document is appended to docs, which is returned.
func readHit(item *fastjson.Value, hit *msgs.Hit, docs []byte) ([]byte, error) {
	idValue, scoreValue := item.Get("id"), item.Get("score")
	if idValue == nil || scoreValue == nil {
		return docs, errors.New("id or score is missing")
	}
	id, err := idValue.StringBytes()
	if err != nil {
		return docs, err
	}
	score, err := scoreValue.Float64()
	if err != nil {
		return docs, err
	}
	if math.IsNaN(score) || math.IsInf(score, 0) {
		return docs, errors.New("score is not finite")
	}
	start := len(docs)
	if doc := item.Get("doc"); doc != nil {
		docs = doc.MarshalTo(docs)
	}
	hit.ID, hit.Score = string(id), score
	hit.Doc = docs[start:len(docs):len(docs)]
	return docs, nil
}

// bootOf returns the boot identity and allocates only if it changed.
func (a *answerReader) internBoot(resp *fasthttp.Response) ident.BootID {
	if boot := resp.Header.Peek(bknd.HeaderBoot); string(boot) != string(a.boot) {
		a.boot = ident.BootID(boot)
	}
	return a.boot
}

// mapsOf returns the text of the index maps and allocates only if it changed.
func (a *answerReader) internMaps(resp *fasthttp.Response) string {
	if maps := resp.Header.Peek(bknd.HeaderMaps); string(maps) != a.maps {
		a.maps = string(maps)
	}
	return a.maps
}

func headerUint(resp *fasthttp.Response, name string) (uint64, error) {
	value, err := strconv.ParseUint(string(resp.Header.Peek(name)), 10, 64)
	if err != nil {
		return 0, errors.Wrapf(err, "lane: header %s", name)
	}
	return value, nil
}
