package store

import (
	"context"
	"net/url"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/plat/httpc"
)

// Path, headers and parameters of the key-value service.
const (
	// PathKV is the path prefix of a key.
	PathKV = "/v1/kv/"
	// HeaderRevision is the revision of the key, in answers.
	HeaderRevision = "X-Revision"
	// HeaderExpect is the revision that the key must have, in writes.
	HeaderExpect = "X-Expect"
	// ParamAfter and ParamWait turn a read into a watch: the service answers once
	// the revision is above ParamAfter, or after ParamWait milliseconds.
	ParamAfter = "after"
	ParamWait  = "wait_ms"
)

const (
	// defaultWait is the longest wait of one watch call.
	defaultWait = 20 * time.Second
	// watchGrace is added to the wait of a watch to get the timeout of its call.
	watchGrace = 2 * time.Second
)

// HTTPOptions adjusts the client of the key-value service. The zero value
// gives the defaults.
type HTTPOptions struct {
	Client httpc.Options
	// Wait is the longest wait of one watch call.
	Wait time.Duration
}

// HTTP is a Store that calls the key-value service over HTTP. It counts calls
// in the metric samphirestair_store_calls_total. It is safe for concurrent use.
type HTTP struct {
	client  *httpc.Client
	wait    time.Duration
	gets    *metrics.Counter
	swaps   *metrics.Counter
	watches *metrics.Counter
}

var _ Store = (*HTTP)(nil)

// NewHTTP returns a client for the service at baseURL, "http://host:port",
// that registers its counters in set.
func NewHTTP(baseURL string, set *metrics.Set, options HTTPOptions) (*HTTP, error) {
	client, err := httpc.New(baseURL, options.Client)
	if err != nil {
		return nil, errors.Wrap(err, "store")
	}
	if options.Wait <= 0 {
		options.Wait = defaultWait
	}
	return &HTTP{
		client:  client,
		wait:    options.Wait,
		gets:    set.GetOrCreateCounter(`samphirestair_store_calls_total{call="get"}`),
		swaps:   set.GetOrCreateCounter(`samphirestair_store_calls_total{call="swap"}`),
		watches: set.GetOrCreateCounter(`samphirestair_store_calls_total{call="watch"}`),
	}, nil
}

// Close waits for the calls in progress and closes the connections.
func (h *HTTP) Close() {
	h.client.Close()
}

// Get implements Store.
func (h *HTTP) Get(ctx context.Context, key string) (Entry, error) {
	h.gets.Inc()
	answer, err := h.client.Do(ctx, httpc.Call{Path: PathKV + key})
	if err != nil {
		return Entry{}, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	return readEntry(answer)
}

// Swap implements Store.
func (h *HTTP) Swap(ctx context.Context, key string, expect ident.Revision, value []byte) (ident.Revision, error) {
	h.swaps.Inc()
	answer, err := h.client.Do(ctx, httpc.Call{
		Method: fasthttp.MethodPut,
		Path:   PathKV + key,
		Header: map[string]string{HeaderExpect: formatRevision(expect)},
		Body:   value,
	})
	if errors.Is(err, httpc.ErrNotSent) {
		return 0, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	if err != nil {
		return 0, errors.Wrapf(ErrUnknown, "%v", err)
	}
	return readSwap(answer)
}

// Watch implements Store.
func (h *HTTP) Watch(ctx context.Context, key string, after ident.Revision) (Entry, error) {
	h.watches.Inc()
	answer, err := h.client.Do(ctx, httpc.Call{
		Path: PathKV + key,
		Query: url.Values{
			ParamAfter: {formatRevision(after)},
			ParamWait:  {strconv.FormatInt(h.wait.Milliseconds(), 10)},
		},
		Timeout: h.wait + watchGrace,
	})
	if err != nil {
		return Entry{}, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	if answer.Status == fasthttp.StatusNotModified {
		return Entry{}, ErrUnchanged
	}
	return readEntry(answer)
}

func readEntry(answer *httpc.Answer) (Entry, error) {
	if answer.Status == fasthttp.StatusNotFound && answer.Header(HeaderRevision) == "0" {
		return Entry{}, nil
	}
	if answer.Status != fasthttp.StatusOK {
		return Entry{}, errors.Wrapf(ErrUnavailable, "status %d", answer.Status)
	}
	revision, err := readRevision(answer)
	if err != nil {
		return Entry{}, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	return Entry{Value: answer.Body, Revision: revision}, nil
}

func readSwap(answer *httpc.Answer) (ident.Revision, error) {
	switch answer.Status {
	case fasthttp.StatusOK:
		revision, err := readRevision(answer)
		if err != nil {
			return 0, errors.Wrapf(ErrUnknown, "%v", err)
		}
		return revision, nil
	case fasthttp.StatusPreconditionFailed:
		return 0, ErrConflict
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusRequestEntityTooLarge, fasthttp.StatusBadRequest:
		return 0, errors.Wrapf(ErrUnavailable, "status %d", answer.Status)
	default:
		return 0, errors.Wrapf(ErrUnknown, "status %d", answer.Status)
	}
}

func readRevision(answer *httpc.Answer) (ident.Revision, error) {
	revision, err := strconv.ParseUint(answer.Header(HeaderRevision), 10, 64)
	return ident.Revision(revision), errors.Wrap(err, "store: parse revision")
}

func formatRevision(revision ident.Revision) string {
	return strconv.FormatUint(uint64(revision), 10)
}
