package merge_test

import (
	"fmt"

	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/query/merge"
)

func ExampleTopK() {
	top := merge.NewTopK(2, 3)
	top.Add(0, []msgs.Hit{{ID: "sofa", Score: 1}})
	top.Add(2, []msgs.Hit{{ID: "table", Score: 3}, {ID: "bed", Score: 2}})
	again := top.Add(2, []msgs.Hit{{ID: "table", Score: 3}})
	for _, hit := range top.Hits() {
		fmt.Println(hit.ID, hit.Score)
	}
	fmt.Println(top.Answered(), again)
	// Output:
	// table 3
	// bed 2
	// 2 false
}
