package strict

import (
	"fmt"
	"log/slog"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/coll"
)

const identifierForm = "1 to 63 of a-z, 0-9, - and _, beginning with a letter or digit"

var identifierPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,62}$`)

// IsIdentifier reports whether Section.Identifier accepts text.
func IsIdentifier(text string) bool {
	return identifierPattern.MatchString(text)
}

// parseValue returns the value of a key as parsed by the function read, which
// reports whether the text is valid. If the key is missing, it returns the
// fallback; without a fallback that is a fault.
func parseValue[T any](s *Section, key string, fallback coll.Option[T], allowed string, read func(text string) (T, bool)) T {
	var zero T
	text, present := s.lookup(key)
	if !present {
		value, ok := fallback.Get()
		if !ok && !s.missing {
			s.Fault(key, "the key is missing", allowed)
		}
		return value
	}
	value, ok := read(text)
	if !ok {
		s.Fault(key, fmt.Sprintf("%q is not allowed", text), allowed)
		return zero
	}
	return value
}

// Int returns the integer value of a key, from lo to hi inclusive.
func (s *Section) Int(key string, fallback coll.Option[int], lo, hi int) int {
	allowed := fmt.Sprintf("a whole number from %d to %d", lo, hi)
	return parseValue(s, key, fallback, allowed, func(text string) (int, bool) {
		n, err := strconv.Atoi(text)
		return n, err == nil && lo <= n && n <= hi
	})
}

// Float returns the decimal value of a key, from lo to hi inclusive.
func (s *Section) Float(key string, fallback coll.Option[float64], lo, hi float64) float64 {
	allowed := fmt.Sprintf("a number from %g to %g", lo, hi)
	return parseValue(s, key, fallback, allowed, func(text string) (float64, bool) {
		n, err := strconv.ParseFloat(text, 64)
		return n, err == nil && lo <= n && n <= hi
	})
}

// Duration returns the duration of a key, written with its unit as in 250ms, from
// lo to hi inclusive.
func (s *Section) Duration(key string, fallback coll.Option[time.Duration], lo, hi time.Duration) time.Duration {
	allowed := fmt.Sprintf("a time with its unit (us, ms, s, m) from %s to %s", lo, hi)
	return parseValue(s, key, fallback, allowed, func(text string) (time.Duration, bool) {
		d, err := time.ParseDuration(text)
		return d, err == nil && lo <= d && d <= hi
	})
}

// Identifier returns the value of a key that consists of 1 to 63 characters a-z,
// 0-9, - and _ and begins with a letter or digit.
func (s *Section) Identifier(key string, fallback coll.Option[string]) string {
	return parseValue(s, key, fallback, identifierForm, func(text string) (string, bool) {
		return text, IsIdentifier(text)
	})
}

// Choice returns the value of a key that must equal one of the choices.
func (s *Section) Choice(key string, fallback coll.Option[string], choices ...string) string {
	return parseValue(s, key, fallback, strings.Join(choices, ", "), func(text string) (string, bool) {
		return text, slices.Contains(choices, text)
	})
}

// Identifiers returns a comma-separated list of at most limit distinct
// identifiers. An empty value is an empty list.
func (s *Section) Identifiers(key string, fallback coll.Option[[]string], limit int) []string {
	allowed := fmt.Sprintf("at most %d different names separated by commas, each %s", limit, identifierForm)
	return parseValue(s, key, fallback, allowed, func(text string) ([]string, bool) {
		list := splitList(text)
		distinct := coll.NewSet(list...)
		ok := len(list) <= limit && len(distinct) == len(list) && !slices.ContainsFunc(list, isNotIdentifier)
		return list, ok
	})
}

// Address returns an IP address with a non-zero port, in canonical form.
func (s *Section) Address(key string, fallback coll.Option[string]) string {
	return parseValue(s, key, fallback, "IP:PORT such as 10.0.0.1:7000", func(text string) (string, bool) {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return "", false
		}
		return address.String(), address.Port() > 0 && isHostAddress(address.Addr())
	})
}

// IP returns an IP address in canonical form.
func (s *Section) IP(key string, fallback coll.Option[string]) string {
	return parseValue(s, key, fallback, "an IP address such as 10.0.0.1", func(text string) (string, bool) {
		ip, err := netip.ParseAddr(text)
		if err != nil {
			return "", false
		}
		return ip.String(), isHostAddress(ip)
	})
}

// URL returns an http URL with a host and without query or fragment. A slash at
// its end is removed.
func (s *Section) URL(key string, fallback coll.Option[string]) string {
	return parseValue(s, key, fallback, "an http URL such as http://10.0.0.1:8000", func(text string) (string, bool) {
		u, err := url.Parse(text)
		ok := err == nil && u.Scheme == "http" && u.Hostname() != "" && u.RawQuery == "" && u.Fragment == ""
		return strings.TrimSuffix(text, "/"), ok
	})
}

// logLevels holds the log levels by name.
var logLevels = map[string]slog.Level{
	"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError,
}

// Level returns a log level. It returns info if the key is missing or invalid.
func (s *Section) Level(key string) slog.Level {
	return logLevels[s.Choice(key, coll.Some("info"), "debug", "info", "warn", "error")]
}

// isHostAddress reports whether ip is the address of a single host: neither
// unspecified nor multicast, and without an IPv6 zone.
func isHostAddress(ip netip.Addr) bool {
	return !ip.IsUnspecified() && !ip.IsMulticast() && ip.Zone() == ""
}

func isNotIdentifier(text string) bool {
	return !IsIdentifier(text)
}

// splitList splits a comma-separated list and trims spaces.
func splitList(text string) []string {
	if strings.TrimSpace(text) == "" {
		return nil
	}
	parts := strings.Split(text, ",")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}
