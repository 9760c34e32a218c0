package chaos

import (
	"context"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/lab/server"
	"github.com/samphirestair/samphirestair/internal/plat/bknd"
)

// overlapTime is how long all servers hold both the old and the new index
// version.
const overlapTime = 2 * time.Second

// versions replaces the index versions of services. Steps for the same service
// run one after another.
type versions struct {
	controls Controls
	services map[ident.ServiceID]*indexVersion
}

// indexVersion is an index version of a service. lock guards the replacement of
// the present version of the service.
type indexVersion struct {
	lock     subjectLock
	document *svcdoc.Document
	version  ident.Version
	shards   uint32
}

func newVersions(deps Deps) *versions {
	v := &versions{controls: deps.Controls, services: map[ident.ServiceID]*indexVersion{}}
	for _, document := range deps.Documents {
		v.services[document.Service] = &indexVersion{
			lock:     newSubjectLock(),
			document: document,
			version:  1,
			shards:   uint32(document.Shards()),
		}
	}
	return v
}

func (v *versions) register(i *Injector) {
	i.injections[NewVersion] = func(ctx context.Context, step Step) error {
		return v.replace(ctx, step, func(version *indexVersion) uint32 { return version.shards })
	}
	i.injections[Repartition] = func(ctx context.Context, step Step) error { return v.replace(ctx, step, otherShards) }
}

// otherShards returns half the document's number of shards if the version has all
// of them, and the document's number otherwise.
func otherShards(version *indexVersion) uint32 {
	full := uint32(version.document.Shards())
	if version.shards == full {
		return max(full/2, 1)
	}
	return full
}

// replace adds the next index version to one server after another and later
// removes the present one from all. The end of ctx only shortens the pauses,
// because the replacement of an index version cannot be undone.
func (v *versions) replace(ctx context.Context, step Step, shards func(*indexVersion) uint32) error {
	present := v.services[ident.ServiceID(step.Target)]
	if !present.lock.lock(ctx) {
		return ctx.Err()
	}
	defer present.lock.unlock()
	next := &indexVersion{document: present.document, version: present.version + 1, shards: shards(present)}
	pause := step.For / time.Duration(len(present.document.Servers))
	for _, spec := range present.document.Servers {
		if err := v.setHeld(ctx, spec, present, next); err != nil {
			return err
		}
		sleep(ctx, pause)
	}
	present.version, present.shards = next.version, next.shards
	sleep(ctx, overlapTime)
	for _, spec := range present.document.Servers {
		if err := v.setHeld(ctx, spec, next); err != nil {
			return err
		}
	}
	return nil
}

// setHeld makes a server hold its shards of the given index versions and no
// others.
func (v *versions) setHeld(ctx context.Context, spec svcdoc.Server, versions ...*indexVersion) error {
	var held []bknd.Map
	for _, version := range versions {
		held = append(held, bknd.Map{
			Version: version.version,
			Shard:   spec.Shard % ident.Shard(version.shards),
			Shards:  version.shards,
		})
	}
	fault := server.Fault{Server: spec.ID, Action: server.ActionVersions, Maps: bknd.FormatMaps(held)}
	return retry(func() error { return v.controls.Servers(context.WithoutCancel(ctx), fault) })
}
