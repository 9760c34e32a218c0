package tier

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/boot"
	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/roll"
	"github.com/samphirestair/samphirestair/internal/fleet/roster"
	"github.com/samphirestair/samphirestair/internal/link/tally"
	"github.com/samphirestair/samphirestair/internal/plat/depot"
)

const (
	// maxDeciderViewAge is how much older than the catch-up time the view of a VM may be that
	// decides about roll-outs.
	maxDeciderViewAge = time.Second
	// rolloutWriteTimeout bounds a write of the stage of a roll-out.
	rolloutWriteTimeout = time.Second
)

// buildRollouts creates the part of this VM in roll-outs.
func (t *Tier) buildRollouts(self roster.Member) {
	bounds := func() roll.Bounds {
		settings := t.current.Load().Rollout
		return roll.Bounds{Share: settings.Share, Slack: settings.Slack, Back: settings.Back}
	}
	t.rollouts = tally.New(tally.Deps{
		Member: roll.NewMember(self.VM, self.BootID, bounds), Clock: boot.Now,
		Rollouts: t.followedRollouts, Situation: t.rolloutSituation, Permit: t.env.Exposures.SetPermits, Store: t.storeRollout,
		Address: t.peerAddress, Events: t.events,
	})
	for _, phase := range roll.Phases() {
		t.metrics.NewGauge(fmt.Sprintf("samphirestair_rollouts{stage=%q}", phase), func() float64 {
			return float64(t.rollouts.CountIn(phase))
		})
	}
}

// followedRollouts returns the roll-outs that this VM takes part in. A VM that stands by and
// doesn't follow all keys may hold orders that are long over.
func (t *Tier) followedRollouts() map[ident.ServiceID]roll.Rollout {
	if !t.registrar.Serving() && !t.follower.UpToDate() {
		return nil
	}
	return t.follower.View().Rollouts
}

// announceRollouts puts the roll-outs of a view into force before requests see it.
func (t *Tier) announceRollouts(view *roster.View) {
	t.env.Exposures.Announce(view.Rollouts)
}

// exposureSlack returns the exposure slack and the number of VMs that it is for.
func (t *Tier) exposureSlack() (slack float64, vms int) {
	return t.current.Load().Rollout.Slack, t.follower.View().ShareCount
}

// rolloutSituation returns what this VM knows beside the time and the roll-outs.
func (t *Tier) rolloutSituation() roll.Situation {
	now, view := time.Now(), t.follower.View()
	s := roll.Situation{
		WallMillis: now.UnixMilli(),
		Silent:     t.heartbeats.Detector().Silent,
		Fresh:      t.mayDecide(now),
		Servers: func(service ident.ServiceID, version string) (targets, others int) {
			for _, r := range view.Replicas(service) {
				switch {
				case r.Version != version:
					others++
				case !t.env.Health.IsDown(r.ID):
					targets++
				default:
				}
			}
			return targets, others
		},
		Count: func(report *roll.Report) { t.env.Exposures.Count(report, longestTimeout(view, report.Service)) },
	}
	for _, m := range view.Members {
		if m.Serving {
			s.Serving = append(s.Serving, m.VM)
		}
	}
	return s
}

// mayDecide reports whether the view is up to date enough to decide about roll-outs.
func (t *Tier) mayDecide(now time.Time) bool {
	age, known := t.follower.Age(now)
	return known && t.follower.UpToDate() && !t.gate.Draining() && t.follower.ConfirmedSinceStall(now) && age <= t.settings.Depot.Touch+maxDeciderViewAge
}

// longestTimeout returns the longest timeout of the routes that use a service.
func longestTimeout(view *roster.View, service ident.ServiceID) time.Duration {
	longest := time.Duration(0)
	if view.Table == nil {
		return longest
	}
	routes := view.Table.Config().Routes
	for i := range routes {
		if slices.Contains(routes[i].Services(), service) {
			longest = max(longest, routes[i].Timeout)
		}
	}
	return longest
}

// peerAddress returns the address of a VM for requests of other VMs, or "".
func (t *Tier) peerAddress(vm ident.VMID) string {
	for _, m := range t.follower.View().Members {
		if m.VM == vm {
			return m.PeerAddress
		}
	}
	return ""
}

// storeRollout writes the stage of a roll-out and, in the same transaction, its status, unless
// another VM wrote since this one read.
func (t *Tier) storeRollout(ctx context.Context, write roll.Write) error {
	ctx, cancel := context.WithTimeout(ctx, rolloutWriteTimeout)
	defer cancel()
	value, err := json.Marshal(write.Record)
	if err != nil {
		return errors.Wrap(err, "tier: encode the stage of a roll-out")
	}
	key := roster.RollKey(write.Service)
	w := depot.Write{Key: key, Value: value, Require: coll.Some(depot.Condition{Key: key, Revision: write.Require})}
	if write.HasStatus {
		statusKey, status, err := t.adapter.RolloutStatus(write.Service, &write.Record)
		if err != nil {
			return err
		}
		w.Others = []depot.KeyValue{{Key: statusKey, Value: status}}
	}
	begun := time.Now()
	position, err := t.adapter.Depot.Put(ctx, w)
	if errors.Is(err, depot.ErrConflict) {
		return err
	}
	t.follower.ReportCall(ctx, begun, err)
	if err == nil {
		t.follower.RecordOwnWrite(ctx, depot.Item{Key: key, Value: value, Revision: position})
	}
	return err
}
