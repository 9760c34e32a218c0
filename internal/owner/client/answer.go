package client

import (
	"math"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"

	"github.com/samphirestair/samphirestair/internal/base/budget"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/plat/bknd"
)

// Outcome is how the exchange of a request ended on its connection.
type Outcome uint8

// Outcomes of a request.
const (
	// OutcomeUnsent means that no byte of the request was written.
	OutcomeUnsent Outcome = iota
	// OutcomeAnswered means that the server's answer to this request arrived.
	OutcomeAnswered
	// OutcomeTimedOut means that no answer arrived in time. The server may still be
	// running the request.
	OutcomeTimedOut
	// OutcomeBroken means that the connection failed, or that what arrived is not an
	// answer to this request. The server may still be running the request.
	OutcomeBroken
)

// Result describes how a request ended.
type Result struct {
	Outcome Outcome
	Status  msgs.Status
	// Shed is set if the server refused the request because of overload.
	Shed bool
	// Reset is set if the server reset the connection.
	Reset bool
	Boot  ident.BootID
	// Maps is the value of bknd.HeaderMaps, the server's index maps.
	Maps    string
	Version ident.Version
	Hits    []msgs.Hit
	Body    []byte
	// Held accounts for the memory of Hits and Body. Whoever drops the result releases it.
	Held        *budget.Holder
	ServiceTime time.Duration
	// Err is the cause of a failure, or nil.
	Err error
}

// answerReader validates and decodes answers. It reuses its parser between calls and is
// not safe for concurrent use.
type answerReader struct {
	parser fastjson.Parser
	boot   ident.BootID
	maps   string
}

// read checks that the response is an answer to the request and decodes it.
func (a *answerReader) read(r *Request, resp *fasthttp.Response, body []byte) Result {
	if string(resp.Header.Peek(bknd.HeaderRequest)) != r.ID {
		return Result{
			Outcome: OutcomeBroken, Status: msgs.StatusFailed,
			Err: errors.New("client: answer to another request"),
		}
	}
	result := Result{Outcome: OutcomeAnswered, Boot: a.internBoot(resp), Maps: a.internMaps(resp)}
	switch code := resp.StatusCode(); {
	case code == fasthttp.StatusOK:
		a.readOK(r, resp, body, &result)
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
		result.Err = errors.Newf("client: status %d", code)
	}
	return result
}

// readOK decodes an answer with status 200 into result. An unusable answer fails the
// request without its hits or body.
func (a *answerReader) readOK(r *Request, resp *fasthttp.Response, body []byte, result *Result) {
	if err := a.readBody(r, resp, body, result); err != nil {
		result.Status, result.Err = msgs.StatusFailed, err
		result.Hits, result.Body = nil, nil
	}
}

func (a *answerReader) readBody(r *Request, resp *fasthttp.Response, body []byte, result *Result) error {
	version, err := checkVersionAndShard(r, resp)
	if err != nil {
		return err
	}
	result.Version = version
	if r.Kind == msgs.KindSearch {
		result.Hits, err = a.hits(body)
		return err
	}
	result.Body = body
	return nil
}

// checkVersionAndShard checks that the answer is from the requested index version and
// shard, and returns the version.
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
		return 0, errors.Newf("client: answer from version %d, not %d", version, r.Version)
	}
	if shard != uint64(r.Shard) {
		return 0, errors.Newf("client: answer from shard %d, not %d", shard, r.Shard)
	}
	return ident.Version(version), nil
}

// hits decodes the JSON body of the answer to a search.
func (a *answerReader) hits(body []byte) ([]msgs.Hit, error) {
	if err := fastjson.ValidateBytes(body); err != nil {
		return nil, errors.Wrap(err, "client: answer is not JSON")
	}
	parser := &a.parser
	if len(body) > budget.SmallSize {
		// The parser keeps a copy of the last body and its values.
		parser = &fastjson.Parser{}
	}
	value, err := parser.ParseBytes(body)
	if err != nil {
		return nil, errors.Wrap(err, "client: answer is not JSON")
	}
	list := value.Get("hits")
	if list == nil {
		return nil, errors.New("client: answer has no hits")
	}
	items, err := list.Array()
	if err != nil {
		return nil, errors.Wrap(err, "client: hits")
	}
	hits := make([]msgs.Hit, len(items))
	docs := make([]byte, 0, len(body))
	for i, item := range items {
		if docs, err = readHit(item, &hits[i], docs); err != nil {
			return nil, errors.Wrapf(err, "client: hit %d", i)
		}
	}
	return hits, nil
}

// readHit decodes one hit. It appends the hit's document to docs and returns the extended
// slice. All documents of an answer share one array.
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

// internBoot returns the boot id in the headers. It allocates only if it differs from that
// of the previous answer.
func (a *answerReader) internBoot(resp *fasthttp.Response) ident.BootID {
	if boot := resp.Header.Peek(bknd.HeaderBoot); string(boot) != string(a.boot) {
		a.boot = ident.BootID(boot)
	}
	return a.boot
}

// internMaps returns the text of the index maps in the headers. It allocates only if it
// differs from that of the previous answer.
func (a *answerReader) internMaps(resp *fasthttp.Response) string {
	if maps := resp.Header.Peek(bknd.HeaderMaps); string(maps) != a.maps {
		a.maps = string(maps)
	}
	return a.maps
}

func headerUint(resp *fasthttp.Response, name string) (uint64, error) {
	value, err := strconv.ParseUint(string(resp.Header.Peek(name)), 10, 64)
	if err != nil {
		return 0, errors.Wrapf(err, "client: header %s", name)
	}
	return value, nil
}
