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

// formatDuration turns a duration into text with its unit, rounded to microseconds;
// other attributes stay. The ReplaceAttr option of the handler would be slower, because
// the handler calls it for every attribute.
func formatDuration(attr slog.Attr) slog.Attr {
	if attr.Value.Kind() == slog.KindDuration {
		attr.Value = slog.StringValue(attr.Value.Duration().Round(time.Microsecond).String())
	}
	return attr
}
