package watch_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/lab/httpd"
	"github.com/samphirestair/samphirestair/internal/lab/trace"
	"github.com/samphirestair/samphirestair/internal/lab/watch"
)

func TestRecordsSerialsAndSkipsSilentProcesses(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	serial := 0
	app := httpd.NewApp()
	app.Get("/state/config", func(c fiber.Ctx) error {
		if serial++; serial == 3 {
			stop()
		}
		return c.JSON(map[string]int{"serial": serial})
	})
	daemon, err := httpd.Start("127.0.0.1:0", app)
	require.NoError(t, err)
	defer func() { require.NoError(t, daemon.Close()) }()

	history := &bytes.Buffer{}
	recorder := trace.NewRecorder(history, "watch")
	watch.Run(ctx, watch.Options{
		Targets:  []watch.Target{{VM: "vm-a", AdminAddress: daemon.Address()}, {VM: "vm-b", AdminAddress: "127.0.0.1:1"}},
		Interval: time.Millisecond,
		Recorder: recorder,
	})
	require.NoError(t, recorder.Close())
	events, err := trace.Read(history)
	require.NoError(t, err)
	require.Len(t, events, 3)
	for i, event := range events {
		require.Equal(t, trace.Config{VM: "vm-a", Serial: uint64(i + 1)}, *event.Config)
	}
}
