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
	// policy is nil if the policy doesn't tell requests apart.
	policy choose.CostPolicy
	any    choose.Policy
}

func newCosts(policy choose.Policy) costs {
	byCost, _ := policy.(choose.CostPolicy)
	return costs{policy: byCost, any: policy}
}

// request returns what the cost of the request is learned by, without its shard.
func (c *costs) request(info *RequestInfo) cost.Request {
	if c.policy == nil {
		return cost.Request{}
	}
	return cost.NewRequest(info.Route.Name, info.Tenant, info.Kind)
}

func (c *costs) choose(now time.Time, s *shard, candidates []choose.Candidate) int {
	if c.policy == nil {
		return c.any.Choose(now, candidates)
	}
	return c.policy.ChooseFor(now, s.cost, candidates)
}

func (c *costs) sent(now time.Time, s *shard, replica *roster.Replica) {
	if c.policy == nil {
		c.any.Sent(now, replica.ID)
		return
	}
	c.policy.SentFor(now, s.cost, replica.ID)
}

func (c *costs) answered(now time.Time, s *shard, a *attempt, sample choose.Sample) {
	if c.policy == nil {
		c.any.Answered(now, a.server, sample)
		return
	}
	c.policy.AnsweredFor(now, s.cost, a.server, a.sentAt, sample)
}

func (c *costs) abandoned(now time.Time, s *shard, a *attempt) {
	if c.policy == nil {
		c.any.Abandoned(now, a.server, now.Sub(a.sentAt))
		return
	}
	c.policy.AbandonedFor(now, s.cost, a.server, a.sentAt)
}

// factors returns the ratio of the likely cost of a sub-request to that of its route, and the
// part of it that is due to the shard.
func (c *costs) factors(now time.Time, s *shard, replica *roster.Replica) (total, shard float64) {
	if c.policy == nil {
		return 1, 1
	}
	return c.policy.CostFactors(now, s.cost, replica.ID)
}
