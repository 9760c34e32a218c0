package hedge_test

import (
	"fmt"

	"github.com/samphirestair/samphirestair/internal/query/hedge"
)

func ExamplePolicies() {
	fmt.Println(hedge.Policies.Names())
	construct, err := hedge.Policies.Lookup("budget")
	if err != nil {
		fmt.Println(err)
		return
	}
	policy := construct(hedge.Options{Share: 0.5})
	policy.Sent("agent-desk", 2)
	fmt.Println(policy.Allow("agent-desk", hedge.Hedge), policy.Allow("agent-desk", hedge.Hedge))
	// Output:
	// [budget fleet none]
	// true false
}
