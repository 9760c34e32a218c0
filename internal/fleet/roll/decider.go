package roll

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/plat/depot"
)

const (
	// exposingShare is the part of the exposure bound that is used. The rest covers requests
	// that VMs send before they know of the order.
	exposingShare = 0.75
	// moveAfter is the part of the duration from which on the share may grow: a version may
	// turn bad late. unprovenAfter is when it grows although some routes had few requests or there
	// is a slight doubt, and giveUpAfter when a version without servers or without responses is
	// rolled back.
	moveAfter, unprovenAfter, giveUpAfter = 0.7, 0.75, 0.87
	// A version that might be bad has time to prove good until drainShare of the duration, drainTime,
	// and drainTimePerVM for each VM are left. The first covers a fault meanwhile, the second the delay
	// of the order and the draining itself; many VMs report less often.
	drainShare     = 0.1
	drainTime      = 2 * time.Second
	drainTimePerVM = 6 * time.Millisecond
	// aloneTime is the time after which a version is used that was the only one all the time. Until
	// then, registrations of the others may be missing.
	aloneTime = 3 * time.Second
	// periodTime is the longest period in which responses are compared. Recent ones are those of the
	// present period and the one before. A version that turns bad late is noticed by them.
	periodTime = 5 * time.Second
	// settleTime is the time between the last acknowledgement and the final status. Backend
	// servers notice within half a second that a cancelled request has no caller.
	settleTime = 600 * time.Millisecond
	// ackPatience is the time after which a VM without reports holds no roll-out up: by then
	// its permit and its view of the store are too old to be used.
	ackPatience = 8 * time.Second
	// gonePatience replaces ackPatience for a VM without a registration: it has no contact with
	// the store, either. It is longer than any permit.
	gonePatience = 4 * time.Second
	// writeRetry is the time after which a write whose outcome is unknown is decided anew.
	writeRetry = 700 * time.Millisecond
)

// Input is what a decision depends on beside the reports.
type Input struct {
	Now time.Duration
	// WallMillis is the wall clock in Unix milliseconds.
	WallMillis int64
	Rollout    Rollout
	// Members are the VMs that serve callers.
	Members []ident.VMID
	// Targets and Others are the numbers of servers of the new version and of the others that
	// may get requests.
	Targets, Others int
}

// Write asks to store a record, if the one in the store is at position Require, and, in the
// same transaction, the status for the operator.
type Write struct {
	Service ident.ServiceID
	Record  Record
	Require depot.Position
	// HasStatus is set if the status changes, too.
	HasStatus bool
}

// Decision is the outcome of one step. Write is nil if nothing is to be written.
type Decision struct {
	// Share is the part of the requests that the new version may get.
	Share float64
	Write *Write
}

// source is what one process of a VM has reported.
type source struct {
	report Report
	at     time.Duration
	// closed are the counts when the last period was closed.
	closed map[Bucket]Counts
}

// Decider decides about the roll-out of one service. It is not safe for concurrent use.
type Decider struct {
	service ident.ServiceID
	// bounds limits what a version that is not proven gets.
	bounds Bounds

	order   Order
	started bool
	// startedAt is when this VM began to decide, and began when the order was written, as far as is
	// known.
	startedAt, began time.Duration
	// seq is the number of the last record seen, and phaseSince when it was first seen.
	seq uint64
	// members is the number of VMs that serve.
	members    int
	phaseSince time.Duration
	sources    map[processID]*source
	// closedAt is when the last period was closed, and recentSince when it began. past sums up all
	// closed periods, sinceGrowth those since the share last grew, and last is the latest. They are nil
	// if there is none.
	closedAt, recentSince   time.Duration
	past, sinceGrowth, last *period
	// judgedAt is when the versions were last compared.
	judgedAt time.Duration
	growth   growth
	// hadOthers is set once there were servers of other versions.
	hadOthers bool
	// halted is why the new version may not get requests any more, before that is stored.
	halted string
	// idleSince is when all VMs were first known to have acknowledged, or negative.
	idleSince time.Duration
	// written is the record that was last asked to be stored, at writtenAt.
	written   *Write
	writtenAt time.Duration
}

type processID struct {
	vm   ident.VMID
	boot uint64
}

// NewDecider returns a decider for a service. bounds limits what a version gets that is not
// proven.
func NewDecider(service ident.ServiceID, bounds Bounds) *Decider {
	return &Decider{service: service, bounds: bounds, idleSince: -1}
}

// Observe adds the report of a VM, unless it is older than the last one.
func (d *Decider) Observe(now time.Duration, r Report) {
	if !d.started || r.Position != d.order.Position {
		return
	}
	id := processID{r.VM, r.Boot}
	s := d.sources[id]
	if s == nil {
		s = &source{}
		d.sources[id] = s
	}
	if s.report.Number >= r.Number && s.at > 0 {
		return
	}
	s.report, s.at = r, now
}

// start begins anew if the order is another one.
func (d *Decider) start(now time.Duration, order Order) {
	if d.started && d.order == order {
		return
	}
	*d = Decider{
		service: d.service, bounds: d.bounds, order: order, started: true,
		startedAt: now, began: now, closedAt: now, recentSince: now, idleSince: -1, sources: map[processID]*source{},
	}
}

// Decide returns what is to be done now.
func (d *Decider) Decide(in Input) Decision {
	d.enter(in)
	if in.Now-d.closedAt >= periodTime {
		d.closePeriod(in.Now)
	}
	record := in.Rollout.current()
	next, reason := d.next(in, record)
	if next == DrainingNew && record.Phase != DrainingNew {
		d.halted = reason
	}
	if next == "" && in.Rollout.Behind && record != nil {
		next, reason = record.Phase, record.Reason
	}
	decision := Decision{Share: d.currentShare(in.Now, record)}
	if next != "" && (record == nil || next != record.Phase || in.Rollout.Behind) {
		decision.Write = d.write(in, record, next, reason)
	}
	return decision
}

// enter notes when the phase changed.
func (d *Decider) enter(in Input) {
	d.start(in.Now, in.Rollout.Order)
	d.members = len(in.Members)
	d.hadOthers = d.hadOthers || in.Others > 0
	record := in.Rollout.current()
	if record == nil || record.Seq == d.seq {
		return
	}
	d.seq, d.phaseSince, d.idleSince = record.Seq, in.Now, -1
	// The wall clock counts only when the record is first seen: later it may jump.
	elapsed := time.Duration(max(record.ElapsedMillis, in.WallMillis-record.BeganMillis)) * time.Millisecond
	if d.written == nil || d.written.Record.Seq != record.Seq {
		d.began = min(d.began, in.Now-elapsed)
	}
	d.written = nil
}

// closePeriod ends the present period, from whose end on responses are compared anew.
func (d *Decider) closePeriod(now time.Duration) {
	present := d.present()
	d.closedAt, d.recentSince = now, d.closedAt
	d.past, d.last, d.sinceGrowth = d.past.plus(present), present, d.sinceGrowth.plus(present)
	for _, s := range d.sources {
		s.closed = s.report.Counts
	}
}

// present compares the responses since the last period was closed.
func (d *Decider) present() *period {
	total := evidence{}
	for _, s := range d.sources {
		total.add(s.report.Counts)
	}
	return newPeriod(d.collect(), total)
}

// currentShare returns the share of the requests that the new version may get.
func (d *Decider) currentShare(now time.Duration, record *Record) float64 {
	switch {
	case record == nil || d.halted != "" || record.Phase.usesOthersOnly():
		return 0
	case record.Phase.usesTargetOnly():
		return 1
	case record.Phase == Exposing:
		return exposingShare * d.bounds.Share
	default:
		return d.movingShare(now)
	}
}

// next returns the phase that the roll-out should be in and why, or "" if it stays.
func (d *Decider) next(in Input, record *Record) (Phase, string) {
	if record == nil {
		return Exposing, "the order was read"
	}
	switch record.Phase {
	case DrainingNew:
		if !d.isDrained(in, record) {
			return "", ""
		}
		return RolledBack, record.Reason
	case DrainingOld:
		drained := d.isDrained(in, record)
		if reason := d.reconsider(in, drained); reason != "" {
			return DrainingNew, reason
		}
		if !drained {
			return "", ""
		}
		return Completed, record.Reason
	case Exposing, Moving:
		if d.halted != "" {
			return DrainingNew, d.halted
		}
		return d.judgeVersion(in, record)
	default:
		return "", ""
	}
}

// reconsider returns why a version that gets all requests has turned bad, or "". Once the roll-out is
// completed, operators stop the servers of the other versions. A doubt from before that stage, such as
// one that came up while the stage was being written, doesn't count. isLast is set if the roll-out is
// completed otherwise; else the versions are compared twice between two reports of a VM.
func (d *Decider) reconsider(in Input, isLast bool) string {
	isDue := isLast || in.Now-d.judgedAt >= d.bounds.interval(d.members)/2
	if in.Others == 0 || !isDue {
		return ""
	}
	v := d.judge(in.Now)
	if bad := v.bad(); bad != nil {
		return bad.describe()
	}
	return ""
}

// verdicts are the judgements of the new version by all responses, by those since the share last
// grew, and by the recent ones.
type verdicts struct {
	whole, grown, late verdict
}

// judge compares the versions by what all VMs have reported.
func (d *Decider) judge(now time.Duration) verdicts {
	d.judgedAt = now
	present := d.present()
	v := verdicts{
		whole: d.past.plus(present).judge(d.bounds.Share * exposingShare),
		late:  d.last.plus(present).judge(0),
	}
	if d.growth.begun {
		v.grown = d.sinceGrowth.plus(present).judge(0)
	}
	return v
}

// bad returns the first judgement by which the version is bad, or nil.
func (v *verdicts) bad() *verdict {
	for _, one := range []*verdict{&v.whole, &v.grown, &v.late} {
		if one.bad {
			return one
		}
	}
	return nil
}

// judgeVersion decides from the responses whether the share of the new version grows or ends.
func (d *Decider) judgeVersion(in Input, record *Record) (Phase, string) {
	v := d.judge(in.Now)
	if bad := v.bad(); bad != nil {
		return DrainingNew, bad.describe()
	}
	whole, grown, late := v.whole, v.grown, v.late
	if !d.isInformed(in) {
		return "", ""
	}
	if d.isAlone(in, &whole) {
		return DrainingOld, "there are no servers of other versions"
	}
	elapsed := float64(in.Now-d.began) / float64(max(d.order.Duration, 1))
	if elapsed < moveAfter {
		return "", ""
	}
	d.growth.note(&whole, &late, &grown)
	doubtful := whole.isDoubtful(elapsed) || late.isDoubtful(elapsed) || grown.isDoubtful(elapsed)
	switch {
	case doubtful && in.Now >= d.lastMoment():
		return DrainingNew, "no time left to be sure: " + mostSuspect(&whole, &grown, &late).describe()
	case record.Phase == Moving:
		return d.grow(in.Now, doubtful, &whole, &grown)
	case doubtful:
		return "", ""
	default:
		isShort := in.Now >= d.lastMoment()-time.Duration(len(movingShares))*d.stepTime()
		return beginMoving(elapsed, in.Targets > 0 && whole.responded, whole.sufficient || isShort)
	}
}

// isInformed reports whether all VMs that serve have reported, without which a VM that has just
// begun to decide knows nothing in favour of the version or against it.
func (d *Decider) isInformed(in Input) bool {
	if in.Now-d.startedAt >= gonePatience {
		return true
	}
	reported := coll.NewSet[ident.VMID]()
	for id := range d.sources {
		reported.Add(id.vm)
	}
	for _, vm := range in.Members {
		if !reported.Has(vm) {
			return false
		}
	}
	return true
}

// isAlone reports whether there never were servers of other versions.
func (d *Decider) isAlone(in Input, whole *verdict) bool {
	return !d.hadOthers && !whole.compared && in.Targets > 0 && in.Now-d.began >= aloneTime
}

// lastMoment returns the time at which the draining of either version has to begin.
func (d *Decider) lastMoment() time.Duration {
	drain := time.Duration(drainShare*float64(d.order.Duration)) + drainTime + time.Duration(d.members)*drainTimePerVM
	return d.began + d.order.Duration - drain
}

// beginMoving decides about an exposed version without doubt. elapsed is the part of the duration,
// responds is set if the version has servers that respond, and sufficient if it has responded often
// enough on each route, or there is no time to wait for that.
func beginMoving(elapsed float64, responds, sufficient bool) (Phase, string) {
	switch {
	case !responds && elapsed >= giveUpAfter:
		return DrainingNew, "no responses of the new version"
	case !responds:
		return "", ""
	case sufficient:
		return Moving, "as good as the other versions on each route"
	case elapsed >= unprovenAfter:
		return Moving, "no bad responses, but few on some routes"
	default:
		return "", ""
	}
}

// collect returns the responses by VM since the last period was closed.
func (d *Decider) collect() map[ident.VMID]evidence {
	byVM := map[ident.VMID]evidence{}
	for id, s := range d.sources {
		if byVM[id.vm] == nil {
			byVM[id.vm] = evidence{}
		}
		present := make(map[Bucket]Counts, len(s.report.Counts))
		for bucket, c := range s.report.Counts {
			before := s.closed[bucket]
			present[bucket] = Counts{Target: c.Target.since(&before.Target), Others: c.Others.since(&before.Others)}
		}
		byVM[id.vm].add(present)
	}
	return byVM
}

// isDrained reports whether the losing servers have no requests and get none, and have not for
// settleTime.
func (d *Decider) isDrained(in Input, record *Record) bool {
	if !d.isAcknowledged(in, record) {
		d.idleSince = -1
		return false
	}
	if d.idleSince < 0 {
		d.idleSince = in.Now
	}
	return in.Now-d.idleSince >= settleTime
}

// isAcknowledged reports whether all VMs act on the record and have no requests at the losing
// servers. VMs that have not reported for ackPatience are not waited for.
func (d *Decider) isAcknowledged(in Input, record *Record) bool {
	latest := map[ident.VMID]*source{}
	for id, s := range d.sources {
		if known := latest[id.vm]; known == nil || s.at > known.at {
			latest[id.vm] = s
		}
	}
	members := coll.NewSet(in.Members...)
	for vm := range members {
		if latest[vm] == nil && in.Now-d.phaseSince < ackPatience {
			return false
		}
	}
	for vm, s := range latest {
		running, patience := s.report.OthersRunning, gonePatience
		if record.Phase == DrainingNew {
			running = s.report.TargetRunning
		}
		if members.Has(vm) {
			patience = ackPatience
		}
		if (s.report.Seq < record.Seq || running > 0) && in.Now-s.at < patience {
			return false
		}
	}
	return true
}

// write returns the request to store the next phase, or nil while an earlier one may still
// take effect.
func (d *Decider) write(in Input, record *Record, phase Phase, reason string) *Write {
	if d.written != nil && in.Now-d.writtenAt < writeRetry {
		return nil
	}
	next := Record{
		Order: d.order, Phase: phase, Seq: 1, Reason: reason,
		BeganMillis: in.WallMillis, ElapsedMillis: (in.Now - d.began).Milliseconds(),
	}
	if former := in.Rollout.Record; former != nil {
		next.Seq = former.Seq + 1
	}
	if record != nil {
		next.BeganMillis = record.BeganMillis
	}
	d.written = &Write{Service: d.service, Record: next, Require: in.Rollout.Revision, HasStatus: record == nil || phase.IsFinal() || in.Rollout.Behind}
	d.writtenAt = in.Now
	return d.written
}
