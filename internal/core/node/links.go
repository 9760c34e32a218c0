package node

import (
	"net"

	"github.com/samphirestair/samphirestair/internal/link/block"
)

// controlFilter drops control calls over the links that a test has blocked.
type controlFilter struct {
	blocklist *block.Blocklist
}

// Allowed implements ctrl.Filter.
func (f controlFilter) Allowed(to string) bool {
	host, _, err := net.SplitHostPort(to)
	return err != nil || !f.blocklist.Blocks(host)
}
