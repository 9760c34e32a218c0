// Package reply reads HTTP responses of backend servers and of other VMs.
package reply

import (
	"bufio"
	"io"

	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/budget"
)

// maxInterim bounds the interim responses before a response.
const maxInterim = 8

// Options holds the limits of a response.
type Options struct {
	// MaxBody is the maximum size of the body in bytes.
	MaxBody int
	// NoBody is set if the response has no body, as to a HEAD request.
	NoBody bool
	// Reserve reserves memory for size bytes of the body in total, before they are read. It
	// is called only for bodies of more than budget.SmallSize.
	Reserve func(size int) bool
}

// Read reads a response into an empty one. Bodies of more than budget.SmallSize are in memory
// of their own, which stays valid after the response was released. It fails with ErrInvalid if the
// response is not valid.
func Read(response *fasthttp.Response, r *bufio.Reader, options Options) error {
	header, syntax := &response.Header, checker{noBody: options.NoBody}
	if err := readHead(header, r, &syntax); err != nil {
		return err
	}
	if syntax.state == end {
		response.SkipBody = true
		return nil
	}
	if syntax.inChunks {
		r = bufio.NewReader(&chunkReader{r, syntax})
	}
	length := header.ContentLength()
	if length >= 0 && length <= budget.SmallSize {
		return response.ReadBody(r, options.MaxBody)
	}
	body, err := readLong(response, r, options)
	if err != nil {
		return err
	}
	response.SetBodyRaw(body)
	if length < -1 {
		header.SetContentLength(len(body))
	}
	return nil
}

// readHead reads the head of a response after any interim ones.
func readHead(header *fasthttp.ResponseHeader, r *bufio.Reader, syntax *checker) error {
	for checked := 0; ; {
		head, readErr := r.Peek(max(r.Buffered(), checked+1))
		if len(head) == checked {
			return readErr
		}
		heads := syntax.heads
		n, err := syntax.check(head[checked:])
		if err != nil {
			return err
		}
		if checked += n; syntax.heads == heads {
			continue
		}
		if err := header.Read(r); err != nil || syntax.headDone() {
			return err
		}
		checked = 0
	}
}

// chunkReader reads the chunks and the trailer section of a response, and nothing after them.
type chunkReader struct {
	r      *bufio.Reader
	syntax checker
}

// Read implements io.Reader.
func (c *chunkReader) Read(p []byte) (int, error) {
	if c.syntax.state == end {
		return 0, io.EOF
	}
	if _, err := c.r.Peek(1); err != nil {
		return 0, err
	}
	data, _ := c.r.Peek(min(len(p), c.r.Buffered()))
	n, err := c.syntax.check(data)
	if err != nil {
		return 0, err
	}
	copy(p, data[:n])
	return c.r.Discard(n)
}

// readLong reads a body of more than budget.SmallSize or of unknown length into memory that is
// reserved first.
func readLong(response *fasthttp.Response, r *bufio.Reader, options Options) ([]byte, error) {
	length := response.Header.ContentLength()
	if length >= 0 {
		return ReadBody(r, length, options.MaxBody, options.Reserve)
	}
	response.StreamBody = true
	if err := response.ReadBody(r, 0); err != nil {
		return nil, err
	}
	body, err := ReadBody(response.BodyStream(), length, options.MaxBody, options.Reserve)
	if err != nil {
		return nil, err
	}
	response.StreamBody = false
	return body, nil
}

// ReadBody reads a body of length bytes, or until the end of r if length is negative. Before more
// than budget.SmallSize is read, reserve reserves memory for a size in total: the length, or the next size
// of a buffer that grows with what has arrived. It fails with fasthttp.ErrBodyTooLarge if the body has
// more than most bytes, and with budget.ErrNoMemory if reserve returns false.
func ReadBody(r io.Reader, length, most int, reserve func(size int) bool) ([]byte, error) {
	if length > most {
		return nil, fasthttp.ErrBodyTooLarge
	}
	if length < 0 {
		body, err := budget.ReadUpTo(r, most+1, reserve)
		if err == nil && len(body) > most {
			err = fasthttp.ErrBodyTooLarge
		}
		return body, err
	}
	if length > budget.SmallSize && !reserve(length) {
		return nil, budget.ErrNoMemory
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}
