package pulse

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/core/events"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
	"github.com/samphirestair/samphirestair/internal/plat/depot"
)

const (
	// datagramSize is the largest datagram that is read, in bytes. It holds the
	// id of a VM after a short prefix.
	datagramSize = 256
	// beatPrefix and greetingPrefix tell the datagrams of this protocol from others.
	// The id of the sender follows.
	beatPrefix     = "pulse1 "
	greetingPrefix = "hello1 "
	// greetEvery is the time between two greetings to VMs that are absent.
	greetEvery = time.Second
	// evictEvery is the time between two deletions of one VM's registration.
	evictEvery = 2 * time.Second
	// evictTimeout bounds one deletion.
	evictTimeout = time.Second
)

// Deps are what a Pulse needs.
type Deps struct {
	Self ident.VMID
	// View returns the present beliefs.
	View func() *roster.View
	// Serving reports whether this VM serves callers.
	Serving func() bool
	// Wake is called for each datagram that reaches a VM which does not serve: another
	// VM takes it as one that is to.
	Wake   func()
	Depot  depot.Depot
	Events *events.Recorder
}

// Heartbeater exchanges datagrams with the other VMs that serve. The first VM in
// order that is heard deletes the registrations of silent ones, so that all VMs
// learn of it; a VM that lives writes its registration again.
type Heartbeater struct {
	deps    Deps
	table   *Detector
	conn    net.PacketConn
	evicted map[ident.VMID]time.Time
	// contacts are the addresses of VMs that were heard, and absent those of VMs that
	// may start again.
	contacts  *contacts
	absent    *absent
	greetedAt time.Time
}

// New returns a pulse that receives on address, "ip:port".
func New(deps Deps, address string) (*Heartbeater, error) {
	conn, err := net.ListenPacket("udp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "pulse: listen")
	}
	return &Heartbeater{deps: deps, table: NewDetector(), conn: conn, evicted: map[ident.VMID]time.Time{}, contacts: newContacts(), absent: newAbsent()}, nil
}

// Detector returns what is known of the peers.
func (p *Heartbeater) Detector() *Detector {
	return p.table
}

// RecentSenders returns the addresses, "ip:port", from which VMs that serve were heard
// lately. It is safe for concurrent use.
func (p *Heartbeater) RecentSenders() []string {
	return p.contacts.list(time.Now())
}

// Run sends and receives until ctx ends.
func (p *Heartbeater) Run(ctx context.Context) {
	var parts conc.WaitGroup
	parts.Go(p.receive)
	ticker := time.NewTicker(beatEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			if err := p.conn.Close(); err != nil {
				p.deps.Events.Record("pulse_failed", string(p.deps.Self), err.Error())
			}
			parts.Wait()
			return
		case <-ticker.C:
			p.beat(ctx, &parts)
		}
	}
}

// receive notes datagrams until the socket is closed.
func (p *Heartbeater) receive() {
	buffer := make([]byte, datagramSize)
	for {
		n, from, err := p.conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		vm, isBeat, ok := decode(buffer[:n])
		if !ok || err != nil {
			continue
		}
		now := time.Now()
		p.contacts.heard(now, from.String())
		if !isBeat {
			continue
		}
		p.table.RecordHeartbeat(now, vm)
		if !p.deps.Serving() {
			p.deps.Wake()
		}
	}
}

// decode returns the sender of a datagram, and whether it is one of the regular ones to
// VMs that serve or are to.
func decode(datagram []byte) (vm ident.VMID, isBeat, ok bool) {
	if id, found := bytes.CutPrefix(datagram, []byte(beatPrefix)); found {
		return ident.VMID(id), true, len(id) > 0
	}
	id, found := bytes.CutPrefix(datagram, []byte(greetingPrefix))
	return ident.VMID(id), false, found && len(id) > 0
}

// beat tells the peers that this VM lives, and judges them.
func (p *Heartbeater) beat(ctx context.Context, parts *conc.WaitGroup) {
	var peers []ident.VMID
	if p.deps.Serving() {
		peers = p.send()
	}
	now := time.Now()
	lost, regained := p.table.Update(now, peers)
	for _, vm := range lost {
		p.deps.Events.Record("vm_silent", string(vm), "no datagram", slog.Duration("bound", silentAfter), slog.Bool("cut_off", p.table.CutOff()))
	}
	for _, vm := range regained {
		p.deps.Events.Record("vm_heard", string(vm), "datagrams arrive again")
	}
	for _, vm := range p.evictable(now, peers) {
		parts.Go(func() { p.evict(ctx, vm) })
	}
}

// send sends a datagram to each peer that serves, and returns them. Those that are to
// serve get one too: a VM that stands by learns little on its own.
func (p *Heartbeater) send() []ident.VMID {
	datagram := []byte(beatPrefix + string(p.deps.Self))
	view := p.deps.View()
	var peers []ident.VMID
	present := map[ident.VMID]netip.AddrPort{}
	for _, m := range view.Members {
		if m.VM == p.deps.Self || !m.Serving && !view.TargetServing().Has(m.VM) {
			continue
		}
		address, err := netip.ParseAddrPort(m.PeerAddress)
		if err != nil {
			continue
		}
		if m.Serving {
			peers = append(peers, m.VM)
		}
		present[m.VM] = address
		p.write(datagram, m.VM, address)
	}
	p.greet(present)
	return peers
}

// greet sends greetings to VMs that are absent. One of them that starts again while the
// store does not answer learns by it whom it can ask.
func (p *Heartbeater) greet(present map[ident.VMID]netip.AddrPort) {
	now := time.Now()
	absent := p.absent.look(now, present)
	if now.Sub(p.greetedAt) < greetEvery {
		return
	}
	p.greetedAt = now
	for vm, address := range absent {
		p.write([]byte(greetingPrefix+string(p.deps.Self)), vm, address)
	}
}

func (p *Heartbeater) write(datagram []byte, to ident.VMID, address netip.AddrPort) {
	if _, err := p.conn.WriteTo(datagram, net.UDPAddrFromAddrPort(address)); err != nil {
		p.deps.Events.Sample("pulse_unsent", string(to), err.Error())
	}
}

// evictable returns the silent peers whose registration this VM has to delete.
func (p *Heartbeater) evictable(now time.Time, peers []ident.VMID) []ident.VMID {
	if p.table.CutOff() {
		return nil
	}
	var silent []ident.VMID
	for _, vm := range peers {
		if p.table.Silent(vm) {
			silent = append(silent, vm)
		} else if vm < p.deps.Self {
			return nil
		}
	}
	return slices.DeleteFunc(silent, func(vm ident.VMID) bool {
		if now.Sub(p.evicted[vm]) < evictEvery {
			return true
		}
		p.evicted[vm] = now
		return false
	})
}

func (p *Heartbeater) evict(ctx context.Context, vm ident.VMID) {
	ctx, cancel := context.WithTimeout(ctx, evictTimeout)
	defer cancel()
	if err := p.deps.Depot.Delete(ctx, roster.ServingKey(vm)); err != nil {
		p.deps.Events.Sample("eviction_failed", string(vm), err.Error())
		return
	}
	p.deps.Events.Record("vm_evicted", string(vm), "silent")
}
