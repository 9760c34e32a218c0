package httpc

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/samphirestair/samphirestair/internal/base/reply"
)

// HostPool holds the HTTP client of each address of other VMs. It is safe for concurrent use.
type HostPool struct {
	newHost func(address string) *fasthttp.HostClient

	mu    sync.Mutex
	hosts map[string]*fasthttp.HostClient
}

// NewHostPool returns a pool without connections. newHost creates the client of an address, whose
// connections should come from Dial.
func NewHostPool(newHost func(address string) *fasthttp.HostClient) *HostPool {
	return &HostPool{newHost: newHost, hosts: map[string]*fasthttp.HostClient{}}
}

// Host returns the client of an address.
func (p *HostPool) Host(address string) *fasthttp.HostClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	host := p.hosts[address]
	if host == nil {
		host = p.newHost(address)
		p.hosts[address] = host
	}
	return host
}

// Retain closes idle connections to addresses for which keep returns false, and removes their
// clients.
func (p *HostPool) Retain(keep func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, host := range p.hosts {
		if !keep(address) {
			host.CloseIdleConnections()
			delete(p.hosts, address)
		}
	}
}

// Dial opens a connection that fails on what is not a valid response, which the HTTP library might
// accept. It fails with ErrNotSent.
func Dial(address string, timeout time.Duration) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, errors.Wrapf(ErrNotSent, "%v", err)
	}
	return reply.NewConn(conn), nil
}
