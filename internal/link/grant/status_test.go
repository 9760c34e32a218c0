package grant_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/lab/faulty"
	"github.com/samphirestair/samphirestair/internal/link/grant"
	"github.com/samphirestair/samphirestair/internal/query/quota"
)

// Guards against an invalid response that passes for the reply of a quota owner,
// whose tokens are then used and whose stamp leases shares: 000 read as 200.
func TestInvalidResponsesAreNoReplies(t *testing.T) {
	body, err := (&quota.Reply{Boot: 1, Stamp: 2, Grants: []quota.Grant{{Count: 3}}}).MarshalMsg(nil)
	require.NoError(t, err)
	for name, response := range faulty.Responses("", string(body)) {
		t.Run(name, func(t *testing.T) {
			address, _ := faulty.Serve(t, func(string) string { return response })
			_, err := grant.NewClient().Exchange(address, &quota.Order{VM: "a"}, 5*time.Second)
			require.Error(t, err)
		})
	}
}
