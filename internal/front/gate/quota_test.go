package gate_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/routes"
	"github.com/samphirestair/samphirestair/internal/front/gate"
	"github.com/samphirestair/samphirestair/internal/link/detour"
	"github.com/samphirestair/samphirestair/internal/link/grant"
	"github.com/samphirestair/samphirestair/internal/query/relay"
	"github.com/samphirestair/samphirestair/internal/query/runner"
)

// fakeQuota refuses tenants after a number of requests.
type fakeQuota struct {
	left  int
	taken []ident.TenantID
}

func (q *fakeQuota) Take(tenant *routes.Tenant) grant.Decision {
	if tenant == nil {
		return grant.Decision{Granted: true}
	}
	q.taken = append(q.taken, tenant.Name)
	if q.left == 0 {
		return grant.Decision{RetryAfter: 1234 * time.Millisecond, Reason: "over"}
	}
	q.left--
	return grant.Decision{Granted: true}
}

func (q *fakeQuota) GiveBack(tenant *routes.Tenant) {
	if tenant != nil {
		q.left++
	}
}

const chargedRequest = "GET /one/ HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Token " + validKey + "\r\n\r\n"

// Guards against requests that run although the quota is used up, and against a charge that is
// lost for a request that never ran, or given back for one that did.
func TestQuotaIsChargedOnce(t *testing.T) {
	for name, test := range map[string]struct {
		answer runner.Answer
		left   int
	}{
		"failed":             {runner.Answer{Outcome: relay.Outcome{Verdict: relay.Failed}}, 0},
		"not admitted":       {runner.Answer{Outcome: relay.Outcome{Verdict: relay.Refused}, Unsent: true}, 1},
		"nothing sent":       {runner.Answer{Outcome: relay.Outcome{Verdict: relay.Refused, NothingSent: true}}, 1},
		"refused by servers": {runner.Answer{Outcome: relay.Outcome{Verdict: relay.Refused}}, 0},
		"detoured, unsent":   {runner.Answer{Outcome: relay.Outcome{Verdict: relay.Success}, Unsent: true}, 1},
		"caller has left":    {runner.Answer{Gone: true}, 0},
	} {
		fake := newTenantTier(t)
		fake.answer = func(runner.Request) runner.Answer { return test.answer }
		bucket := &fakeQuota{left: 1}
		send(t, newGate(fake, func(d *gate.Deps) { d.Quota = bucket }), chargedRequest)
		require.Equal(t, test.left, bucket.left, name)
		require.Len(t, fake.requests, 1, name)
	}
	fake := newTenantTier(t)
	response := send(t, newGate(fake, func(d *gate.Deps) { d.Quota = &fakeQuota{} }), chargedRequest)
	require.Equal(t, fasthttp.StatusTooManyRequests, response.StatusCode())
	require.Equal(t, "1.234", string(response.Header.Peek(fasthttp.HeaderRetryAfter)))
	require.Empty(t, fake.requests)
}

// Guards against a second charge at the VM that runs a detoured request.
func TestDetouredRequestIsNotCharged(t *testing.T) {
	fake := newTenantTier(t)
	fake.answer = func(runner.Request) runner.Answer {
		return runner.Answer{Outcome: relay.Outcome{Verdict: relay.Refused, NothingSent: true}}
	}
	bucket := &fakeQuota{}
	g := newGate(fake, func(d *gate.Deps) { d.Quota = bucket })
	order := detour.Order{Host: "desk.example", Path: "/one/", Version: 3, Tenant: "north", Key: digestOf(validKey), Head: []byte("GET /one/ HTTP/1.1\r\n")}
	body, err := order.MarshalMsg(nil)
	require.NoError(t, err)
	var response fasthttp.Response
	ask(t, g.RunDetour, body, &response)
	require.Empty(t, bucket.taken)
	var answer detour.Answer
	_, err = answer.UnmarshalMsg(response.Body())
	require.NoError(t, err)
	require.True(t, answer.Unsent)
}
