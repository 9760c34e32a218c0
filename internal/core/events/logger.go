package events

import (
	"io"
	"log/slog"
	"time"
)

// NewLogger returns a logger that writes JSON lines to out.
func NewLogger(out io.Writer, level slog.Leveler) *slog.Logger {
	return slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: level}))
}

// readable writes a duration with its unit. The handler would call a function of its
// options for each part of a line, also for those that it formats fast.
func formatDuration(attr slog.Attr) slog.Attr {
	if attr.Value.Kind() == slog.KindDuration {
		attr.Value = slog.StringValue(attr.Value.Duration().Round(time.Microsecond).String())
	}
	return attr
}
