package fetch_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/lab/faulty"
	"github.com/samphirestair/samphirestair/internal/ops/fetch"
)

// Guards against an invalid response that operators see as that of a VM.
func TestInvalidResponsesAreUnavailable(t *testing.T) {
	for name, response := range faulty.Responses("", "{}") {
		t.Run(name, func(t *testing.T) {
			address, _ := faulty.Serve(t, func(string) string { return response })
			_, err := fetch.New().Get(t.Context(), address, fetch.PathState)
			require.ErrorIs(t, err, fetch.ErrUnavailable)
		})
	}
}
