package table_test

import (
	"os"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/ops/table"
)

func ExampleTable() {
	t := table.New("ZONE", "SERVERS")
	t.Add("vantaa", "10")
	t.Add("espoo", "9")
	_ = t.Write(os.Stdout)
	// Output:
	// ZONE    SERVERS
	// vantaa  10
	// espoo   9
}

func TestWriteJSON(t *testing.T) {
	data, err := os.ReadFile("testdata/state.json")
	require.NoError(t, err)
	var b strings.Builder
	require.NoError(t, table.WriteJSON(&b, data))
	goldie.New(t).Assert(t, "state", []byte(b.String()))
}

func TestOtherThanObjectsAreRefused(t *testing.T) {
	for _, text := range []string{"", "[]", "3", "{"} {
		require.Error(t, table.WriteJSON(&strings.Builder{}, []byte(text)), text)
	}
}

func FuzzWriteJSON(f *testing.F) {
	f.Add(`{"a":[[1],{"b":{}},null],"c":{"d":{"e":1},"f":{}},"g":{"h":1,"i":{}}}`)
	f.Add(`{"a":[],"b":{},"c":[[]],"":[{}]}`)
	f.Fuzz(func(_ *testing.T, text string) {
		_ = table.WriteJSON(&strings.Builder{}, []byte(text))
	})
}
