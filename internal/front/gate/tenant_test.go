package gate_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/conf/routes"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
	"github.com/samphirestair/samphirestair/internal/link/detour"
)

const (
	validKey   = "k3y-of-north"
	unknownKey = "k3y-of-nobody"
)

// newTenantTier returns a tier whose configuration has the tenant "north" and a public route.
func newTenantTier(t *testing.T) *fakeTier {
	t.Helper()
	fake := newFakeTier(t)
	config := *fake.view.Table.Config()
	config.Tenants = []routes.Tenant{
		{Name: "north", Keys: []routes.KeyDigest{routes.DigestKey([]byte(validKey))}, Rank: 1, Rate: 5, Burst: 5},
		{Name: "south", Keys: []routes.KeyDigest{routes.DigestKey([]byte("k3y-of-south"))}},
	}
	public := config.Routes[0]
	public.Name, public.Prefix, public.Public = "open", "/open/", true
	config.Routes = append(config.Routes, public)
	table, err := routes.NewTable(&config)
	require.NoError(t, err)
	fake.view = roster.NewView(table, nil, fake.view.Members, nil)
	return fake
}

// Guards against requests that run for a tenant without its key, and against a 401 for a key
// that a newer configuration may hold.
func TestKeyOfATenantIsRequired(t *testing.T) {
	fake := newTenantTier(t)
	for name, test := range map[string]struct {
		path, headers string
		age           time.Duration
		want          int
		tenant        string
	}{
		"valid key":              {"/one/", "Authorization: Token " + validKey, 0, fasthttp.StatusCreated, "north"},
		"other spelling":         {"/one/", "aUTHORIZATION: token   " + validKey, 0, fasthttp.StatusCreated, "north"},
		"no key":                 {"/one/", "X-Other: 1", 0, fasthttp.StatusUnauthorized, ""},
		"unknown key":            {"/one/", "Authorization: Token " + unknownKey, 0, fasthttp.StatusUnauthorized, ""},
		"other scheme":           {"/one/", "Authorization: Bearer " + validKey, 0, fasthttp.StatusUnauthorized, ""},
		"two keys":               {"/one/", "Authorization: Token " + validKey + "\r\nauthorization: Token " + unknownKey, 0, fasthttp.StatusUnauthorized, ""},
		"name of a tenant":       {"/one/", "X-Tenant: north", 0, fasthttp.StatusUnauthorized, ""},
		"search":                 {"/all/", "X-Other: 1", 0, fasthttp.StatusUnauthorized, ""},
		"unknown key, old view":  {"/one/", "Authorization: Token " + unknownKey, time.Minute, fasthttp.StatusServiceUnavailable, ""},
		"public":                 {"/open/", "X-Other: 1", 0, fasthttp.StatusCreated, ""},
		"public with a key":      {"/open/", "Authorization: Token " + validKey, 0, fasthttp.StatusCreated, "north"},
		"public, unknown key":    {"/open/", "Authorization: Token " + unknownKey, 0, fasthttp.StatusCreated, ""},
		"unknown route and key":  {"/two/", "Authorization: Token " + unknownKey, 0, fasthttp.StatusNotFound, ""},
		"empty key":              {"/one/", "Authorization: Token ", 0, fasthttp.StatusUnauthorized, ""},
		"digest instead of key":  {"/one/", "Authorization: Token " + routes.DigestKey([]byte(validKey)).Fingerprint(), 0, fasthttp.StatusUnauthorized, ""},
		"key in the query alone": {"/one/?key=" + validKey, "X-Other: 1", 0, fasthttp.StatusUnauthorized, ""},
	} {
		fake.confirmedAt = time.Now().Add(-test.age)
		response := send(t, newGate(fake), "GET "+test.path+" HTTP/1.1\r\nHost: desk.example\r\n"+test.headers+"\r\n\r\n")
		require.Equal(t, test.want, response.StatusCode(), name)
		if test.want != fasthttp.StatusCreated {
			require.Empty(t, fake.requests, name)
			continue
		}
		request := <-fake.requests
		if test.tenant == "" {
			require.Nil(t, request.Tenant, name)
			require.NotContains(t, strings.ToLower(string(request.Message.Head)), "x-tenant", name)
		} else {
			require.EqualValues(t, test.tenant, request.Tenant.Name, name)
		}
	}
}

// Guards against backend servers that see a key, or the name of a tenant that the caller chose:
// in any spelling, repeated, or as a trailer.
func TestBackendServersGetTheTenantInsteadOfTheKey(t *testing.T) {
	fake := newTenantTier(t)
	for name, raw := range map[string]string{
		"spellings": "POST /one/ HTTP/1.1\r\nHost: desk.example\r\nx-tenant: south\r\nX-TENANT: south\r\nX-Tenant: \r\nauthorization: Token " + validKey +
			"\r\nContent-Length: 0\r\n\r\n",
		"hop-by-hop": "POST /one/ HTTP/1.1\r\nHost: desk.example\r\nConnection: X-Tenant\r\nX-Tenant: south\r\nAuthorization: Token " + validKey +
			"\r\nContent-Length: 0\r\n\r\n",
		"trailer": "POST /one/ HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Token " + validKey +
			"\r\nTransfer-Encoding: chunked\r\nTrailer: X-Tenant\r\n\r\n1\r\na\r\n0\r\nX-Tenant: south\r\n\r\n",
	} {
		response := send(t, newGate(fake), raw)
		require.Equal(t, fasthttp.StatusCreated, response.StatusCode(), name)
		head := string((<-fake.requests).Message.Head)
		require.Equal(t, 1, strings.Count(strings.ToLower(head), "tenant"), "%s: %s", name, head)
		require.Contains(t, head, "X-Tenant: north\r\n", name)
		require.NotContains(t, head, validKey, name)
		require.NotContains(t, strings.ToLower(head), "authorization", name)
	}
}

// Without tenants in the configuration, both headers belong to callers and backend servers.
func TestHeadersPassWithoutTenants(t *testing.T) {
	fake := newFakeTier(t)
	response := send(t, newGate(fake), "GET /one/ HTTP/1.1\r\nHost: desk.example\r\nX-Tenant: south\r\nAuthorization: Token "+validKey+"\r\n\r\n")
	require.Equal(t, fasthttp.StatusCreated, response.StatusCode())
	head := string((<-fake.requests).Message.Head)
	require.Contains(t, head, "X-Tenant: south\r\n")
	require.Contains(t, head, validKey)
}

// digestOf returns the digest of a key as orders of other VMs contain it.
func digestOf(key string) []byte {
	digest := routes.DigestKey([]byte(key))
	return digest[:]
}

// Guards against requests of VMs with an older configuration, whose key this VM's configuration does
// not hold any more: they ran with the services of the new configuration, which no configuration
// allows with that key.
func TestRequestOfAnotherVMNeedsAKeyInForce(t *testing.T) {
	for name, test := range map[string]struct {
		order detour.Order
		runs  bool
	}{
		"key in force":           {detour.Order{Path: "/one/", Tenant: "north", Key: digestOf(validKey)}, true},
		"removed key":            {detour.Order{Path: "/one/", Tenant: "north", Key: digestOf("k3y-of-yesterday")}, false},
		"key of another tenant":  {detour.Order{Path: "/one/", Tenant: "south", Key: digestOf(validKey)}, false},
		"no key":                 {detour.Order{Path: "/one/", Tenant: "north"}, false},
		"not authenticated":      {detour.Order{Path: "/one/"}, false},
		"public":                 {detour.Order{Path: "/open/"}, true},
		"public, other version":  {detour.Order{Path: "/open/", Version: 2}, false},
		"public with a key":      {detour.Order{Path: "/open/", Tenant: "north", Key: digestOf(validKey)}, true},
		"public, unknown tenant": {detour.Order{Path: "/open/", Tenant: "west", Key: digestOf(unknownKey)}, false},
	} {
		fake := newTenantTier(t)
		order := test.order
		order.Host, order.Head = "desk.example", []byte("GET /one/ HTTP/1.1\r\n")
		if order.Version == 0 {
			order.Version = 3
		}
		body, err := order.MarshalMsg(nil)
		require.NoError(t, err)
		var response fasthttp.Response
		ask(t, newGate(fake).RunDetour, body, &response)
		if test.runs {
			require.Len(t, fake.requests, 1, name)
		} else {
			require.Empty(t, fake.requests, name)
			require.Equal(t, fasthttp.StatusConflict, response.StatusCode(), name)
		}
	}
}
