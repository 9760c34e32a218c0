package events

// Silent drops what fasthttp logs about the connections of others.
type DiscardLogger struct{}

// Printf implements fasthttp.Logger.
func (DiscardLogger) Printf(string, ...any) {}
