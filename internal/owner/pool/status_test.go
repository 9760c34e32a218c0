package pool_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/lab/faulty"
	"github.com/samphirestair/samphirestair/internal/owner/pool"
)

// Guards against an invalid answer that is passed on, as 000 was, or whose request
// counts as not run.
func TestInvalidAnswersAreBroken(t *testing.T) {
	for name, answer := range faulty.Responses("X-Request-Id: r1\r\nX-Signature: s\r\nX-Not-Run: 1\r\n", "body") {
		t.Run(name, func(t *testing.T) {
			address, closed := faulty.Serve(t, func(string) string { return answer })
			r := send(t, newPool(t), pool.Target{ID: "i-1", Address: address, Connections: 1}, "r1", nil)
			require.Equal(t, pool.Broken, r.Outcome)
			require.Nil(t, r.Response)
			await(t, closed)
		})
	}
}

// Guards against bytes after an answer without a body that pass for the answer to the next
// request.
func TestConnectionIsClosedAfterBodyOfBodilessAnswer(t *testing.T) {
	address, closed := faulty.Serve(t, func(string) string {
		return "HTTP/1.1 304 Not Modified\r\nX-Request-Id: r1\r\nContent-Length: 4\r\n\r\nbody"
	})
	r := send(t, newPool(t), pool.Target{ID: "i-1", Address: address, Connections: 1}, "r1", nil)
	defer r.Release()
	require.Equal(t, pool.Answered, r.Outcome)
	require.Empty(t, r.Response.Body())
	await(t, closed)
}
