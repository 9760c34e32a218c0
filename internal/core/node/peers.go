package node

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/conf/spread"
	"github.com/samphirestair/samphirestair/internal/fleet/ctrl"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
)

// Methods of control calls that the node answers itself.
const (
	methodConfig = "config.fetch"
	methodBrief  = "status.brief"
)

var errNoConfig = errors.New("node: no configuration in force yet")

// nothing is the parameter of control calls without one.
type noParams struct{}

// peerConfig reads the configuration of other VMs. It implements
// spread.Fetcher.
type peerConfig struct {
	client *ctrl.Client
}

// Fetch implements spread.Fetcher.
func (p peerConfig) Fetch(ctx context.Context, from view.Member) (spread.Bundle, error) {
	var bundle spread.Bundle
	err := p.client.Call(ctx, from.Control, methodConfig, noParams{}, &bundle)
	return bundle, errors.Wrap(err, "node: fetch configuration")
}

// serveConfig lets other VMs read the configuration of this one.
func serveConfig(server *ctrl.Server, spreader *spread.Spreader) {
	ctrl.Handle(server, methodConfig, func(context.Context, noParams) (spread.Bundle, error) {
		bundle, ok := spreader.Bundle()
		if !ok {
			return spread.Bundle{}, errNoConfig
		}
		return bundle, nil
	})
}
