package typos_test

import (
	"fmt"

	"github.com/samphirestair/samphirestair/internal/base/typos"
)

func ExampleSuggest() {
	known := []string{"callers", "directory"}
	fmt.Println("unknown key" + typos.Suggest("caller", known))
	fmt.Println("unknown key" + typos.Suggest("weight", known))
	// Output:
	// unknown key, did you mean "callers"?
	// unknown key
}
