package events

// DiscardLogger discards what fasthttp logs, such as errors of single connections.
type DiscardLogger struct{}

// Printf implements fasthttp.Logger.
func (DiscardLogger) Printf(string, ...any) {}
