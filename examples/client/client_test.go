package client_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/examples/client"
)

// fakeVM is a fake VM that serves an address list and gives its answers in order. The
// last answer repeats; an empty one breaks the connection.
type fakeVM struct {
	address         string
	list            []string
	moveOn          bool
	answers         []string
	addressRequests int
	keys            []string
}

func startVM(t *testing.T, answers ...string) *fakeVM {
	t.Helper()
	v := &fakeVM{answers: answers}
	server := httptest.NewServer(v)
	t.Cleanup(server.Close)
	v.address = strings.TrimPrefix(server.URL, "http://")
	v.list = []string{v.address}
	return v
}

func (v *fakeVM) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if v.moveOn {
		w.Header().Set("X-Move-On", "1")
	}
	if r.URL.Path == "/v1/addresses" {
		v.addressRequests++
		_, _ = fmt.Fprintf(w, `{"addresses":["%s"],"lifetime_ms":60000}`, strings.Join(v.list, `","`))
		return
	}
	v.keys = append(v.keys, r.Header.Get("Idempotency-Key"))
	answer := v.answers[min(len(v.keys), len(v.answers))-1]
	if answer == "" {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprint(w, answer)
}

var request = client.Request{Path: "/v1/action/desk/book", Headers: map[string]string{"Idempotency-Key": "k"}}

func do(t *testing.T, c *client.Client) *client.Answer {
	t.Helper()
	answer, err := c.Do(request, time.Now().Add(time.Minute))
	require.NoError(t, err)
	return answer
}

func TestAddressListIsFetchedOnceAndUsed(t *testing.T) {
	first, second := startVM(t, ""), startVM(t, `{"outcome":"done"}`)
	first.list = []string{second.address}
	c := client.New(first.address)
	require.Equal(t, "done", do(t, c).Outcome)
	require.Equal(t, "done", do(t, c).Outcome)
	require.Equal(t, 1, first.addressRequests)
	require.Empty(t, first.keys)
}

func TestRefusedRequestIsRetriedWithItsKey(t *testing.T) {
	v := startVM(t, `{"outcome":"not run","retry_after_ms":1}`, `{"outcome":"done"}`)
	require.Equal(t, "done", do(t, client.New(v.address)).Outcome)
	require.Equal(t, []string{"k", "k"}, v.keys)
}

func TestRefusalBeyondTheDeadlineIsReturned(t *testing.T) {
	v := startVM(t, `{"outcome":"not run","retry_after_ms":3600000}`)
	require.True(t, do(t, client.New(v.address)).Refused())
	require.Len(t, v.keys, 1)
}

func TestFailedConnectionTriesNextAddress(t *testing.T) {
	broken, good := startVM(t, ""), startVM(t, `{"outcome":"done"}`)
	broken.list = []string{broken.address, good.address}
	c := client.New(broken.address)
	require.Equal(t, "done", do(t, c).Outcome)
	require.Equal(t, "done", do(t, c).Outcome)
	require.Equal(t, 2, broken.addressRequests, "the address list is fetched again after a failure")
}

func TestMoveOnExpiresAddressList(t *testing.T) {
	v := startVM(t, `{"outcome":"full"}`)
	v.moveOn = true
	c := client.New(v.address)
	do(t, c)
	do(t, c)
	require.Equal(t, 2, v.addressRequests)
}
