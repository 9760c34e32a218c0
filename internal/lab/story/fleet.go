package story

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/core/events"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/owner/coord"
	"github.com/samphirestair/samphirestair/internal/owner/sender"
	"github.com/samphirestair/samphirestair/internal/query/choose"
	"github.com/samphirestair/samphirestair/internal/query/entry"
)

// Service is the service of the fleet.
const Service = ident.ServiceID("packs")

const (
	shards        = 2
	deadline      = 200 * time.Millisecond
	leaseDuration = 24 * time.Hour
	// connectionCleanupTime exceeds the idle timeout of connections, after which the
	// goroutines that clean them up end.
	connectionCleanupTime = 11 * time.Minute
)

// Fleet is a fleet of three VMs and one service of two shards. vm-vantaa owns the
// servers of zone vantaa and vm-espoo those of zone espoo; vm-lahti owns none.
type Fleet struct {
	Transcript *Transcript
	Doc        *svcdoc.Document
	Servers    map[ident.ServerID]*Server
	VMs        map[ident.VMID]*VM
	// DropMessage reports whether a message is lost. The message is described by
	// its text in the transcript.
	DropMessage func(from, to ident.VMID, message string) bool

	zonesOut map[ident.Zone]ident.ChangeID
	leaving  map[ident.VMID]bool
	holdings map[ident.GroupID]*view.Holding
	claims   *voters
	workers  conc.WaitGroup
	stop     context.CancelFunc
}

// VM is one VM with the real entry, coordinator and sender.
type VM struct {
	Entry *entry.Entry

	fleet  *Fleet
	member view.Member
	index  int
	views  *view.Publisher
	home   *coord.Coordinator
	sender *sender.Sender
}

// New starts a fleet. The caller has to call Close.
func New() (*Fleet, error) {
	limits := svcdoc.Limits{Slots: 2, Connections: 8, ColdSlots: 1, WarmAfter: 1}
	f := &Fleet{
		Transcript:  &Transcript{},
		Doc:         &svcdoc.Document{Service: Service, Deadline: deadline, NonIdempotent: []string{"book"}, Limits: limits},
		Servers:     map[ident.ServerID]*Server{},
		VMs:         map[ident.VMID]*VM{},
		DropMessage: func(ident.VMID, ident.VMID, string) bool { return false },
		zonesOut:    map[ident.Zone]ident.ChangeID{},
		leaving:     map[ident.VMID]bool{},
		holdings:    map[ident.GroupID]*view.Holding{},
	}
	f.claims = &voters{transcript: f.Transcript, records: map[string][]byte{}}
	for _, zone := range []ident.Zone{"vantaa", "espoo"} {
		f.addGroup(zone)
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	for i, zone := range []ident.Zone{"vantaa", "espoo", "lahti"} {
		if err := f.addVM(ctx, i, zone); err != nil {
			return nil, err
		}
	}
	f.publish()
	return f, nil
}

func (f *Fleet) addGroup(zone ident.Zone) {
	group := view.Group{ID: ident.GroupID(zone), Service: Service, Zone: zone}
	for shard := range shards {
		index := len(f.Servers)
		server := svcdoc.Server{
			ID:      ident.ServerID(fmt.Sprintf("%s/%s-%d", Service, zone, shard)),
			Address: fmt.Sprintf("127.0.40.1:%d", 9000+index),
			Zone:    zone, Shard: ident.Shard(shard), Limits: f.Doc.Limits,
		}
		f.Doc.Servers = append(f.Doc.Servers, server)
		f.Servers[server.ID] = newServer(f.Transcript, server, index)
		group.Servers = append(group.Servers, server)
	}
	holding := &view.Holding{Group: group, Term: 1}
	holding.Renew(time.Now().Add(leaseDuration))
	f.holdings[group.ID] = holding
}

func (f *Fleet) addVM(ctx context.Context, index int, zone ident.Zone) error {
	process := ident.Process{VM: ident.VMID("vm-" + zone), Incarnation: 1}
	vm := &VM{fleet: f, index: index, member: view.Member{Process: process, Zone: zone}, views: &view.Publisher{}}
	link := &link{fleet: f, from: vm}
	recorder := events.New(slog.New(slog.DiscardHandler), metrics.NewSet())
	vm.sender = sender.New(sender.Deps{
		Self: process, Views: vm.views, Mesh: link, Events: recorder, Dial: f.dial,
	}, sender.Options{})
	vm.home = coord.New(coord.Deps{
		Self: process, Views: vm.views, Mesh: link, Claims: f.claims, Next: vm.sender, Events: recorder,
	}, coord.Options{})
	first := func(int) int { return 0 }
	var err error
	vm.Entry, err = entry.New(
		entry.Deps{Self: process, Views: vm.views, Mesh: link, Events: recorder},
		entry.Options{ChooseOptions: choose.Options{IntN: first}})
	f.VMs[process.VM] = vm
	f.workers.Go(func() { vm.sender.Run(ctx) })
	f.workers.Go(func() { vm.home.Run(ctx) })
	return err
}

// Begin starts the transcript. It is called once the fleet is warmed up.
func (f *Fleet) Begin(title string) {
	for _, server := range f.Servers {
		server.endWarmUp()
	}
	f.Transcript.Begin(title)
}

// Close stops the senders and coordinators and waits until their goroutines and those of
// the connections have ended.
func (f *Fleet) Close() {
	f.stop()
	f.workers.Wait()
	time.Sleep(connectionCleanupTime)
}

// ZoneOut takes a zone out of service on all VMs.
func (f *Fleet) ZoneOut(zone ident.Zone) {
	f.Transcript.Logf("operator", "takes zone %s out", zone)
	f.zonesOut[zone] = "change-1"
	f.publish()
}

// ZoneIn brings a zone back into service on all VMs.
func (f *Fleet) ZoneIn(zone ident.Zone) {
	f.Transcript.Logf("operator", "brings zone %s back", zone)
	delete(f.zonesOut, zone)
	f.publish()
}

// Leave makes a VM refuse new requests.
func (f *Fleet) Leave(vm ident.VMID) {
	f.Transcript.Logf(string(vm), "is asked to stop and admits nothing new")
	f.leaving[vm] = true
	f.publish()
}

// publish gives each VM a view of the fleet's current state.
func (f *Fleet) publish() {
	config := &view.Config{
		Services: map[ident.ServiceID]*svcdoc.Document{Service: f.Doc},
		ZonesOut: map[ident.Zone]ident.ChangeID{},
	}
	for zone, change := range f.zonesOut {
		config.ZonesOut[zone] = change
	}
	for _, vm := range f.VMs {
		vm.views.Publish(f.viewOf(vm, config))
	}
}

func (f *Fleet) viewOf(self *VM, config *view.Config) *view.View {
	v := &view.View{
		Self: self.member, Config: config,
		Members:  map[ident.VMID]view.Member{},
		Groups:   map[ident.GroupID]view.Group{},
		GroupOf:  map[ident.ServerID]ident.GroupID{},
		Owners:   map[ident.GroupID]ident.VMID{},
		Holdings: map[ident.GroupID]*view.Holding{},
	}
	for id, vm := range f.VMs {
		v.Members[id] = vm.member
	}
	for id, holding := range f.holdings {
		owner := ident.VMID("vm-" + holding.Group.Zone)
		v.Groups[id], v.Owners[id] = holding.Group, owner
		for _, server := range holding.Group.Servers {
			v.GroupOf[server.ID] = id
		}
		if owner == self.member.Process.VM {
			v.Holdings[id] = holding
		}
	}
	v.Admitting = !f.leaving[self.member.Process.VM]
	if !v.Admitting {
		v.Refusal = "leaving"
	}
	return v
}

// dial connects to the backend server that has the given address.
func (f *Fleet) dial(_ context.Context, address string) (net.Conn, error) {
	for _, server := range f.Servers {
		if server.address == address {
			return server.connect(), nil
		}
	}
	return nil, errors.Newf("story: no server at %s", address)
}
