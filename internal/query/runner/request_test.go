package runner

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/owner/pool"
)

// Guards against kinds that differ with each path, which would be as many as there are
// requests, and against requests of different size or method that count as one kind.
func TestKindOfRequest(t *testing.T) {
	kind := func(method, path string, body int) uint64 {
		r := Request{Path: path, Message: &pool.Message{Head: []byte(method + " " + path + " HTTP/1.1\r\n"), Body: make([]byte, body)}}
		return r.kind()
	}
	require.Equal(t, kind("GET", "/find/1", 0), kind("GET", "/find/2", 0))
	require.Equal(t, kind("POST", "/find/1", 1000), kind("POST", "/find/1", 900))
	kinds := map[uint64]bool{}
	for _, k := range []uint64{
		kind("GET", "/find/1", 0), kind("POST", "/find/1", 0), kind("PUT", "/find/1", 0), kind("GET", "/find/1/all", 0),
		kind("POST", "/find/1", 1000), kind("POST", "/find/1", 100_000), kind("", "", 0),
	} {
		kinds[k] = true
	}
	require.Len(t, kinds, 7)
}
