package gate

import (
	"bytes"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/conf/routes"
	"github.com/samphirestair/samphirestair/internal/link/detour"
)

// keyScheme is the authentication scheme of the Authorization header.
const keyScheme = "Token"

// authenticate returns the tenant that holds the key of a request and the digest of the key. tenant
// is nil if the configuration has no tenants, or the route is public and the request has no valid
// key. ok is false if the route needs a key and the request has none that is in force.
func authenticate(table *routes.Table, route *routes.Route, header *fasthttp.RequestHeader) (tenant *routes.Tenant, digest routes.KeyDigest, ok bool) {
	if !table.HasTenants() {
		return nil, digest, true
	}
	if key := findKey(header); key != nil {
		digest = routes.DigestKey(key)
		tenant = table.TenantOfDigest(digest)
	}
	return tenant, digest, tenant != nil || !table.NeedsKey(route)
}

// authenticateOrder is like authenticate for a request that another VM has authenticated with a
// configuration that may be older: no configuration may allow the key together with the services
// that this VM's configuration names. The head of the order names its tenant already, and contains
// the caller's headers as they are if the other VM's configuration has no tenants.
func authenticateOrder(table *routes.Table, route *routes.Route, order *detour.Order) (tenant *routes.Tenant, digest routes.KeyDigest, ok bool) {
	if !table.HasTenants() {
		return nil, digest, order.Tenant == ""
	}
	if order.Tenant == "" {
		return nil, digest, !table.NeedsKey(route) && order.Version == uint64(table.Config().Version)
	}
	if len(order.Key) != len(digest) {
		return nil, digest, false
	}
	copy(digest[:], order.Key)
	tenant = table.TenantOfDigest(digest)
	return tenant, digest, tenant != nil && string(tenant.Name) == order.Tenant
}

// findKey returns the key of a request, or nil if it has none. A request with several
// Authorization headers has none: implementations differ in which of them they use.
func findKey(header *fasthttp.RequestHeader) []byte {
	var credentials []byte
	found := 0
	for name, value := range header.All() {
		if bytes.EqualFold(bytes.TrimSpace(name), []byte(fasthttp.HeaderAuthorization)) {
			credentials = value
			found++
		}
	}
	if found != 1 {
		return nil
	}
	scheme, key, _ := bytes.Cut(bytes.TrimSpace(credentials), []byte(" "))
	if key = bytes.TrimSpace(key); len(key) == 0 || !bytes.EqualFold(scheme, []byte(keyScheme)) {
		return nil
	}
	return key
}

// unknownKey answers a request without a key that is in force: with 401, or with 503 and a time
// to retry while the configuration may be out of date.
func (g *Gate) unknownKey(ctx *fasthttp.RequestCtx, id string, now time.Time) {
	if age, known := g.deps.Views.Age(now); !known || age > staleConfigAge {
		g.refuse(ctx, id, "unknown key, and the configuration was last confirmed "+age.String()+" ago", retryDelay)
		return
	}
	g.reject(ctx, id, fasthttp.StatusUnauthorized, "the key is unknown or missing")
}
