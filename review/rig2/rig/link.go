package rig

import (
	"net"
	"sync/atomic"
	"time"
)

// Link is a network link to one address. While it is cut, bytes are held back in both directions.
type Link struct {
	Address string

	target string
	cut    atomic.Bool
	// silenced is how often the open connections went silent.
	silenced atomic.Int64
}

// NewLink starts a link to an address.
func NewLink(target string) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{Address: listener.Addr().String(), target: target}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			go l.connect(near)
		}
	}()
	return l, nil
}

// SetCut cuts or heals the link.
func (l *Link) SetCut(cut bool) { l.cut.Store(cut) }

// SilenceOpen makes all open connections silent for good: no byte passes and none is closed. New
// connections work.
func (l *Link) SilenceOpen() { l.silenced.Add(1) }

// await returns once bytes of a connection may pass that was opened after the given number of
// silences.
func (l *Link) await(openedAfter int64) {
	for l.cut.Load() || l.silenced.Load() != openedAfter {
		time.Sleep(5 * time.Millisecond)
	}
}

func (l *Link) connect(near net.Conn) {
	openedAfter := l.silenced.Load()
	l.await(openedAfter)
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = near.Close()
		return
	}
	go l.copy(near, far, openedAfter)
	l.copy(far, near, openedAfter)
}

func (l *Link) copy(to, from net.Conn, openedAfter int64) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.await(openedAfter)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}
