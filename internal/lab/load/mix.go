package load

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/lab/trace"
)

// defaultAction is the action of a flow of actions without a name.
const defaultAction = "book"

// Mix is the load for one service, as concurrent flows of requests.
type Mix struct {
	Service ident.ServiceID
	Flows   []Flow
}

// Flow is a stream of requests of one kind. Rate is in requests per second.
type Flow struct {
	Op     trace.Op
	Action string
	Rate   float64
}

// ParseMix parses "SERVICE:search=RATE,lookup=RATE,action=RATE" with rates in
// requests per second. The action is "book" unless it is named, as in
// "action/refund=RATE".
func ParseMix(text string) (Mix, error) {
	service, flows, ok := strings.Cut(text, ":")
	if !ok || service == "" {
		return Mix{}, errors.Newf("load: %q is not SERVICE:KIND=RATE,...", text)
	}
	mix := Mix{Service: ident.ServiceID(service)}
	for _, part := range strings.Split(flows, ",") {
		flow, err := parseFlow(part)
		if err != nil {
			return Mix{}, err
		}
		mix.Flows = append(mix.Flows, flow)
	}
	return mix, nil
}

func parseFlow(text string) (Flow, error) {
	kind, rateText, ok := strings.Cut(text, "=")
	if !ok {
		return Flow{}, errors.Newf("load: %q is not KIND=RATE", text)
	}
	rate, err := strconv.ParseFloat(rateText, 64)
	if err != nil || !(rate >= 0) {
		return Flow{}, errors.Newf("load: rate %q is not a number of at least 0", rateText)
	}
	op, action, named := strings.Cut(kind, "/")
	flow := Flow{Op: trace.Op(op), Action: action, Rate: rate}
	switch {
	case flow.Op == trace.OpAction && !named:
		flow.Action = defaultAction
	case flow.Op == trace.OpAction && action != "":
	case (flow.Op == trace.OpSearch || flow.Op == trace.OpLookup) && !named:
	default:
		return Flow{}, errors.Newf("load: %q is not search, lookup, action or action/NAME", kind)
	}
	return flow, nil
}
