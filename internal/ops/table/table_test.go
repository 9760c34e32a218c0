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
	for _, name := range []string{"state", "owner"} {
		data, err := os.ReadFile("testdata/" + name + ".json")
		require.NoError(t, err)
		var b strings.Builder
		require.NoError(t, table.WriteJSON(&b, data))
		goldie.New(t).Assert(t, name, []byte(b.String()))
	}
}

func TestWriteJSONOtherValues(t *testing.T) {
	for text, want := range map[string]string{"[]": "none\n", "3": "3\n", "null": "-\n", "[1,2]": "1\n2\n"} {
		var b strings.Builder
		require.NoError(t, table.WriteJSON(&b, []byte(text)))
		require.Equal(t, want, b.String())
	}
	require.Error(t, table.WriteJSON(&strings.Builder{}, []byte("{")))
}

func FuzzWriteJSON(f *testing.F) {
	f.Add(`{"a":[[1],{"b":{}},null],"c":{"d":{"e":1},"f":{}},"g":{"h":1,"i":{}}}`)
	f.Add(`{"a":[],"b":{},"c":[[]],"":[{}]}`)
	f.Fuzz(func(_ *testing.T, text string) {
		_ = table.WriteJSON(&strings.Builder{}, []byte(text))
	})
}
