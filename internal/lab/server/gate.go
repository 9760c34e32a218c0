package server

import "sync"

// gate blocks the traffic of a frozen server. It is safe for concurrent use.
type gate struct {
	mu sync.Mutex
	// thawed is closed by thaw. It is nil while traffic may pass.
	thawed chan struct{}
}

// freeze blocks traffic until thaw is called.
func (g *gate) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.thawed == nil {
		g.thawed = make(chan struct{})
	}
}

// thaw lets blocked and new traffic pass.
func (g *gate) thaw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.thawed != nil {
		close(g.thawed)
		g.thawed = nil
	}
}

// wait blocks until traffic may pass or closed is closed.
func (g *gate) wait(closed <-chan struct{}) {
	g.mu.Lock()
	thawed := g.thawed
	g.mu.Unlock()
	if thawed == nil {
		return
	}
	select {
	case <-thawed:
	case <-closed:
	}
}
