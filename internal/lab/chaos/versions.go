package chaos

import (
	"context"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/lab/server"
	"github.com/samphirestair/samphirestair/internal/plat/bknd"
)

// bothHeld is the time for which all servers hold the old and the new version.
const bothHeld = 2 * time.Second

// versions replaces the index versions of services. Steps for the same service
// wait for each other.
type versions struct {
	controls Controls
	services map[ident.ServiceID]*edition
}

// edition is the index version that a service has at present.
type edition struct {
	turn     turn
	document *svcdoc.Document
	version  ident.Version
	shards   uint32
}

func newVersions(deps Deps) *versions {
	v := &versions{controls: deps.Controls, services: map[ident.ServiceID]*edition{}}
	for _, document := range deps.Documents {
		v.services[document.Service] = &edition{
			turn:     newTurn(),
			document: document,
			version:  1,
			shards:   uint32(document.Shards()),
		}
	}
	return v
}

func (v *versions) register(i *Injector) {
	i.effects[NewVersion] = func(ctx context.Context, step Step) error {
		return v.replace(ctx, step, func(e *edition) uint32 { return e.shards })
	}
	i.effects[Repartition] = func(ctx context.Context, step Step) error { return v.replace(ctx, step, otherShards) }
}

// otherShards returns the document's number of shards and half of it in turn.
func otherShards(e *edition) uint32 {
	full := uint32(e.document.Shards())
	if e.shards == full {
		return max(full/2, 1)
	}
	return full
}

// replace adds the next version to one server after another and later retires
// the present one. It is carried out to its end, because a version cannot be
// undone.
func (v *versions) replace(ctx context.Context, step Step, shards func(*edition) uint32) error {
	e := v.services[ident.ServiceID(step.Target)]
	if !e.turn.take(ctx) {
		return ctx.Err()
	}
	defer e.turn.release()
	next := &edition{document: e.document, version: e.version + 1, shards: shards(e)}
	pause := step.For / time.Duration(len(e.document.Servers))
	for _, one := range e.document.Servers {
		if err := v.hold(ctx, one, e, next); err != nil {
			return err
		}
		sleep(ctx, pause)
	}
	e.version, e.shards = next.version, next.shards
	sleep(ctx, bothHeld)
	for _, one := range e.document.Servers {
		if err := v.hold(ctx, one, next); err != nil {
			return err
		}
	}
	return nil
}

// hold makes a server hold its shards of the given versions.
func (v *versions) hold(ctx context.Context, one svcdoc.Server, editions ...*edition) error {
	var held []bknd.Map
	for _, e := range editions {
		held = append(held, bknd.Map{
			Version: e.version,
			Shard:   one.Shard % ident.Shard(e.shards),
			Shards:  e.shards,
		})
	}
	fault := server.Fault{Server: one.ID, Action: server.ActionVersions, Maps: bknd.FormatMaps(held)}
	return persist(func() error { return v.controls.Servers(context.WithoutCancel(ctx), fault) })
}
