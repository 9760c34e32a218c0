package near_test

import (
	"fmt"

	"github.com/samphirestair/samphirestair/internal/base/near"
)

func ExampleSuggest() {
	known := []string{"callers", "directory"}
	fmt.Println("unknown key" + near.Suggest("caller", known))
	fmt.Println("unknown key" + near.Suggest("weight", known))
	// Output:
	// unknown key, did you mean "callers"?
	// unknown key
}
