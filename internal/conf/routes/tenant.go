package routes

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// Tenant is a customer whose callers identify themselves by a key.
type Tenant struct {
	Name ident.TenantID
	// Keys are the digests of the keys of the tenant's callers. The keys themselves are not
	// kept, so that no log, dump or message can show them.
	Keys []KeyDigest
	// Rank is the importance of the tenant's requests under overload; 0 is the most important.
	// It takes precedence over the rank of a route.
	Rank int
	// Rate is the number of requests per second that all VMs together serve, and Burst the
	// number that may come at once in addition. A rate of 0 means no limit.
	Rate  float64
	Burst float64
}

// IsLimited reports whether the tenant has a limit on its requests.
func (t *Tenant) IsLimited() bool {
	return t.Rate > 0
}

// Validate returns an error that describes the first invalid field, or nil.
func (t *Tenant) Validate() error {
	switch {
	case !isHeaderValue(string(t.Name)):
		return errors.New("the name is not a header value")
	case t.Rate < 0 || t.Burst < 0:
		return errors.New("the quota is negative")
	}
	return nil
}

// KeyDigest identifies a key without revealing it. Digests are compared instead of keys, so
// that the time of a look-up tells nothing about the keys in force.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key []byte) KeyDigest {
	return sha256.Sum256(key)
}

// Fingerprint returns a short form of the digest for operators.
func (d KeyDigest) Fingerprint() string {
	return hex.EncodeToString(d[:4])
}

// MarshalText implements encoding.TextMarshaler.
func (d KeyDigest) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, d[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	decoded, err := hex.DecodeString(string(text))
	if err != nil || len(decoded) != len(d) {
		return errors.Newf("routes: a digest of a key has to have %d hexadecimal digits", 2*len(d))
	}
	copy(d[:], decoded)
	return nil
}

// HasTenants reports whether there are tenants.
func (t *Table) HasTenants() bool {
	return len(t.config.Tenants) > 0
}

// NeedsKey reports whether requests on a route of this table need the key of a tenant.
func (t *Table) NeedsKey(route *Route) bool {
	return t.HasTenants() && !route.Public
}

// TenantOfKey returns the tenant that holds a key, or nil if there is none.
func (t *Table) TenantOfKey(key []byte) *Tenant {
	return t.TenantOfDigest(DigestKey(key))
}

// TenantOfDigest is like TenantOfKey for the digest of a key.
func (t *Table) TenantOfDigest(digest KeyDigest) *Tenant {
	return t.tenantsByKey[digest]
}

// Tenant returns the tenant with the given name, or nil if there is none.
func (t *Table) Tenant(name ident.TenantID) *Tenant {
	return t.tenants[name]
}

// addTenants fills the indexes of tenants. It fails if a name or a key is used twice, or a name
// is not a valid header value.
func (t *Table) addTenants() error {
	t.tenantsByKey = make(map[KeyDigest]*Tenant, len(t.config.Tenants))
	t.tenants = make(map[ident.TenantID]*Tenant, len(t.config.Tenants))
	for i := range t.config.Tenants {
		tenant := &t.config.Tenants[i]
		if err := tenant.Validate(); err != nil {
			return errors.Wrapf(err, "tenant %q", tenant.Name)
		}
		if t.tenants[tenant.Name] != nil {
			return errors.Newf("tenant %q is listed twice", tenant.Name)
		}
		t.tenants[tenant.Name] = tenant
		for _, key := range tenant.Keys {
			if other := t.tenantsByKey[key]; other != nil && other != tenant {
				return errors.Newf("tenants %q and %q share a key", other.Name, tenant.Name)
			}
			t.tenantsByKey[key] = tenant
		}
	}
	return nil
}

// isHeaderValue reports whether text can be sent as the value of a header unchanged.
func isHeaderValue(text string) bool {
	for _, c := range []byte(text) {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return text != ""
}
