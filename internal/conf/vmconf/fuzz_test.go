package vmconf_test

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/conf/strict"
	"github.com/samphirestair/samphirestair/internal/conf/vmconf"
)

func FuzzParse(f *testing.F) {
	for _, name := range []string{"testdata/short.ini", "testdata/faults.ini"} {
		data, err := os.ReadFile(name)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := vmconf.Parse(data, vmconf.Options{PolicyNames: policyNames})
		if err != nil {
			var faults strict.Faults
			require.ErrorAs(t, err, &faults)
			return
		}
		require.NotEmpty(t, s.VM.ID)
		require.LessOrEqual(t, s.Fleet.Heartbeat*3, s.Fleet.Lease)
	})
}
