// Package poison finds requests that end the backend servers that run them ("queries of
// death") and keeps them from running again. Ledger holds the evidence and decides; it has
// no sockets and no clock.
package poison

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"strings"

	"github.com/cockroachdb/errors"
)

// fingerprintSize is the size of a Fingerprint in bytes.
const fingerprintSize = 16

// Fingerprint identifies what a request asks for: its method, host, target, body and caller.
// Repeats of a request have the same fingerprint although their request ids differ. It can't
// be forged: another request with the same fingerprint can't be found.
type Fingerprint [fingerprintSize]byte

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f[:])
}

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) {
	return []byte(f.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) (err error) {
	*f, err = ParseFingerprint(string(text))
	return err
}

// ParseFingerprint is the inverse of Fingerprint.String.
func ParseFingerprint(text string) (Fingerprint, error) {
	var f Fingerprint
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != fingerprintSize {
		return f, errors.Newf("poison: %q is not a fingerprint of %d hexadecimal digits", text, 2*fingerprintSize)
	}
	copy(f[:], decoded)
	return f, nil
}

// Identity says which headers of a request are part of its fingerprint, besides Host. Others
// may differ between repeats, such as those of tracing. The names are in lower case.
type Identity []string

// NewIdentity returns an identity for headers that tell callers apart.
func NewIdentity(headers []string) Identity {
	identity := Identity{"host"}
	for _, name := range headers {
		identity = append(identity, strings.ToLower(name))
	}
	return identity
}

// Of returns the fingerprint of a request. head holds its request line and headers, each
// terminated by CRLF.
func (i Identity) Of(head, body []byte) Fingerprint {
	digest := sha256.New()
	line, headers, _ := bytes.Cut(head, []byte("\r\n"))
	write(digest, line)
	for _, name := range i {
		for header := range bytes.Lines(headers) {
			key, value, _ := bytes.Cut(header, []byte(":"))
			if bytes.EqualFold(key, []byte(name)) {
				write(digest, []byte(name))
				write(digest, bytes.TrimSpace(value))
			}
		}
	}
	write(digest, body)
	var f Fingerprint
	copy(f[:], digest.Sum(nil))
	return f
}

// write adds a field with its length, so that fields can't run into each other.
func write(digest hash.Hash, field []byte) {
	// A hash never returns an error.
	_, _ = digest.Write(binary.AppendUvarint(nil, uint64(len(field))))
	_, _ = digest.Write(field)
}
