package claim

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// IssuedAt returns the time at which a key was created. The key must be a UUIDv7 in its
// canonical text form.
func IssuedAt(key string) (time.Time, error) {
	id, err := uuid.Parse(key)
	if err != nil {
		return time.Time{}, errors.Wrap(err, "claim: key")
	}
	if id.Version() != 7 || id.String() != key {
		return time.Time{}, errors.Newf("claim: key %q is not a UUIDv7", key)
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec), nil
}

// Digest returns a hash of what an action does. Requests with the same key must have the
// same digest.
func Digest(service, action string, body []byte) uint64 {
	d := xxhash.New()
	for _, part := range []string{service, action} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return d.Sum64()
}
