package client

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/budget"
	"github.com/samphirestair/samphirestair/internal/base/reply"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
)

const (
	// decodingCopies is the number of copies of the body of an answer to a search while it is
	// decoded: the body, that of the parser, and the documents.
	decodingCopies = 3
	// passingCopies is the number of copies of an answer while it is passed on: the answer, and its
	// encoding for another VM or for the caller.
	passingCopies = 2
)

// answer is the body of an answer, and the memory that is held for it.
type answer struct {
	budget *budget.Budget
	body   []byte
	// held is nil for a short answer.
	held *budget.Holder
	// waited is the time for which the answer waited for memory of this process.
	waited time.Duration
}

// heldUp reports whether the answer had to wait for memory of this process.
func (a *answer) heldUp() bool {
	return a.waited > budget.PromptTime
}

// exchange sends the client's HTTP request and reads the answer, whose headers are in c.resp.
func (c *Client) exchange(deadline time.Time) (answer, error) {
	a := answer{budget: c.options.Budget}
	err := c.httpClient.DoDeadline(c.req, c.resp, deadline)
	if stream := c.resp.BodyStream(); err == nil && stream != nil {
		a.body, err = a.read(stream, c.resp.Header.ContentLength(), c.options.MaxBody, deadline)
	}
	// The connection is closed if the body was not read to its end.
	return a, errors.CombineErrors(err, c.resp.CloseBodyStream())
}

// reserve reserves memory for size bytes in total.
func (a *answer) reserve(size int, deadline time.Time) bool {
	if a.held == nil {
		a.held = a.budget.NewHolder(nil)
	}
	began := time.Now()
	ok := a.held.Reserve(budget.Answer, size, deadline)
	a.waited += time.Since(began)
	return ok
}

// read reads a body with the announced length, or a negative one, into memory that is reserved
// first.
func (a *answer) read(stream io.Reader, length, maxBody int, deadline time.Time) ([]byte, error) {
	body, err := reply.ReadBody(stream, length, maxBody, func(size int) bool { return a.reserve(passingCopies*size, deadline) })
	if err != nil || length < 0 {
		return body, err
	}
	// The connection can be reused once the stream has reported the end.
	if _, err := stream.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		return nil, errors.CombineErrors(fasthttp.ErrBodyTooLarge, err)
	}
	return body, nil
}

// reserveDecoding reserves the memory for decoding the body, unless it is short.
func (a *answer) reserveDecoding(deadline time.Time) error {
	if len(a.body) > budget.SmallSize && !a.reserve(decodingCopies*len(a.body)+budget.SizeOfValues(a.body), deadline) {
		return budget.ErrNoMemory
	}
	return nil
}

// hold makes the result hold the memory that it needs while it is passed on. It releases the
// memory if the result has neither hits nor a body.
func (r *Result) hold(held *budget.Holder) {
	size := len(r.Body) + msgs.SizeOfHits(r.Hits)
	if size <= budget.SmallSize {
		held.Release()
		return
	}
	held.Set(budget.Answer, passingCopies*size)
	r.Held = held
}
