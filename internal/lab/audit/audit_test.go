package audit_test

import (
	"os"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/lab/audit"
	"github.com/samphirestair/samphirestair/internal/lab/trace"
)

func check(t *testing.T, property, file string) audit.Finding {
	t.Helper()
	events, err := trace.ReadFiles(file)
	require.NoError(t, err)
	finding, err := audit.Check(property, audit.New(events))
	require.NoError(t, err)
	return finding
}

// TestCheckers runs each checker on a history in which its property holds, on
// one with every kind of violation that the checker detects, and on an empty
// one.
func TestCheckers(t *testing.T) {
	golden := goldie.New(t)
	for _, property := range audit.Names() {
		t.Run(property, func(t *testing.T) {
			good := check(t, property, "testdata/"+property+".good.jsonl")
			require.Equal(t, audit.Held, good.Verdict, good)
			golden.Assert(t, property+".good", []byte(good.String()))

			bad := check(t, property, "testdata/"+property+".bad.jsonl")
			require.Equal(t, audit.Broken, bad.Verdict, bad)
			golden.Assert(t, property+".bad", []byte(bad.String()))

			none := check(t, property, os.DevNull)
			require.Equal(t, audit.NotExercised, none.Verdict)
		})
	}
}

// TestUnknownProperty expects an error that lists the known properties.
func TestUnknownProperty(t *testing.T) {
	_, err := audit.Check("speed", audit.New(nil))
	require.ErrorContains(t, err, "snapshot")
}
