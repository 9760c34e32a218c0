package node

import (
	"net"

	"github.com/samphirestair/samphirestair/internal/link/sever"
)

// controlFilter drops control calls over the links that a test has blocked.
type controlFilter struct {
	blocklist *sever.Blocklist
}

// Allowed implements ctrl.Filter.
func (f controlFilter) Allowed(to string) bool {
	host, _, err := net.SplitHostPort(to)
	return err != nil || !f.blocklist.Blocks(host)
}
