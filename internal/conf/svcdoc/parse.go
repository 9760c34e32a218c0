package svcdoc

import (
	"fmt"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/strict"
)

// Limits of the values in a document.
const (
	minDeadline    = time.Millisecond
	maxDeadline    = 5 * time.Minute
	maxClasses     = 16
	maxActions     = 64
	maxSlots       = 1000
	maxConnections = 10000
	maxConnectCost = 10 * time.Second
	maxWarmAfter   = 1000000
	maxServers     = 4000
)

// Parse parses and validates a document. It fails with strict.Faults, which list
// all errors.
func Parse(data []byte) (*Document, error) {
	file := strict.Parse(data)
	d := &Document{}
	d.readService(file.Section("service", true))
	d.Classes = readClasses(file.Section("callers", true))
	d.NonIdempotent = file.Section("actions", false).Identifiers("non_idempotent", coll.Some[[]string](nil), maxActions)
	d.Limits = readLimits(file.Section("limits", true), coll.None[Limits]())
	sections := file.SectionsOfKind("server")
	for _, section := range sections {
		d.Servers = append(d.Servers, d.readServer(section))
	}
	checkServers(file, sections, d)
	if err := file.Err(); err != nil {
		return nil, err
	}
	return d, nil
}

func (d *Document) readService(section *strict.Section) {
	d.Service = ident.ServiceID(section.Identifier("name", coll.None[string]()))
	d.Deadline = section.Duration("deadline", coll.None[time.Duration](), minDeadline, maxDeadline)
}

func readClasses(section *strict.Section) []string {
	classes := section.Identifiers("classes", coll.None[[]string](), maxClasses)
	if section.Has("classes") && len(classes) == 0 {
		section.Fault("classes", "there is no class", "at least one name")
	}
	return classes
}

// readLimits reads the limits of a section. A limit that the section does not have
// is taken from fallback, which holds the limits of the document for the section
// of a server.
func readLimits(section *strict.Section, fallback coll.Option[Limits]) Limits {
	l := Limits{
		Slots:       section.Int("slots", fallbackLimit(fallback, func(l Limits) int { return l.Slots }), 1, maxSlots),
		Connections: section.Int("connections", fallbackLimit(fallback, func(l Limits) int { return l.Connections }), 1, maxConnections),
		ConnectCost: section.Duration("connect_cost", fallbackLimit(fallback, func(l Limits) time.Duration { return l.ConnectCost }), 0, maxConnectCost),
		ColdSlots:   section.Int("cold_slots", fallbackLimit(fallback, func(l Limits) int { return l.ColdSlots }), 1, maxSlots),
		WarmAfter:   section.Int("warm_after", fallbackLimit(fallback, func(l Limits) int { return l.WarmAfter }), 1, maxWarmAfter),
	}
	checkLimits(section, l)
	return l
}

// fallbackLimit returns one of the limits, or an absent option if limits is
// absent.
func fallbackLimit[T any](limits coll.Option[Limits], field func(Limits) T) coll.Option[T] {
	l, ok := limits.Get()
	if !ok {
		return coll.None[T]()
	}
	return coll.Some(field(l))
}

// checkLimits checks constraints between limits. It skips a limit of 0, whose
// fault is recorded already, and limits that a server inherits from the document,
// which are checked there.
func checkLimits(section *strict.Section, l Limits) {
	if l.Slots > 0 && l.ColdSlots > l.Slots && (section.Has("cold_slots") || section.Has("slots")) {
		section.Fault("cold_slots", fmt.Sprintf("%d is more than slots", l.ColdSlots), fmt.Sprintf("at most %d", l.Slots))
	}
	if l.Connections > 0 && l.Slots > l.Connections && (section.Has("slots") || section.Has("connections")) {
		section.Fault("slots", fmt.Sprintf("%d is more than connections", l.Slots), fmt.Sprintf("at most %d", l.Connections))
	}
}

func (d *Document) readServer(section *strict.Section) Server {
	name := section.InstanceName()
	if !strict.IsIdentifier(name) {
		section.Fault("", fmt.Sprintf("%q is no server name", name), "1 to 63 of a-z, 0-9, - and _, beginning with a letter or digit")
	}
	return Server{
		ID:      ident.ServerID(string(d.Service) + "/" + name),
		Address: section.Address("address", coll.None[string]()),
		Zone:    ident.Zone(section.Identifier("zone", coll.None[string]())),
		Shard:   ident.Shard(section.Int("shard", coll.None[int](), 0, maxServers-1)),
		Limits:  readLimits(section, coll.Some(d.Limits)),
	}
}

// checkServers checks the servers as a whole. sections[i] is the section of
// d.Servers[i].
func checkServers(file *strict.File, sections []*strict.Section, d *Document) {
	if len(d.Servers) == 0 || len(d.Servers) > maxServers {
		file.Fault(fmt.Sprintf("the document has %d backend servers", len(d.Servers)), fmt.Sprintf("1 to %d sections [server NAME]", maxServers))
		return
	}
	checkAddresses(sections, d.Servers)
	checkShards(file, d)
}

// checkAddresses records a fault for each server whose address belongs to an
// earlier server.
func checkAddresses(sections []*strict.Section, servers []Server) {
	owners := map[string]string{}
	for i, server := range servers {
		if server.Address == "" {
			continue
		}
		if owner, taken := owners[server.Address]; taken {
			sections[i].Fault("address", fmt.Sprintf("%s is the address of [%s] already", server.Address, owner), "an address of its own")
			continue
		}
		owners[server.Address] = sections[i].Name()
	}
}

// checkShards records a fault if a shard below the highest one has no server.
func checkShards(file *strict.File, d *Document) {
	held := coll.NewSet[ident.Shard]()
	for _, server := range d.Servers {
		held.Add(server.Shard)
	}
	for shard := range ident.Shard(d.Shards()) {
		if !held.Has(shard) {
			file.Fault(fmt.Sprintf("no backend server holds shard %d, but one holds shard %d", shard, d.Shards()-1), "shards without a gap from 0")
			return
		}
	}
}
