package server

import "sync"

// gate holds up the traffic of a frozen server. It is safe for concurrent use.
type gate struct {
	mu     sync.Mutex
	frozen chan struct{}
}

// freeze holds up traffic until thaw.
func (g *gate) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen == nil {
		g.frozen = make(chan struct{})
	}
}

// thaw lets traffic pass.
func (g *gate) thaw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen != nil {
		close(g.frozen)
		g.frozen = nil
	}
}

// wait returns when traffic may pass or when closed is closed.
func (g *gate) wait(closed <-chan struct{}) {
	g.mu.Lock()
	frozen := g.frozen
	g.mu.Unlock()
	if frozen == nil {
		return
	}
	select {
	case <-frozen:
	case <-closed:
	}
}
