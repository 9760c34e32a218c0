package client_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/lab/faulty"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/owner/client"
	"github.com/samphirestair/samphirestair/internal/plat/bknd"
)

// Guards against an invalid answer that passes for the answer of the server, or
// whose request counts as not run.
func TestInvalidAnswersAreBroken(t *testing.T) {
	const headers = bknd.HeaderRequest + ": r1\r\n" + bknd.HeaderBoot + ": boot-1\r\n" + bknd.HeaderVersion + ": 3\r\n" + bknd.HeaderShard + ": 1\r\n" + bknd.HeaderNotRun + ": 1\r\n"
	for name, answer := range faulty.Responses(headers, "{}") {
		t.Run(name, func(t *testing.T) {
			address, _ := faulty.Serve(t, func(head string) string {
				if strings.Contains(head, bknd.PathHello) {
					return "HTTP/1.1 204 No Content\r\n" + bknd.HeaderBoot + ": boot-1\r\n\r\n"
				}
				return answer
			})
			c := client.New(client.NewDialer(address, 0, nil), client.Options{})
			defer c.Close()
			result := do(t, c, request(msgs.KindLookup), allow)
			require.Equal(t, client.OutcomeBroken, result.Outcome)
			require.False(t, c.Connected())
		})
	}
}

// Guards against a connection that is used after an invalid hello.
func TestInvalidHelloFails(t *testing.T) {
	for name, hello := range faulty.Responses(bknd.HeaderBoot+": boot-1\r\n", "") {
		t.Run(name, func(t *testing.T) {
			address, _ := faulty.Serve(t, func(string) string { return hello })
			c := client.New(client.NewDialer(address, 0, nil), client.Options{})
			defer c.Close()
			_, _, err := c.Connect(time.Now().Add(testWait))
			require.Error(t, err)
		})
	}
}
