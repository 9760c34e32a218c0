package node

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/conf/syncer"
	"github.com/samphirestair/samphirestair/internal/fleet/ctrl"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
)

// Names of the control calls that this package handles.
const (
	methodConfig = "config.fetch"
	methodBrief  = "status.brief"
)

var errNoConfig = errors.New("node: no configuration in force yet")

// noParams is the parameter of control calls that take none.
type noParams struct{}

// peerConfig fetches the configuration from other VMs. It implements
// syncer.Fetcher.
type peerConfig struct {
	client *ctrl.Client
}

// Fetch implements syncer.Fetcher.
func (p peerConfig) Fetch(ctx context.Context, from view.Member) (syncer.Bundle, error) {
	var bundle syncer.Bundle
	err := p.client.Call(ctx, from.Control, methodConfig, noParams{}, &bundle)
	return bundle, errors.Wrap(err, "node: fetch configuration")
}

// serveConfig registers the control call by which other VMs fetch this VM's
// configuration. It fails while none is in force.
func serveConfig(server *ctrl.Server, configSyncer *syncer.Syncer) {
	ctrl.Handle(server, methodConfig, func(context.Context, noParams) (syncer.Bundle, error) {
		bundle, ok := configSyncer.Bundle()
		if !ok {
			return syncer.Bundle{}, errNoConfig
		}
		return bundle, nil
	})
}
