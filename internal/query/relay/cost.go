package relay

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/fleet/roster"
	"github.com/samphirestair/samphirestair/internal/query/choose"
	"github.com/samphirestair/samphirestair/internal/query/cost"
)

// costs passes the likely cost of the sub-requests of a query to the choice of servers, if the
// policy tells requests apart.
type costs struct {
	policy choose.Policy
	// byCost is policy, or nil if that doesn't tell requests apart.
	byCost choose.CostPolicy
}

func newCosts(policy choose.Policy) costs {
	byCost, _ := policy.(choose.CostPolicy)
	return costs{policy: policy, byCost: byCost}
}

// request returns what the cost of the request is learned by, without its shard.
func (c *costs) request(info *RequestInfo) cost.Request {
	if c.byCost == nil {
		return cost.Request{}
	}
	return cost.NewRequest(info.Route.Name, info.Tenant, info.Kind)
}

func (c *costs) choose(now time.Time, s *shard, candidates []choose.Candidate) int {
	if c.byCost == nil {
		return c.policy.Choose(now, candidates)
	}
	return c.byCost.ChooseFor(now, s.cost, candidates)
}

func (c *costs) sent(now time.Time, s *shard, replica *roster.Replica) {
	if c.byCost == nil {
		c.policy.Sent(now, replica.ID)
		return
	}
	c.byCost.SentFor(now, s.cost, replica.ID)
}

func (c *costs) answered(now time.Time, s *shard, a *attempt, sample choose.Sample) {
	if c.byCost == nil {
		c.policy.Answered(now, a.server, sample)
		return
	}
	c.byCost.AnsweredFor(now, s.cost, a.server, a.sentAt, sample)
}

func (c *costs) abandoned(now time.Time, s *shard, a *attempt) {
	if c.byCost == nil {
		c.policy.Abandoned(now, a.server, now.Sub(a.sentAt))
		return
	}
	c.byCost.AbandonedFor(now, s.cost, a.server, a.sentAt)
}

// factors returns the ratio of the likely cost of a sub-request to that of its route, and the
// part of it that is due to the shard.
func (c *costs) factors(now time.Time, s *shard, replica *roster.Replica) (total, shard float64) {
	if c.byCost == nil {
		return 1, 1
	}
	return c.byCost.CostFactors(now, s.cost, replica.ID)
}
