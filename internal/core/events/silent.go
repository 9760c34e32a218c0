package events

// Silent drops what fasthttp logs about the connections of others.
type Silent struct{}

// Printf implements fasthttp.Logger.
func (Silent) Printf(string, ...any) {}
