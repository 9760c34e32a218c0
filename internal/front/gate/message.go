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
	"github.com/samphirestair/samphirestair/internal/owner/pool"
	"github.com/samphirestair/samphirestair/internal/plat/heads"
)

// hopHeaders concern one connection only and are not forwarded.
var hopHeaders = coll.NewSet(
	"connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization",
	"te", "trailer", "transfer-encoding", "upgrade", "expect", "content-length",
)

// target is where a request is directed.
type target struct {
	host, path string
}

// parseTarget returns host and path of a request. It fails for requests that
// different programs could understand differently.
func parseTarget(ctx *fasthttp.RequestCtx) (target, error) {
	uri := ctx.Request.Header.RequestURI()
	host := string(ctx.Request.Header.Host())
	if !bytes.HasPrefix(uri, []byte("/")) {
		return target{}, errors.New("the request target is no path")
	}
	if host == "" {
		return target{}, errors.New("no host")
	}
	if err := checkFraming(ctx.Request.Header.RawHeaders()); err != nil {
		return target{}, err
	}
	path, _, _ := bytes.Cut(uri, []byte("?"))
	return target{host: host, path: string(path)}, nil
}

// checkFraming refuses what the HTTP library lets pass although other programs
// could see another end of the request: folded headers, and a length beside
// chunks.
func checkFraming(raw []byte) error {
	hasLength, hasChunks := false, false
	for line := range bytes.Lines(raw) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		switch {
		case line[0] == ' ' || line[0] == '\t':
			return errors.New("a folded header")
		case bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)):
			hasLength = true
		case bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)):
			hasChunks = true
		}
	}
	if hasLength && hasChunks {
		return errors.New("both a length and chunks")
	}
	return nil
}

// find returns the first header with the given name, without regard to case.
func find(header *fasthttp.RequestHeader, name string) []byte {
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

// wait reads the time that a caller will wait. 0 means that it told none.
func wait(value []byte) time.Duration {
	ms, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	if err != nil || ms <= 0 {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// message builds the request that backend servers get: method, target, body and
// headers as they came, but for those that concern one connection only and
// those that the tier sets itself.
func message(ctx *fasthttp.RequestCtx, id string, names *heads.Names) *pool.Message {
	header := &ctx.Request.Header
	body := ctx.Request.Body()
	head := make([]byte, 0, 512)
	head = append(append(head, header.Method()...), ' ')
	head = append(append(head, header.RequestURI()...), " HTTP/1.1\r\n"...)
	listed := listedHeaders(header)
	for key, value := range header.All() {
		name := strings.ToLower(string(key))
		if hopHeaders.Has(name) || listed.Has(name) || strings.EqualFold(name, names.Deadline) || strings.EqualFold(name, names.ExpectedServer) {
			continue
		}
		head = append(append(append(head, key...), ": "...), value...)
		head = append(head, "\r\n"...)
	}
	if len(body) > 0 || header.ContentLength() > 0 || needsLength(header) {
		head = append(strconv.AppendInt(append(head, "Content-Length: "...), int64(len(body)), 10), "\r\n"...)
	}
	return &pool.Message{ID: id, Head: head, Body: bytes.Clone(body), NoBody: header.IsHead()}
}

// needsLength reports whether a request without a body has to say so.
func needsLength(header *fasthttp.RequestHeader) bool {
	return header.IsPost() || header.IsPut() || header.IsPatch()
}

// listedHeaders returns the headers that the Connection header names.
func listedHeaders(header *fasthttp.RequestHeader) coll.Set[string] {
	value := find(header, fasthttp.HeaderConnection)
	if len(value) == 0 {
		return nil
	}
	return listed(string(value))
}

func listed(value string) coll.Set[string] {
	names := coll.NewSet[string]()
	for _, name := range strings.Split(value, ",") {
		names.Add(strings.ToLower(strings.TrimSpace(name)))
	}
	return names
}

// maxListLength is the longest header value of a list in bytes. Callers bound both
// the length of a header line, often to 8 kB, and the number of lines.
const maxListLength = 4 << 10

// lists joins items by commas into as few header values as maxListLength allows.
func lists(items []string) iter.Seq[string] {
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

// copyResponse passes a backend server's answer on.
func copyResponse(ctx *fasthttp.RequestCtx, from *fasthttp.Response) {
	ctx.SetStatusCode(from.StatusCode())
	drop := listed(string(from.Header.Peek(fasthttp.HeaderConnection)))
	for key, value := range from.Header.All() {
		name := strings.ToLower(string(key))
		if hopHeaders.Has(name) || drop.Has(name) {
			continue
		}
		ctx.Response.Header.AddBytesKV(key, value)
	}
	ctx.Response.SetBody(from.Body())
}
