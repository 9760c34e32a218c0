package vmconf_test

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/conf/vmconf"
)

var iniBlock = regexp.MustCompile("(?s)```ini\n(.*?)```")

// iniExample returns the only INI block of a documentation page.
func iniExample(t *testing.T, page string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("../../../docs", page))
	require.NoError(t, err)
	found := iniBlock.FindAllSubmatch(data, -1)
	require.Len(t, found, 1)
	return found[0][1]
}

func TestExamplesInTheDocumentation(t *testing.T) {
	_, err := vmconf.Parse(iniExample(t, "SETTINGS.md"), vmconf.Options{PolicyNames: policyNames})
	require.NoError(t, err)
	_, err = svcdoc.Parse(iniExample(t, "DOCUMENTS.md"))
	require.NoError(t, err)
	_, err = vmconf.Load("../../../examples/settings/vm-1.ini", vmconf.Options{PolicyNames: policyNames})
	require.NoError(t, err)
}
