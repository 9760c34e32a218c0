package roster_test

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/routes"
	"github.com/samphirestair/samphirestair/internal/fleet/roll"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
)

// jsonDecoder decodes values that hold this package's own types as JSON.
type jsonDecoder struct{}

func (jsonDecoder) ParseKey(key string) (roster.Kind, string) {
	kind, name, _ := strings.Cut(key, ":")
	switch kind {
	case "config":
		return roster.KindConfig, name
	case "server":
		return roster.KindServer, name
	case "out":
		return roster.KindZoneOut, name
	case "rollout":
		return roster.KindRollout, name
	default:
		return roster.KindOther, name
	}
}

func (jsonDecoder) Server(id string, value []byte) (roster.Server, error) {
	var s roster.Server
	err := json.Unmarshal(value, &s)
	s.ID = ident.ServerID(id)
	return s, err
}

func (jsonDecoder) Config(value []byte) (*routes.Config, error) {
	var version ident.Version
	if err := json.Unmarshal(value, &version); err != nil {
		return nil, err
	}
	return &routes.Config{Version: version, Routes: []routes.Route{{
		Name: "search", Host: "desk.example", Prefix: "/find/", Attempts: 2, Timeout: time.Second,
		Shards: []ident.ServiceID{"a", "b"},
	}}}, nil
}

func (jsonDecoder) Rollout(_ string, value []byte) (roll.Order, error) {
	var o roll.Order
	err := json.Unmarshal(value, &o)
	return o, err
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
