package roll

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/plat/depot"
)

const (
	// intervalPart is the time between two reports of a VM as a part of Bounds.Back, but at
	// least intervalPerVM for each VM that serves: the deciding VM may have an eighth of a core,
	// and handles at most 500 reports a second.
	intervalPart  = 0.05
	intervalPerVM = 2 * time.Millisecond
	// permitPart is the time for which a reply permits requests to the new version, as a part of
	// Bounds.Back, in addition to permitIntervals intervals. Together with the interval until
	// a bad response is reported, it stays below Bounds.Back with 460 VMs, too.
	permitPart      = 0.2
	permitIntervals = 3
	// relayTime is the time for which the report of another VM is passed on.
	relayTime = 2 * time.Second
	// maxRanks bounds the ranks that are kept: those of 10 services and 460 VMs.
	maxRanks = 4600
	// avoidTime is the time for which a VM that did not reply is not reported to. A dead one is
	// silent after 0.9 s.
	avoidTime = 700 * time.Millisecond
	// resendTime is the time within which a second message has to fail before a VM is avoided. A
	// single one may have been lost, and another VM only passes reports on with its own next one.
	resendTime = 1500 * time.Millisecond
)

// Mode says which servers of a service get requests.
type Mode uint8

// Modes.
const (
	// OthersOnly keeps requests from the new version, and TargetOnly from all others.
	OthersOnly Mode = iota
	TargetOnly
	// Shared sends at most a share of the requests to the new version.
	Shared
)

// Permit says what a VM may send to the servers of a service.
type Permit struct {
	Version  string
	Position depot.Position
	Seq      uint64
	Mode     Mode
	// Share is the share of the new version, and Until the time until which it holds. After
	// that the permit is OthersOnly. Both are set for Shared.
	Share float64
	Until time.Duration
	// Proven is set if retries and hedges may go to either version.
	Proven bool
}

// Reply is the reply to a report.
type Reply struct {
	Service ident.ServiceID
	// Declined is set if the VM knows no decision.
	Declined bool
	// Record is the latest record, and Share the share that the new version may get.
	Record Record
	Share  float64
	// Age is the time since the deciding VM said so.
	Age time.Duration
}

// Situation is what a VM knows at one moment.
type Situation struct {
	Now        time.Duration
	WallMillis int64
	Rollouts   map[ident.ServiceID]Rollout
	// Serving are the VMs that serve callers, and Silent reports which of them can't be heard.
	Serving []ident.VMID
	Silent  func(ident.VMID) bool
	// Fresh is set if the view of the store is confirmed, so that this VM may decide.
	Fresh bool
	// Servers returns the numbers of usable servers of a version, and of the others.
	Servers func(service ident.ServiceID, version string) (targets, others int)
	// Count fills in what this VM has counted for a report.
	Count func(report *Report)
}

// Message holds the reports that one VM sends to another.
type Message struct {
	To      ident.VMID
	Reports []Report
}

// Step is what a VM has to do.
type Step struct {
	Permits  map[ident.ServiceID]Permit
	Messages []Message
	Writes   []Write
}

// Member is the part of one VM in all roll-outs. It is not safe for concurrent use.
type Member struct {
	self   ident.VMID
	boot   uint64
	bounds func() Bounds
	number uint64
	known  map[ident.ServiceID]*known
	// ranks holds the ranks of VMs by service and VM, which are costly to compute.
	ranks map[rankKey]uint64
	// avoided holds the time until which VMs that did not reply are not reported to.
	avoided map[ident.VMID]time.Duration
	// failed holds the times at which VMs did not reply while they were not avoided.
	failed map[ident.VMID]time.Duration
	latest Situation
}

type rankKey struct {
	service ident.ServiceID
	vm      ident.VMID
}

// known is what a VM knows of one roll-out.
type known struct {
	rollout Rollout
	// deciding is set if this VM decides.
	deciding bool
	decider  *Decider
	// reported is when the last report was made, or negative.
	reported time.Duration
	// share is what the deciding VM last permitted, at repliedAt. hasReply is set if it did.
	share     float64
	repliedAt time.Duration
	hasReply  bool
	// relayed holds reports of other VMs by process.
	relayed map[processID]relayedReport
}

type relayedReport struct {
	report Report
	at     time.Duration
}

// Bounds limits what a version that is not proven does.
type Bounds struct {
	// Share is the part of the requests that it may get, and Slack the number of requests in
	// addition.
	Share, Slack float64
	// Back is the time within which it gets no more requests once it is known to be bad.
	Back time.Duration
}

// NewMember returns a member for a VM. boot identifies its process.
func NewMember(self ident.VMID, boot uint64, bounds func() Bounds) *Member {
	return &Member{self: self, boot: boot, bounds: bounds, known: map[ident.ServiceID]*known{}, ranks: map[rankKey]uint64{}, avoided: map[ident.VMID]time.Duration{}, failed: map[ident.VMID]time.Duration{}}
}

// Update returns what is to be done in a situation. It is called several times between two
// reports.
func (m *Member) Update(s Situation) Step {
	m.latest = s
	m.forgetFailures(s.Now)
	for service := range m.known {
		if _, ok := s.Rollouts[service]; !ok {
			delete(m.known, service)
		}
	}
	step := Step{Permits: make(map[ident.ServiceID]Permit, len(s.Rollouts))}
	reports := map[ident.VMID][]Report{}
	bounds := m.bounds()
	interval := bounds.interval(len(s.Serving))
	for service, rollout := range s.Rollouts {
		k := m.merge(service, rollout)
		to, found := m.chooseDecider(service)
		k.deciding = found && to == m.self
		if found && (k.reported < 0 || s.Now-k.reported >= interval) && !k.isSettled() {
			m.count(service, k)
			if !k.deciding {
				reports[to] = append(reports[to], k.recentReports()...)
			}
		}
		if k.deciding && k.isDue(s.Now, interval) {
			if write := m.decide(service, k); write != nil {
				step.Writes = append(step.Writes, *write)
			}
		}
		k.forgetOld(s.Now)
		step.Permits[service] = k.permit(s.Now, bounds.permitTime(interval))
	}
	for to, list := range reports {
		step.Messages = append(step.Messages, Message{To: to, Reports: list})
	}
	return step
}

// count makes a report of what this VM has counted.
func (m *Member) count(service ident.ServiceID, k *known) {
	m.number++
	own := Report{VM: m.self, Boot: m.boot, Number: m.number, Service: service, Position: k.rollout.Order.Position}
	if record := k.rollout.current(); record != nil {
		own.Seq = record.Seq
	}
	m.latest.Count(&own)
	k.reported = m.latest.Now
	k.relayed[processID{m.self, m.boot}] = relayedReport{own, m.latest.Now}
}

// interval returns the time between two reports of a VM.
func (b Bounds) interval(serving int) time.Duration {
	return max(time.Duration(intervalPart*float64(b.Back)), time.Duration(serving)*intervalPerVM)
}

// permitTime returns the time for which a reply permits requests to the new version.
func (b Bounds) permitTime(interval time.Duration) time.Duration {
	return time.Duration(permitPart*float64(b.Back)) + permitIntervals*interval
}

// merge updates what is known of a roll-out from the store. A record that another VM told is
// kept while it is newer.
func (m *Member) merge(service ident.ServiceID, rollout Rollout) *known {
	k := m.known[service]
	if k == nil || k.rollout.Order != rollout.Order {
		k = &known{rollout: rollout, reported: -1, relayed: map[processID]relayedReport{}}
		m.known[service] = k
		return k
	}
	told := k.rollout.current()
	k.rollout = rollout
	if record := rollout.current(); told != nil && (record == nil || record.Seq < told.Seq) {
		k.rollout.Record = told
	}
	return k
}

// isSettled reports whether the roll-out has ended, so that nothing is left to report.
func (k *known) isSettled() bool {
	record := k.rollout.current()
	return record != nil && record.Phase.IsFinal()
}

// isDue reports whether this VM has to make a decision. While a roll-out drains, it does so each
// time: to see that all VMs have acknowledged costs little, unlike a comparison of the versions.
func (k *known) isDue(now, interval time.Duration) bool {
	return !k.hasReply || now-k.repliedAt >= interval/2 || k.isDraining()
}

// isDraining reports whether the roll-out has been decided and has not ended.
func (k *known) isDraining() bool {
	record := k.rollout.current()
	return record != nil && (record.Phase == DrainingOld || record.Phase == DrainingNew)
}

// chooseDecider returns the VM that decides about a service: of the VMs that serve and can be
// heard, the first in an order that is the same on all VMs.
func (m *Member) chooseDecider(service ident.ServiceID) (vm ident.VMID, found bool) {
	highest := uint64(0)
	for _, candidate := range m.latest.Serving {
		if candidate == m.self && !m.latest.Fresh || candidate != m.self && (m.latest.Now < m.avoided[candidate] || m.latest.Silent(candidate)) {
			continue
		}
		if rank := m.rankOf(service, candidate); !found || rank > highest {
			vm, highest, found = candidate, rank, true
		}
	}
	return vm, found
}

func (m *Member) rankOf(service ident.ServiceID, vm ident.VMID) uint64 {
	key := rankKey{service, vm}
	if rank, ok := m.ranks[key]; ok {
		return rank
	}
	if len(m.ranks) >= maxRanks {
		clear(m.ranks)
	}
	h := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(string(service) + "\x00" + string(vm)))
	rank := h.Sum64()
	// FNV differs little for ids that differ in the last character.
	rank ^= rank >> 33
	rank *= 0xff51afd7ed558ccd
	rank ^= rank >> 33
	m.ranks[key] = rank
	return rank
}

// forgetOld forgets the reports that are not passed on any more.
func (k *known) forgetOld(now time.Duration) {
	maps.DeleteFunc(k.relayed, func(_ processID, r relayedReport) bool { return now-r.at > relayTime })
}

// recentReports returns the reports to pass on.
func (k *known) recentReports() []Report {
	var reports []Report
	for _, r := range k.relayed {
		reports = append(reports, r.report)
	}
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Boot, b.Boot)) })
	return reports
}

// decide makes a decision of this VM, and returns what is to be stored.
func (m *Member) decide(service ident.ServiceID, k *known) *Write {
	s := &m.latest
	if k.decider == nil {
		k.decider = NewDecider(service, m.bounds())
	}
	k.decider.bounds = m.bounds()
	k.decider.start(s.Now, k.rollout.Order)
	for _, r := range k.relayed {
		k.decider.Observe(r.at, r.report)
	}
	targets, others := s.Servers(service, k.rollout.Order.Version)
	decision := k.decider.Decide(Input{
		Now: s.Now, WallMillis: s.WallMillis, Rollout: k.rollout, Members: s.Serving, Targets: targets, Others: others,
	})
	k.share, k.repliedAt, k.hasReply = decision.Share, s.Now, true
	return decision.Write
}

// InitialPermit returns what a VM may send that knows only what the store holds.
func InitialPermit(r *Rollout) Permit {
	p := Permit{Version: r.Order.Version, Position: r.Order.Position}
	if record := r.current(); record != nil {
		p.Seq = record.Seq
		if record.Phase.usesTargetOnly() {
			p.Mode = TargetOnly
		}
	}
	return p
}

// permit returns what this VM may send now. A reply permits requests to the new version for
// length.
func (k *known) permit(now, length time.Duration) Permit {
	p := InitialPermit(&k.rollout)
	record := k.rollout.current()
	if record == nil || p.Mode == TargetOnly || record.Phase.usesOthersOnly() || !k.hasReply {
		return p
	}
	p.Until = k.repliedAt + length
	if now < p.Until && k.share > 0 {
		p.Mode, p.Share, p.Proven = Shared, k.share, record.Phase == Moving
	}
	return p
}

// HandleReport adds reports that another VM sent, and returns the replies. A VM that does not
// decide passes on what the deciding VM told it.
func (m *Member) HandleReport(now time.Duration, reports []Report) []Reply {
	var replies []Reply
	replied := coll.NewSet[ident.ServiceID]()
	for _, r := range reports {
		k := m.known[r.Service]
		if k != nil && r.Position == k.rollout.Order.Position && r.VM != m.self {
			id := processID{r.VM, r.Boot}
			if former, ok := k.relayed[id]; !ok || former.report.Number < r.Number {
				k.relayed[id] = relayedReport{r, now}
			}
		}
		if !replied.Has(r.Service) {
			replied.Add(r.Service)
			replies = append(replies, m.reply(now, k, r))
		}
	}
	return replies
}

func (m *Member) reply(now time.Duration, k *known, r Report) Reply {
	reply := Reply{Service: r.Service, Declined: true}
	if k == nil || r.Position != k.rollout.Order.Position || !k.hasReply || now-k.repliedAt > time.Duration(permitPart*float64(m.bounds().Back)) {
		return reply
	}
	record := k.rollout.current()
	if record == nil {
		return reply
	}
	return Reply{Service: r.Service, Record: *record, Share: k.share, Age: now - k.repliedAt}
}

// HandleReply adds the replies to reports that were sent at sentAt to a VM.
func (m *Member) HandleReply(sentAt time.Duration, from ident.VMID, replies []Reply) {
	for _, r := range replies {
		k := m.known[r.Service]
		if k == nil {
			continue
		}
		if r.Declined || !r.Record.IsOf(&k.rollout.Order) {
			if k.rollout.current() != nil {
				m.avoided[from] = m.latest.Now + avoidTime
			}
			continue
		}
		record := k.rollout.current()
		if record == nil || record.Seq < r.Record.Seq {
			k.rollout.Record = &r.Record
			if k.isDraining() {
				// The roll-out ends once all VMs have acknowledged. A VM that has just reported
				// would do so a whole interval later. Half of one keeps the reports spread.
				k.reported -= m.bounds().interval(len(m.latest.Serving)) / 2
			}
		}
		at := sentAt - r.Age
		if !k.deciding && (!k.hasReply || at > k.repliedAt) && r.Record.Seq >= k.rollout.current().Seq {
			k.share, k.repliedAt, k.hasReply = r.Share, at, true
		}
	}
}

// forgetFailures forgets what has no effect any more, since the names of VMs change.
func (m *Member) forgetFailures(now time.Duration) {
	maps.DeleteFunc(m.avoided, func(_ ident.VMID, until time.Duration) bool { return now >= until })
	maps.DeleteFunc(m.failed, func(_ ident.VMID, at time.Duration) bool { return now-at >= resendTime })
}

// HandleFailure records that a VM did not reply. After the first time, what it has to know is sent
// again at once, except in the long first phase.
func (m *Member) HandleFailure(now time.Duration, to ident.VMID) {
	if at, ok := m.failed[to]; ok && now-at < resendTime {
		m.avoided[to] = now + avoidTime
		delete(m.failed, to)
		return
	}
	m.failed[to] = now
	for _, k := range m.known {
		if record := k.rollout.current(); record != nil && record.Phase != Exposing {
			k.reported = -1
		}
	}
}
