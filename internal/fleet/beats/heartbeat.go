package beats

import (
	"bytes"
	"context"
	"fmt"
	"iter"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/core/events"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
	"github.com/samphirestair/samphirestair/internal/plat/depot"
)

const (
	// maxDatagramBytes is the size up to which a datagram is read.
	maxDatagramBytes = 1500
	// MaxMessageBytes is the maximum size of a message that is broadcast. Its datagram fits
	// into one packet.
	MaxMessageBytes = 1200
	// heartbeatPrefix and helloPrefix begin the datagrams of this protocol. The id of the
	// sender follows. After reachPrefix come the number of backend servers that the sender
	// can't reach, whether it is partitioned from them, and its id, separated by spaces.
	heartbeatPrefix = "pulse1 "
	helloPrefix     = "hello1 "
	reachPrefix     = "reach1 "
	// After lapsedPrefix come the age of the sender's view in milliseconds and its id, separated
	// by a space. In that view the registration of the receiver, which served, has lapsed.
	lapsedPrefix = "lapsed1 "
	// After messagePrefix comes a message that is broadcast.
	messagePrefix = "message1 "
	// After askPrefix comes the id of a VM. The receiver answers with the same id after
	// heardPrefix if it hears that VM.
	askPrefix   = "ask1 "
	heardPrefix = "heard1 "
	// subscribePrefix begins the datagrams of VMs that don't serve and still have callers: they
	// want to get broadcasts for subscriptionTime. subscribeInterval is the time between two.
	subscribePrefix   = "subscribe1"
	subscribeInterval = time.Second
	subscriptionTime  = 3 * time.Second
	// maxSubscribers bounds the VMs that get broadcasts without serving.
	maxSubscribers = 512
	// helloInterval is the time between two hellos to a departed VM.
	helloInterval = time.Second
	// evictionInterval is the time between two deletions of the same VM's registration.
	evictionInterval = 2 * time.Second
	// evictionTimeout bounds one deletion.
	evictionTimeout = time.Second
	// askedPeers is the number of peers that are asked each time whether they hear a silent
	// VM, and askTime how long they are asked before it is evicted.
	askedPeers = 3
	askTime    = 500 * time.Millisecond
)

// Deps are what a Heartbeater needs.
type Deps struct {
	Self ident.VMID
	// View returns the current view of the fleet.
	View func() *roster.View
	// Serving reports whether this VM serves callers.
	Serving func() bool
	// HasCallers reports whether callers use this VM though it doesn't serve. If it is nil,
	// they don't.
	HasCallers func() bool
	// Wake is called for each heartbeat that arrives while this VM doesn't serve: the
	// sender regards it as serving or selected to serve.
	Wake func()
	// Reach returns what this VM reports of its links to backend servers.
	Reach func() Reach
	// ViewAge returns the time since the view was last known to be up to date. known is false if
	// it never was.
	ViewAge func(now time.Time) (age time.Duration, known bool)
	// Missed is called when another VM says that the registration of this one has lapsed in its
	// view, which had all changes up to at.
	Missed func(at time.Time)
	// Receive is called for each message that another VM broadcasts. It must not keep the
	// message. If it is nil, messages are ignored.
	Receive func(message []byte)
	Depot   depot.Depot
	Events  *events.Recorder
}

// Heartbeater exchanges heartbeats with the other serving VMs. Among the VMs that are not
// silent, the one with the lowest id deletes the registrations of silent ones, so that
// all VMs learn of it. Before, it asks others whether they hear them: only its own link to
// them may be broken. A VM that was evicted while alive registers again. VMs that are no
// longer known get hellos for a while: one that starts again while the store is down
// learns from them which VMs it can ask for a snapshot.
type Heartbeater struct {
	deps     Deps
	detector *Detector
	conn     net.PacketConn
	// lastEviction is when this VM last tried to delete the registration of each VM.
	lastEviction map[ident.VMID]time.Time
	// askedSince is when the peers were first asked whether they hear each silent VM.
	askedSince map[ident.VMID]time.Time
	senders    *recentSenders
	departed   *departedVMs
	lastHello  time.Time
	// subscribers holds the addresses of the VMs that want broadcasts.
	subscribers   *recentSenders
	lastSubscribe time.Time
}

// New returns a heartbeater that receives on address, "ip:port". Run closes the socket.
func New(deps Deps, address string) (*Heartbeater, error) {
	conn, err := net.ListenPacket("udp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "beats: listen")
	}
	return &Heartbeater{
		deps: deps, detector: NewDetector(), conn: conn, lastEviction: map[ident.VMID]time.Time{}, askedSince: map[ident.VMID]time.Time{},
		senders: newRecentSenders(senderLifetime, maxSenders), subscribers: newRecentSenders(subscriptionTime, maxSubscribers), departed: newDepartedVMs(),
	}, nil
}

// Detector returns the failure detector for the serving peers.
func (h *Heartbeater) Detector() *Detector {
	return h.detector
}

// RecentSenders returns the addresses, "ip:port", from which serving VMs sent datagrams
// recently. It is safe for concurrent use.
func (h *Heartbeater) RecentSenders() []string {
	return h.senders.list(time.Now())
}

// Run sends and receives until ctx is done.
func (h *Heartbeater) Run(ctx context.Context) {
	var parts conc.WaitGroup
	parts.Go(h.receive)
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			if err := h.conn.Close(); err != nil {
				h.deps.Events.Record("pulse_failed", string(h.deps.Self), err.Error())
			}
			parts.Wait()
			return
		case <-ticker.C:
			h.tick(ctx, &parts)
		}
	}
}

// receive reads datagrams until the socket is closed.
func (h *Heartbeater) receive() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := h.conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		now := time.Now()
		if vm, reach, ok := decodeReach(buffer[:n]); ok {
			h.detector.RecordReach(now, vm, reach)
			continue
		}
		if vm, age, ok := decodeLapsed(buffer[:n]); ok {
			h.detector.RecordHeartbeat(now, vm)
			h.deps.Missed(now.Add(-age))
			continue
		}
		if h.handleQuestion(now, buffer[:n], from) || h.handleMessage(now, buffer[:n], from) {
			continue
		}
		vm, isHeartbeat, ok := decode(buffer[:n])
		if !ok {
			continue
		}
		h.senders.record(now, from.String())
		if !isHeartbeat {
			continue
		}
		h.detector.RecordHeartbeat(now, vm)
		if !h.deps.Serving() {
			h.deps.Wake()
		}
	}
}

// handleQuestion handles a question whether this VM hears another one, and the answer to
// one of its own. It returns false for other datagrams.
func (h *Heartbeater) handleQuestion(now time.Time, datagram []byte, from net.Addr) bool {
	if vm, found := bytes.CutPrefix(datagram, []byte(askPrefix)); found {
		if h.detector.Hears(now, ident.VMID(vm)) {
			if _, err := h.conn.WriteTo(append([]byte(heardPrefix), vm...), from); err != nil {
				h.deps.Events.Sample("pulse_unsent", from.String(), err.Error())
			}
		}
		return true
	}
	vm, found := bytes.CutPrefix(datagram, []byte(heardPrefix))
	if found {
		h.detector.RecordHeardByOther(now, ident.VMID(vm))
	}
	return found
}

// handleMessage passes on a message that another VM broadcasts, and records who wants to get
// broadcasts. It returns false for other datagrams.
func (h *Heartbeater) handleMessage(now time.Time, datagram []byte, from net.Addr) bool {
	if string(datagram) == subscribePrefix {
		h.subscribers.record(now, from.String())
		return true
	}
	message, found := bytes.CutPrefix(datagram, []byte(messagePrefix))
	if found && h.deps.Receive != nil {
		h.deps.Receive(message)
	}
	return found
}

// Broadcast sends a message of at most MaxMessageBytes to all VMs that get heartbeats, and to
// those that don't serve and have callers. Some of them may not receive it. It is safe for
// concurrent use.
func (h *Heartbeater) Broadcast(message []byte) {
	datagram := append([]byte(messagePrefix), message...)
	sent := coll.NewSet[netip.AddrPort]()
	for m, address := range h.peers() {
		sent.Add(address)
		h.write(datagram, m.VM, address)
	}
	for _, subscriber := range h.subscribers.list(time.Now()) {
		if address, err := netip.ParseAddrPort(subscriber); err == nil && !sent.Has(address) {
			h.write(datagram, ident.VMID(subscriber), address)
		}
	}
}

// SendToSome sends a message like Broadcast, to random VMs: serving of those that get heartbeats,
// and standby of the others.
func (h *Heartbeater) SendToSome(message []byte, serving, standby int) {
	view := h.deps.View()
	var active, others []roster.Member
	for _, m := range view.Members {
		switch {
		case m.VM == h.deps.Self:
		case m.Serving || view.TargetServing().Has(m.VM):
			active = append(active, m)
		default:
			others = append(others, m)
		}
	}
	datagram := append([]byte(messagePrefix), message...)
	for _, m := range append(pick(active, serving), pick(others, standby)...) {
		if address, err := netip.ParseAddrPort(m.PeerAddress); err == nil {
			h.write(datagram, m.VM, address)
		}
	}
}

// pick returns up to count random members. It reorders members.
func pick(members []roster.Member, count int) []roster.Member {
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members[:min(len(members), count)]
}

// subscribe asks the VMs that serve for their broadcasts, if this VM doesn't serve and still
// has callers.
func (h *Heartbeater) subscribe() {
	now := time.Now()
	if h.deps.HasCallers == nil || !h.deps.HasCallers() || now.Sub(h.lastSubscribe) < subscribeInterval {
		return
	}
	h.lastSubscribe = now
	for m, address := range h.peers() {
		h.write([]byte(subscribePrefix), m.VM, address)
	}
}

// peers returns the VMs that get heartbeats, and their addresses: those that serve or are
// selected to serve.
func (h *Heartbeater) peers() iter.Seq2[roster.Member, netip.AddrPort] {
	return func(yield func(roster.Member, netip.AddrPort) bool) {
		view := h.deps.View()
		for _, m := range view.Members {
			if m.VM == h.deps.Self || !m.Serving && !view.TargetServing().Has(m.VM) {
				continue
			}
			if address, err := netip.ParseAddrPort(m.PeerAddress); err == nil && !yield(m, address) {
				return
			}
		}
	}
}

// decode returns the sender of a datagram, and whether it is a heartbeat rather than a
// hello. ok is false for other datagrams.
func decode(datagram []byte) (vm ident.VMID, isHeartbeat, ok bool) {
	if id, found := bytes.CutPrefix(datagram, []byte(heartbeatPrefix)); found {
		return ident.VMID(id), true, len(id) > 0
	}
	id, found := bytes.CutPrefix(datagram, []byte(helloPrefix))
	return ident.VMID(id), false, found && len(id) > 0
}

// encodeReach returns the datagram with what a VM reports of its links to backend servers.
func encodeReach(vm ident.VMID, reach Reach) []byte {
	return fmt.Appendf(nil, "%s%d %t %s", reachPrefix, reach.Unreached, reach.Partitioned, vm)
}

// decodeReach is the inverse of encodeReach. ok is false for other datagrams.
func decodeReach(datagram []byte) (vm ident.VMID, reach Reach, ok bool) {
	rest, found := bytes.CutPrefix(datagram, []byte(reachPrefix))
	if !found {
		return "", Reach{}, false
	}
	fields := strings.SplitN(string(rest), " ", 3)
	if len(fields) != 3 || fields[2] == "" {
		return "", Reach{}, false
	}
	unreached, err := strconv.Atoi(fields[0])
	isPartitioned, boolErr := strconv.ParseBool(fields[1])
	if err != nil || boolErr != nil || unreached < 0 {
		return "", Reach{}, false
	}
	return ident.VMID(fields[2]), Reach{Unreached: unreached, Partitioned: isPartitioned}, true
}

// encodeLapsed returns the datagram with which a VM tells others that their registration has lapsed
// in its view of that age.
func encodeLapsed(vm ident.VMID, age time.Duration) []byte {
	return fmt.Appendf(nil, "%s%d %s", lapsedPrefix, age.Milliseconds(), vm)
}

// decodeLapsed is the inverse of encodeLapsed. ok is false for other datagrams.
func decodeLapsed(datagram []byte) (vm ident.VMID, age time.Duration, ok bool) {
	rest, found := bytes.CutPrefix(datagram, []byte(lapsedPrefix))
	if !found {
		return "", 0, false
	}
	text, id, _ := strings.Cut(string(rest), " ")
	milliseconds, err := strconv.ParseUint(text, 10, 32)
	if err != nil || id == "" {
		return "", 0, false
	}
	return ident.VMID(id), time.Duration(milliseconds) * time.Millisecond, true
}

// tick sends heartbeats and hellos if this VM serves, logs which peers became silent or
// were heard again, and starts evictions.
func (h *Heartbeater) tick(ctx context.Context, parts *conc.WaitGroup) {
	var peers []ident.VMID
	var addresses map[ident.VMID]netip.AddrPort
	if h.deps.Serving() {
		peers, addresses = h.sendHeartbeats()
	} else {
		h.subscribe()
	}
	now := time.Now()
	lost, regained := h.detector.Update(now, peers)
	for _, vm := range lost {
		h.deps.Events.Record("vm_silent", string(vm), "no heartbeat", slog.Duration("bound", silenceTimeout), slog.Bool("cut_off", h.detector.CutOff()))
	}
	for _, vm := range regained {
		h.deps.Events.Record("vm_heard", string(vm), "heartbeats arrive again")
	}
	h.askPeers(now, peers, addresses)
	for _, vm := range h.evictionsDue(now, peers) {
		parts.Go(func() { h.evict(ctx, vm) })
	}
}

// sendHeartbeats sends a heartbeat to each serving peer, and a report of this VM's links to
// backend servers unless it reaches all. VMs that are selected to serve get both too, since
// a VM that stands by follows few changes by itself. It returns the ids of the serving peers
// and the addresses of all that got a heartbeat.
func (h *Heartbeater) sendHeartbeats() (peers []ident.VMID, present map[ident.VMID]netip.AddrPort) {
	datagrams := [][]byte{[]byte(heartbeatPrefix + string(h.deps.Self))}
	if reach := h.deps.Reach(); reach != (Reach{}) {
		datagrams = append(datagrams, encodeReach(h.deps.Self, reach))
	}
	present = map[ident.VMID]netip.AddrPort{}
	for m, address := range h.peers() {
		if m.Serving {
			peers = append(peers, m.VM)
		}
		present[m.VM] = address
		for _, datagram := range datagrams {
			h.write(datagram, m.VM, address)
		}
	}
	h.tellLapsed()
	h.sendHellos(present)
	return peers, present
}

// tellLapsed tells the VMs whose registration has lapsed in the view of this VM: one that the store
// turns away can't see that others take its place.
func (h *Heartbeater) tellLapsed() {
	if len(h.deps.View().Lapsed) == 0 {
		return
	}
	// The age is read before the view, so that the view is not older than it says.
	age, known := h.deps.ViewAge(time.Now())
	if !known {
		return
	}
	datagram := encodeLapsed(h.deps.Self, age)
	for _, m := range h.deps.View().Lapsed {
		if address, err := netip.ParseAddrPort(m.PeerAddress); err == nil {
			h.write(datagram, m.VM, address)
		}
	}
}

// askPeers asks some peers whether they hear the silent ones.
func (h *Heartbeater) askPeers(now time.Time, peers []ident.VMID, addresses map[ident.VMID]netip.AddrPort) {
	var silent, heard []ident.VMID
	for _, vm := range peers {
		if h.detector.Silent(vm) {
			silent = append(silent, vm)
		} else {
			heard = append(heard, vm)
		}
	}
	coll.Retain(h.askedSince, func(vm ident.VMID) bool { return slices.Contains(silent, vm) })
	for _, vm := range silent {
		if h.askedSince[vm].IsZero() {
			h.askedSince[vm] = now
		}
		rand.Shuffle(len(heard), func(i, j int) { heard[i], heard[j] = heard[j], heard[i] })
		for _, peer := range heard[:min(askedPeers, len(heard))] {
			h.write([]byte(askPrefix+string(vm)), peer, addresses[peer])
		}
	}
}

// sendHellos sends hellos to VMs that were present recently and are not any more. One
// that starts again while the store is down learns from them which VMs it can ask.
func (h *Heartbeater) sendHellos(present map[ident.VMID]netip.AddrPort) {
	now := time.Now()
	departed := h.departed.update(now, present)
	if now.Sub(h.lastHello) < helloInterval {
		return
	}
	h.lastHello = now
	for vm, address := range departed {
		h.write([]byte(helloPrefix+string(h.deps.Self)), vm, address)
	}
}

func (h *Heartbeater) write(datagram []byte, to ident.VMID, address netip.AddrPort) {
	if _, err := h.conn.WriteTo(datagram, net.UDPAddrFromAddrPort(address)); err != nil {
		h.deps.Events.Sample("pulse_unsent", string(to), err.Error())
	}
}

// evictionsDue returns the silent peers whose registration this VM has to delete now: those
// that no other VM hears either. It is empty if a peer with a lower id is not silent.
func (h *Heartbeater) evictionsDue(now time.Time, peers []ident.VMID) []ident.VMID {
	if h.detector.CutOff() {
		return nil
	}
	var silent []ident.VMID
	for _, vm := range peers {
		if h.detector.Silent(vm) {
			silent = append(silent, vm)
		} else if vm < h.deps.Self {
			return nil
		}
	}
	return slices.DeleteFunc(silent, func(vm ident.VMID) bool {
		if now.Sub(h.lastEviction[vm]) < evictionInterval || now.Sub(h.askedSince[vm]) < askTime || h.detector.HeardByOther(now, vm) {
			return true
		}
		h.lastEviction[vm] = now
		return false
	})
}

func (h *Heartbeater) evict(ctx context.Context, vm ident.VMID) {
	ctx, cancel := context.WithTimeout(ctx, evictionTimeout)
	defer cancel()
	if err := h.deps.Depot.Delete(ctx, roster.ServingKey(vm)); err != nil {
		h.deps.Events.Sample("eviction_failed", string(vm), err.Error())
		return
	}
	h.deps.Events.Record("vm_evicted", string(vm), "silent")
}
