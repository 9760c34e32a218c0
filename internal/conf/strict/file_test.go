package strict_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/conf/strict"
)

func ExampleFile_Err() {
	file := strict.Parse([]byte("[limits]\nslot = 2\nwait = 3\n"))
	limits := file.Section("limits", true)
	limits.Int("slots", coll.Some(1), 1, 10)
	limits.Duration("wait", coll.None[time.Duration](), 0, time.Second)
	fmt.Println(file.Err())
	// Output:
	// line 2: [limits] slot: unknown key, did you mean "slots"?; allowed: slots, wait
	// line 3: [limits] wait: "3" is not allowed; allowed: a time with its unit (us, ms, s, m) from 0s to 1s
}

func TestGettersCanonicalizeAddresses(t *testing.T) {
	file := strict.Parse([]byte("[a]\nx = [0:0::1]:80\ny = 10.0.0.1:0\nz = 0.0.0.0\nu = http://h:1/\n"))
	section := file.Section("a", true)
	require.Equal(t, "[::1]:80", section.Address("x", coll.None[string]()))
	require.Empty(t, section.Address("y", coll.None[string]()))
	require.Empty(t, section.IP("z", coll.None[string]()))
	require.Equal(t, "http://h:1", section.URL("u", coll.None[string]()))

	var faults strict.Faults
	require.ErrorAs(t, file.Err(), &faults)
	require.Len(t, faults, 2)
	require.Equal(t, []int{3, 4}, []int{faults[0].Line, faults[1].Line})
}

func TestLargeFileIsRejected(t *testing.T) {
	file := strict.Parse([]byte(strings.Repeat("# comment\n", 60000)))
	require.ErrorContains(t, file.Err(), "600000 bytes")
}

func TestValuesAreNotUnescapedOrExpanded(t *testing.T) {
	file := strict.Parse([]byte("\xef\xbb\xbf[a]\nx = b\\\ny = c # note\nz = %(x)s\n[a.b]\n"))
	section := file.Section("a", true)
	section.Identifier("x", coll.None[string]())
	require.Equal(t, "c", section.Identifier("y", coll.None[string]()))
	section.Identifier("z", coll.None[string]())
	require.ErrorContains(t, file.Err(), `x: "b\\" is not allowed`)
	require.ErrorContains(t, file.Err(), `z: "%(x)s" is not allowed`)
	require.ErrorContains(t, file.Err(), `"[a.b]" is no section header`)
}
