package tier

import (
	"fmt"
	"time"

	"github.com/samphirestair/samphirestair/internal/query/choose"
)

// registerCostMetrics registers what is believed of all backend servers together. What is
// believed of one server or route is in the state dump, since their number is not bounded.
func (t *Tier) registerCostMetrics() {
	for name, value := range map[string]func(s *choose.CostState) float64{
		`samphirestair_choices_total{by="cost"}`:   func(s *choose.CostState) float64 { return float64(s.ByCost) },
		`samphirestair_choices_total{by="expect"}`: func(s *choose.CostState) float64 { return float64(s.ByExpect) },
		`samphirestair_cost_servers`:               func(s *choose.CostState) float64 { return float64(s.Reporting) },
		`samphirestair_cost_slowdown_percent`:      func(s *choose.CostState) float64 { return float64(s.Fleet.Slowdown) },
		`samphirestair_cost_time_ratio`:            func(s *choose.CostState) float64 { return s.Fleet.TimeRatio },
		fmt.Sprintf(costFadeMetric, "slowdown"):    func(s *choose.CostState) float64 { return s.Fleet.SlowdownFade.Seconds() },
		fmt.Sprintf(costFadeMetric, "queue"):       func(s *choose.CostState) float64 { return s.Fleet.QueueFade.Seconds() },
	} {
		t.metrics.NewGauge(name, func() float64 {
			state := t.cost.CostSummary(time.Now())
			return value(&state)
		})
	}
}

const costFadeMetric = "samphirestair_cost_fade_seconds{figure=%q}"
