package poison_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/query/poison"
)

func ExampleIdentity_Of() {
	identity := poison.NewIdentity([]string{"Authorization"})
	first := identity.Of([]byte("GET /find?q=sofa HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: 1\r\n"), nil)
	repeat := identity.Of([]byte("GET /find?q=sofa HTTP/1.1\r\nTraceparent: 00-ab\r\nhost:desk.example\r\nX-Request-Id: 2\r\n"), nil)
	other := identity.Of([]byte("GET /find?q=bed HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: 1\r\n"), nil)
	fmt.Println(first == repeat, first == other)
	// Output: true false
}

func TestFingerprintsOfDifferentRequestsDiffer(t *testing.T) {
	identity := poison.NewIdentity([]string{"Authorization", "X-Api-Key"})
	seen := map[poison.Fingerprint]string{}
	for _, c := range []struct{ head, body string }{
		{"GET /a HTTP/1.1\r\nHost: x\r\n", ""},
		{"GET /a HTTP/1.1\r\nHost: y\r\n", ""},
		{"POST /a HTTP/1.1\r\nHost: x\r\n", ""},
		{"GET /a?b HTTP/1.1\r\nHost: x\r\n", ""},
		{"GET /a HTTP/1.1\r\nHost: x\r\n", "body"},
		{"GET /a HTTP/1.1\r\nHost: x\r\nAuthorization: c1\r\n", ""},
		{"GET /a HTTP/1.1\r\nHost: x\r\nAuthorization: c2\r\n", ""},
		{"GET /a HTTP/1.1\r\nHost: x\r\nX-Api-Key: c1\r\n", ""},
		{"GET /a HTTP/1.1\r\nHost: x\r\nAuthorization: c1\r\nAuthorization: c2\r\n", ""},
	} {
		f := identity.Of([]byte(c.head), []byte(c.body))
		require.NotContains(t, seen, f, "%q", c.head)
		seen[f] = c.head
	}
}

func TestParseFingerprint(t *testing.T) {
	f := poison.NewIdentity(nil).Of([]byte("GET / HTTP/1.1\r\n"), nil)
	parsed, err := poison.ParseFingerprint(f.String())
	require.NoError(t, err)
	require.Equal(t, f, parsed)
	for _, text := range []string{"", "xy", f.String() + "00", f.String()[2:]} {
		_, err := poison.ParseFingerprint(text)
		require.Error(t, err, text)
	}
}
