package caller_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/query/entry"
)

// raw sends text unchanged as a request and returns the status and the body.
func (c *client) raw(t *testing.T, text string) (int, []byte) {
	t.Helper()
	conn, err := c.http.Transport.(*http.Transport).DialContext(t.Context(), "tcp", "vm1:80")
	require.NoError(t, err)
	defer func() { require.NoError(t, conn.Close()) }()
	_, err = conn.Write([]byte(text))
	require.NoError(t, err)
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer func() { require.NoError(t, answer.Body.Close()) }()
	var body json.RawMessage
	require.NoError(t, json.NewDecoder(answer.Body).Decode(&body))
	return answer.StatusCode, body
}

// FuzzRequest checks that each request gets an answer in the format of CALLERS.md,
// and that only well-formed requests are run.
func FuzzRequest(f *testing.F) {
	f.Add("/v1/search/desk", "250", "id", "", `{"limit":3}`)
	f.Add("/v1/lookup/de%2Fsk/k", "", "", "", "")
	f.Add("/v1/action/desk/book", "-1", "é", "01890a5d-ac96-774b-bcce-b302099a8057", "x")
	f.Add("/v1/search/%zz", "1e3", "", "", "[]")
	f.Add("/v1/lookup/s/%00", "9", "", "", "")
	f.Add("/v1/../v1/search//?a=b", "", "", "{", strings.Repeat("x", 1001))
	c := newClient(f)
	f.Fuzz(func(t *testing.T, path, left, id, key, body string) {
		if strings.ContainsAny(path+left+id+key, "\r\n\x00") || strings.ContainsAny(path, " \t") {
			t.Skip("the input is not exactly one request")
		}
		c.runner.request = entry.Request{}
		status, answer := c.raw(t, fmt.Sprintf(
			"POST /%s HTTP/1.1\r\nHost: vm1\r\nConnection: close\r\nX-Deadline-Ms: %s\r\nX-Request-Id: %s\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n\r\n%s",
			strings.TrimPrefix(path, "/"), left, id, key, len(body), body))
		var found struct {
			Outcome string `json:"outcome"`
			Error   struct {
				Code string `json:"code"`
			} `json:"error"`
		}
		require.NoError(t, json.Unmarshal(answer, &found))
		require.Equal(t, status == http.StatusOK, found.Error.Code == "", "%d %s", status, answer)
		if request := c.runner.request; request.Service != "" || request.Action != "" || request.Key != "" || request.Limit != 0 {
			require.Equal(t, http.StatusOK, status)
			require.True(t, request.Deadline.IsZero() || request.Deadline.After(now))
			return
		}
		require.NotEqual(t, http.StatusInternalServerError, status)
	})
}
