package cmdln

import (
	"fmt"
	"strings"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
)

// availabilityNotes lists the shards of a valid document that one failure can make
// unavailable: those with a single backend server, or with all in one zone.
func availabilityNotes(document *svcdoc.Document) []string {
	zones := map[ident.Shard]coll.Set[ident.Zone]{}
	replicas := map[ident.Shard]int{}
	for _, server := range document.Servers {
		if zones[server.Shard] == nil {
			zones[server.Shard] = coll.NewSet[ident.Zone]()
		}
		zones[server.Shard].Add(server.Zone)
		replicas[server.Shard]++
	}
	var single, oneZone []string
	for shard := range ident.Shard(document.Shards()) {
		switch {
		case replicas[shard] == 1:
			single = append(single, fmt.Sprint(shard))
		case len(zones[shard]) == 1:
			oneZone = append(oneZone, fmt.Sprint(shard))
		}
	}
	var notes []string
	if len(single) > 0 {
		notes = append(notes, "shards with a single backend server: "+strings.Join(single, ", "))
	}
	if len(oneZone) > 0 {
		notes = append(notes, "shards whose backend servers are all in one zone: "+strings.Join(oneZone, ", "))
	}
	return notes
}
