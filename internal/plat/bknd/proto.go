// Package bknd defines the HTTP protocol of backend servers. A search, lookup or
// action occupies one slot of the server until it is answered,
// cancelled, or past its deadline.
package bknd

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// Paths of a backend server.
const (
	// PathQuery runs a search on one shard. POST; the body is the caller's
	// query. The answer is {"hits":[{"id":ID,"score":NUMBER,"doc":VALUE}]}.
	PathQuery = "/v1/query"
	// PathLookup reads one key of one shard. POST; the answer is opaque.
	PathLookup = "/v1/lookup"
	// PathAction runs an action on one shard. POST; the answer is opaque.
	PathAction = "/v1/action"
	// PathCancel cancels the request named by HeaderRequest. POST; answers 204
	// once the request occupies no slot. A cancelled request is itself answered
	// with StatusCancelled.
	PathCancel = "/v1/cancel"
	// PathHello answers 204 with HeaderBoot and HeaderMaps and occupies no slot.
	PathHello = "/v1/hello"
	// PathHealth and PathLoad report the health and load that the server claims.
	// The claims may be outdated or wrong.
	PathHealth = "/v1/health"
	PathLoad   = "/v1/load"
)

// FieldState is the member of the JSON object at PathHealth that holds the
// claimed state.
const FieldState = "state"

// StateDraining is the state of a server that is shutting down and refuses new
// requests.
const StateDraining = "draining"

// Headers of requests and answers.
const (
	// HeaderRequest is the ID of the request; the answer repeats it.
	HeaderRequest = "X-Request-Id"
	// HeaderVersion is, in a request, the index version to use, and in an answer the
	// one that was used.
	HeaderVersion = "X-Index-Version"
	// HeaderShard is the number of the shard within that version.
	HeaderShard = "X-Shard"
	// HeaderDeadline is the time left until the deadline, in microseconds.
	HeaderDeadline = "X-Deadline-Micros"
	// HeaderAction is the name of an action. HeaderKey is the idempotency key of an
	// action, or the key of a lookup.
	HeaderAction = "X-Action"
	HeaderKey    = "X-Key"
	// HeaderBoot identifies the process of the server; it changes at a restart.
	// Every answer contains it.
	HeaderBoot = "X-Boot-Id"
	// HeaderMaps lists the shards that the server holds, in the format of
	// FormatMaps. Every answer contains it.
	HeaderMaps = "X-Index-Maps"
	// HeaderNotRun is "1" in the answer to a request that was not run.
	HeaderNotRun = "X-Not-Run"
)

// Statuses of answers to searches, lookups and actions, besides 200.
const (
	// StatusWrongVersion means that the server does not hold the shard in that
	// version; not run.
	StatusWrongVersion = 409
	// StatusCancelled answers a cancelled request.
	StatusCancelled = 499
	// StatusShed means that the server refused the request; not run.
	StatusShed = 503
	// StatusDeadline means that the deadline passed.
	StatusDeadline = 504
)

// maxMaps is the maximum number of index versions that a server may list.
const maxMaps = 16

// Map says that a server holds one shard of one index version.
type Map struct {
	Version ident.Version
	Shard   ident.Shard
	// Shards is the number of shards in that version.
	Shards uint32
}

// FormatMaps formats maps as "VERSION=SHARD/SHARDS" joined by commas.
func FormatMaps(maps []Map) string {
	parts := make([]string, len(maps))
	for i, m := range maps {
		parts[i] = fmt.Sprintf("%d=%d/%d", m.Version, m.Shard, m.Shards)
	}
	return strings.Join(parts, ",")
}

// ParseMaps parses the value of HeaderMaps. An empty text gives no maps.
func ParseMaps(text string) ([]Map, error) {
	if text == "" {
		return nil, nil
	}
	parts := strings.Split(text, ",")
	if len(parts) > maxMaps {
		return nil, errors.Newf("bknd: %d index versions, at most %d allowed", len(parts), maxMaps)
	}
	maps := make([]Map, 0, len(parts))
	for _, part := range parts {
		m, err := parseMap(part)
		if err != nil {
			return nil, err
		}
		maps = append(maps, m)
	}
	return maps, nil
}

func parseMap(text string) (Map, error) {
	version, place, ok := strings.Cut(text, "=")
	shard, shards, ok2 := strings.Cut(place, "/")
	if !ok || !ok2 {
		return Map{}, errors.Newf("bknd: index map %q is not VERSION=SHARD/SHARDS", text)
	}
	v, err := strconv.ParseUint(version, 10, 64)
	if err != nil {
		return Map{}, errors.Wrapf(err, "bknd: index map %q", text)
	}
	s, err := strconv.ParseUint(shard, 10, 32)
	if err != nil {
		return Map{}, errors.Wrapf(err, "bknd: index map %q", text)
	}
	n, err := strconv.ParseUint(shards, 10, 32)
	if err != nil {
		return Map{}, errors.Wrapf(err, "bknd: index map %q", text)
	}
	if v == 0 || s >= n {
		return Map{}, errors.Newf("bknd: index map %q is out of range", text)
	}
	return Map{Version: ident.Version(v), Shard: ident.Shard(s), Shards: uint32(n)}, nil
}
