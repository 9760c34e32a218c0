package httpc_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/lab/faulty"
	"github.com/samphirestair/samphirestair/internal/plat/httpc"
)

// Guards against a response without a valid status that passes for one of the store or of
// another VM: 000 read as 200.
func TestResponsesWithoutValidStatusAreNoAnswer(t *testing.T) {
	for name, response := range faulty.Responses("", "body") {
		t.Run(name, func(t *testing.T) {
			address, closed := faulty.Serve(t, func(string) string { return response })
			client, err := httpc.New("http://"+address, httpc.Options{})
			require.NoError(t, err)
			defer client.Close()
			_, err = client.Do(t.Context(), httpc.Call{Method: http.MethodPut, Path: "/key"})
			require.ErrorIs(t, err, httpc.ErrNoAnswer)
			<-closed
		})
	}
}

// Guards against an ordinary response after an interim one, and a second one on the same
// connection, that are taken for invalid.
func TestResponsesOnOneConnection(t *testing.T) {
	address, closed := faulty.Serve(t, func(string) string {
		return "HTTP/1.1 100 Continue\r\nX-A: b\r\n\r\nHTTP/1.1 404 Not Found\r\nContent-Length: 4\r\n\r\nbody"
	})
	client, err := httpc.New("http://"+address, httpc.Options{})
	require.NoError(t, err)
	for range 3 {
		answer, err := client.Do(t.Context(), httpc.Call{Path: "/key"})
		require.NoError(t, err)
		require.Equal(t, http.StatusNotFound, answer.Status)
		require.Equal(t, "body", string(answer.Body))
	}
	require.Empty(t, closed)
	client.Close()
	<-closed
}
