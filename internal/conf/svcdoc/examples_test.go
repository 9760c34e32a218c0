package svcdoc_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
)

const examples = "../../../examples/documents"

// size holds the number of shards and servers of an example, and the slots of
// each server.
type size struct {
	shards, servers, slots int
}

func TestExamples(t *testing.T) {
	sizes := map[ident.ServiceID]size{
		"agent-desk":     {20, 40, 2},
		"order-track":    {2, 4, 6},
		"returns-log":    {30, 60, 2},
		"supplier-feed":  {2, 4, 6},
		"session-finder": {20, 40, 2},
		"rink-admin":     {30, 60, 2},
		"gate-desk":      {5, 10, 2},
		"refund-desk":    {2, 5, 2},
	}
	addresses := coll.NewSet[string]()
	servers := 0
	for service, want := range sizes {
		d := example(t, service)
		require.Equal(t, want, size{d.Shards(), len(d.Servers), d.Limits.Slots}, service)
		for _, server := range d.Servers {
			addresses.Add(server.Address)
		}
		servers += want.servers
		requireDistinctZones(t, d)
	}
	require.Len(t, addresses, servers)
	files, err := os.ReadDir(examples)
	require.NoError(t, err)
	require.Len(t, files, len(sizes))
}

// example parses an example. It requires that the text is canonical apart from
// comments.
func example(t *testing.T, service ident.ServiceID) *svcdoc.Document {
	data, err := os.ReadFile(filepath.Join(examples, string(service)+".ini"))
	require.NoError(t, err)
	d, err := svcdoc.Parse(data)
	require.NoError(t, err)
	require.Equal(t, service, d.Service)
	var text strings.Builder
	for line := range strings.Lines(string(data)) {
		if !strings.HasPrefix(line, "#") {
			text.WriteString(line)
		}
	}
	require.Equal(t, text.String(), string(svcdoc.Format(d)))
	return d
}

// requireDistinctZones requires that the replicas of each shard are in different
// zones.
func requireDistinctZones(t *testing.T, d *svcdoc.Document) {
	type place struct {
		shard ident.Shard
		zone  ident.Zone
	}
	places := coll.NewSet[place]()
	for _, server := range d.Servers {
		places.Add(place{server.Shard, server.Zone})
	}
	require.Len(t, places, len(d.Servers), d.Service)
}
