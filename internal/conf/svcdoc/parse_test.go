package svcdoc_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/conf/strict"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
)

func read(t testing.TB, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name))
	require.NoError(t, err)
	return data
}

func TestFormatOfParsedDocument(t *testing.T) {
	d, err := svcdoc.Parse(read(t, "good.ini"))
	require.NoError(t, err)
	goldie.New(t).Assert(t, "good", svcdoc.Format(d))

	again, err := svcdoc.Parse(svcdoc.Format(d))
	require.NoError(t, err)
	require.Equal(t, d, again)
}

func TestAllFaultsAreReported(t *testing.T) {
	for _, name := range []string{"faults", "empty"} {
		_, err := svcdoc.Parse(read(t, name+".ini"))
		var faults strict.Faults
		require.ErrorAs(t, err, &faults)
		goldie.New(t).Assert(t, name, []byte(err.Error()+"\n"))
	}
}

func FuzzParse(f *testing.F) {
	f.Add(read(f, "good.ini"))
	f.Add(read(f, "faults.ini"))
	f.Add([]byte("[service]\nname = \"a\"\n[DEFAULT]\nx = %(y)s\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := svcdoc.Parse(data)
		if err != nil {
			var faults strict.Faults
			require.ErrorAs(t, err, &faults)
			return
		}
		again, err := svcdoc.Parse(svcdoc.Format(d))
		require.NoError(t, err)
		require.Equal(t, d, again)
	})
}
