package engine

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/query/snap"
)

// ServiceCatalog implements Catalog and Fleet for one service. Each call reads
// the current view. It is safe for concurrent use if the views function is.
type ServiceCatalog struct {
	table   *snap.Table
	views   func() *view.View
	service ident.ServiceID
}

// NewServiceCatalog returns the catalog of a service. views returns the current
// view.
func NewServiceCatalog(table *snap.Table, views func() *view.View, service ident.ServiceID) *ServiceCatalog {
	return &ServiceCatalog{table: table, views: views, service: service}
}

// Pin implements Catalog.
func (l *ServiceCatalog) Pin() *snap.Plan {
	config, doc := l.document()
	return l.table.Pin(config, doc)
}

// DueProbes implements Catalog.
func (l *ServiceCatalog) DueProbes(now time.Time) []*svcdoc.Server {
	config, doc := l.document()
	return l.table.DueProbes(now, config, doc)
}

// AwaitingFirstReport implements Catalog.
func (l *ServiceCatalog) AwaitingFirstReport(now time.Time) bool {
	config, doc := l.document()
	return l.table.AwaitingFirstReport(now, config, doc)
}

// Servers implements Catalog.
func (l *ServiceCatalog) Servers() []*svcdoc.Server {
	config, doc := l.document()
	servers := make([]*svcdoc.Server, 0, len(doc.Servers))
	for i := range doc.Servers {
		if server := &doc.Servers[i]; !config.ServerOut(server) {
			servers = append(servers, server)
		}
	}
	return servers
}

// Home implements Catalog. The home server depends only on the service document,
// so that all VMs agree on it while index versions change and servers are taken
// out. VersionShard depends only on the route and the pinned index version.
func (l *ServiceCatalog) Home(route string) (Home, bool) {
	config, doc := l.document()
	hash, shards := xxhash.Sum64String(route), doc.Shards()
	if shards == 0 {
		return Home{}, false
	}
	home := Home{DocumentShard: ident.Shard(hash % uint64(shards))}
	for i := range doc.Servers {
		if doc.Servers[i].Shard == home.DocumentShard {
			home.Server = doc.Servers[i].ID
			break
		}
	}
	if plan := l.table.Pin(config, doc); plan.Version != 0 {
		home.Version = plan.Version
		home.VersionShard = ident.Shard(hash % uint64(plan.Shards))
		home.Replicas = plan.Replicas[home.VersionShard]
	}
	return home, home.Server != ""
}

// Owner implements Fleet.
func (l *ServiceCatalog) Owner(server ident.ServerID) (view.Member, bool) {
	return l.views().Owner(server)
}

// Member implements Fleet.
func (l *ServiceCatalog) Member(vm ident.VMID) (view.Member, bool) {
	member, ok := l.views().Members[vm]
	return member, ok
}

// document returns the service document in force, or an empty one if there is
// none.
func (l *ServiceCatalog) document() (*view.Config, *svcdoc.Document) {
	config := l.views().Config
	if doc, ok := config.Services[l.service]; ok {
		return config, doc
	}
	return config, &svcdoc.Document{Service: l.service}
}
