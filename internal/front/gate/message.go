package gate

import (
	"bytes"
	"iter"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/reply"
	"github.com/samphirestair/samphirestair/internal/conf/routes"
	"github.com/samphirestair/samphirestair/internal/owner/pool"
	"github.com/samphirestair/samphirestair/internal/plat/header"
)

// hopByHopHeaders are the headers, in lower case, that concern one connection only
// and are not forwarded.
var hopByHopHeaders = coll.NewSet(
	"connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization",
	"te", "trailer", "transfer-encoding", "upgrade", "expect", "content-length",
)

// target is the host and the path that a request is routed by.
type target struct {
	host, path string
}

// parseTarget returns the host and the path of a request, without the query string.
// It fails for requests that other HTTP implementations may parse differently.
func parseTarget(ctx *fasthttp.RequestCtx) (target, error) {
	uri := ctx.Request.Header.RequestURI()
	host := string(ctx.Request.Header.Host())
	if !bytes.HasPrefix(uri, []byte("/")) {
		return target{}, errors.New("the request target is not a path")
	}
	if host == "" {
		return target{}, errors.New("the Host header is missing")
	}
	if err := checkFraming(ctx.Request.Header.RawHeaders()); err != nil {
		return target{}, err
	}
	path, _, _ := bytes.Cut(uri, []byte("?"))
	return target{host: host, path: string(path)}, nil
}

// checkFraming rejects requests that the HTTP library accepts although other
// implementations may see their end elsewhere (request smuggling): those with folded
// headers, with names that are none, or with both a Content-Length and a Transfer-Encoding.
func checkFraming(raw []byte) error {
	hasLength, hasChunks := false, false
	for line := range bytes.Lines(raw) {
		name, _, isField := bytes.Cut(line, []byte(":"))
		switch {
		case line[0] == ' ' || line[0] == '\t':
			return errors.New("a header is folded")
		case isField && !reply.IsName(name):
			return errors.New("the name of a header is invalid")
		case bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)):
			hasLength = true
		case bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)):
			hasChunks = true
		}
	}
	if hasLength && hasChunks {
		return errors.New("both Content-Length and Transfer-Encoding are given")
	}
	return nil
}

// findHeader returns the value of the first header with the given name in any case, or
// nil.
func findHeader(header *fasthttp.RequestHeader, name string) []byte {
	if value := header.Peek(name); len(value) > 0 {
		return value
	}
	for key, value := range header.All() {
		if len(key) == len(name) && strings.EqualFold(string(key), name) {
			return value
		}
	}
	return nil
}

// parseWait parses the time, in milliseconds, for which a caller waits. It returns 0 if
// the value is missing or invalid.
func parseWait(value []byte) time.Duration {
	ms, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	if err != nil || ms <= 0 {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// headerRules defines which headers of a caller are replaced.
type headerRules struct {
	// tenantName is the name of the header that names the caller's tenant.
	tenantName string
	// dropped holds the names, in lower case, of the headers that the tier sets itself or
	// withholds from backend servers, and droppedByTenants those while there are tenants.
	dropped, droppedByTenants coll.Set[string]
}

// newHeaderRules returns the rules for all requests. If there are tenants, backend servers get
// the name of the caller's tenant and never the key.
func newHeaderRules(names *header.Names) headerRules {
	rules := headerRules{tenantName: names.Tenant, dropped: coll.NewSet(strings.ToLower(names.Deadline), strings.ToLower(names.ExpectedServer))}
	rules.droppedByTenants = rules.dropped.Clone()
	rules.droppedByTenants.Add(strings.ToLower(names.Tenant))
	rules.droppedByTenants.Add(strings.ToLower(fasthttp.HeaderAuthorization))
	return rules
}

// newMessage builds the request for backend servers from that of the caller, whose tenant is nil
// if there is none. Method, target, body and headers are unchanged, except that hop-by-hop
// headers and those that the tier sets itself are left out.
func (r *headerRules) newMessage(ctx *fasthttp.RequestCtx, id string, table *routes.Table, tenant *routes.Tenant) *pool.Message {
	dropped := r.dropped
	if table.HasTenants() {
		dropped = r.droppedByTenants
	}
	header := &ctx.Request.Header
	body := ctx.Request.Body()
	head := make([]byte, 0, 512)
	head = append(append(head, header.Method()...), ' ')
	head = append(append(head, header.RequestURI()...), " HTTP/1.1\r\n"...)
	listed := connectionHeaders(header.All())
	for key, value := range header.All() {
		name := strings.ToLower(strings.TrimSpace(string(key)))
		if hopByHopHeaders.Has(name) || listed.Has(name) || dropped.Has(name) {
			continue
		}
		head = append(append(append(head, key...), ": "...), value...)
		head = append(head, "\r\n"...)
	}
	if tenant != nil {
		head = append(append(append(head, r.tenantName...), ": "...), tenant.Name...)
		head = append(head, "\r\n"...)
	}
	if len(body) > 0 || header.ContentLength() > 0 || needsLength(header) {
		head = append(strconv.AppendInt(append(head, "Content-Length: "...), int64(len(body)), 10), "\r\n"...)
	}
	return &pool.Message{ID: id, Head: head, Body: bytes.Clone(body), NoBody: header.IsHead()}
}

// needsLength reports whether a request needs a Content-Length even if its body is
// empty.
func needsLength(header *fasthttp.RequestHeader) bool {
	return header.IsPost() || header.IsPut() || header.IsPatch()
}

// connectionHeaders returns the names, in lower case, that the Connection headers list. Their
// headers concern this connection only.
func connectionHeaders(headers iter.Seq2[[]byte, []byte]) (names coll.Set[string]) {
	for name, value := range headers {
		if !bytes.EqualFold(name, []byte(fasthttp.HeaderConnection)) {
			continue
		}
		if names == nil {
			names = coll.NewSet[string]()
		}
		for listed := range strings.SplitSeq(string(value), ",") {
			names.Add(strings.ToLower(strings.TrimSpace(listed)))
		}
	}
	return names
}

// maxListLength is the longest header value that joinLists yields, in bytes. Callers
// limit both the length of a header line, often to 8 kB, and the number of lines.
const maxListLength = 4 << 10

// joinLists joins items with commas into as few header values as maxListLength allows.
func joinLists(items []string) iter.Seq[string] {
	return func(yield func(string) bool) {
		const separator = ", "
		var list []byte
		for _, item := range items {
			if len(list) > 0 && len(list)+len(separator)+len(item) > maxListLength {
				if !yield(string(list)) {
					return
				}
				list = list[:0]
			}
			if len(list) > 0 {
				list = append(list, separator...)
			}
			list = append(list, item...)
		}
		if len(list) > 0 {
			yield(string(list))
		}
	}
}

// copyResponse copies a backend server's response, except its hop-by-hop headers, into
// the answer.
func copyResponse(ctx *fasthttp.RequestCtx, result *pool.Result) {
	from := result.Response
	ctx.SetStatusCode(from.StatusCode())
	listed := connectionHeaders(from.Header.All())
	for key, value := range from.Header.All() {
		name := strings.ToLower(string(key))
		if hopByHopHeaders.Has(name) || listed.Has(name) {
			continue
		}
		ctx.Response.Header.AddBytesKV(key, value)
	}
	if result.IsBodyOwned() {
		ctx.Response.SetBodyRaw(from.Body())
		return
	}
	ctx.Response.SetBody(from.Body())
}
