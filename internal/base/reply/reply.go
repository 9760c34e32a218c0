// Package reply reads HTTP responses of backend servers and of other VMs.
package reply

import (
	"bufio"
	"io"

	"github.com/cockroachdb/errors"
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
// of their own, which stays valid after the response was released.
func Read(response *fasthttp.Response, r *bufio.Reader, options Options) error {
	header := &response.Header
	if err := readHead(header, r); err != nil {
		return err
	}
	if options.NoBody || isBodiless(header.StatusCode()) {
		if header.StatusCode() == fasthttp.StatusNoContent && header.ContentLength() > 0 {
			return ErrInvalid
		}
		response.SkipBody = true
		return nil
	}
	length := header.ContentLength()
	if length >= 0 && length <= budget.SmallSize {
		return response.ReadBody(r, options.MaxBody)
	}
	if length > options.MaxBody {
		return fasthttp.ErrBodyTooLarge
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
func readHead(header *fasthttp.ResponseHeader, r *bufio.Reader) error {
	for range maxInterim + 1 {
		line, err := r.Peek(statusLineLength)
		for position, b := range line {
			if !isStatusByte(position, b) {
				return ErrInvalid
			}
		}
		if err != nil {
			return err
		}
		status := statusOf(line)
		if err := header.Read(r); err != nil {
			return err
		}
		if status >= 200 {
			return nil
		}
		if status == fasthttp.StatusSwitchingProtocols {
			return ErrInvalid
		}
	}
	return errors.Wrap(ErrInvalid, "too many interim responses")
}

// isBodiless reports whether responses with a status have no body.
func isBodiless(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// readLong reads a body of more than budget.SmallSize or of unknown length into memory that is
// reserved first.
func readLong(response *fasthttp.Response, r *bufio.Reader, options Options) ([]byte, error) {
	length := response.Header.ContentLength()
	if length >= 0 {
		if !options.Reserve(length) {
			return nil, budget.ErrNoMemory
		}
		body := make([]byte, length)
		_, err := io.ReadFull(r, body)
		return body, err
	}
	response.StreamBody = true
	if err := response.ReadBody(r, 0); err != nil {
		return nil, err
	}
	body, err := budget.ReadUpTo(response.BodyStream(), options.MaxBody+1, options.Reserve)
	if err != nil {
		return nil, err
	}
	if len(body) > options.MaxBody {
		return nil, fasthttp.ErrBodyTooLarge
	}
	response.StreamBody = false
	return body, nil
}
