package syncer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/change"
	"github.com/samphirestair/samphirestair/internal/conf/memkv"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/conf/syncer"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/plat/store"
)

const (
	fleetSize     = 6
	heartbeat     = 300 * time.Millisecond
	inForceWithin = 3 * time.Second
	// monitors is the number of VMs to which each VM sends heartbeats.
	monitors = 3
)

// link is the connection of one VM to the key-value service. While silent
// is set, calls get no answer and return only when their contexts end.
type link struct {
	*memkv.Store
	silent atomic.Bool
}

func (l *link) Get(ctx context.Context, key string) (store.Entry, error) {
	if l.silent.Load() {
		<-ctx.Done()
		return store.Entry{}, store.ErrUnavailable
	}
	return l.Store.Get(ctx, key)
}

func (l *link) Watch(ctx context.Context, key string, after ident.Revision) (store.Entry, error) {
	if l.silent.Load() {
		<-ctx.Done()
		return store.Entry{}, store.ErrUnavailable
	}
	entry, err := l.Store.Watch(ctx, key, after)
	if l.silent.Load() {
		<-ctx.Done()
		return store.Entry{}, store.ErrUnavailable
	}
	return entry, err
}

// node is one VM of the test with the configurations that it adopted.
type node struct {
	link    *link
	syncer  *syncer.Syncer
	stop    func()
	mu      sync.Mutex
	adopted []*view.Config
}

// fleet is a set of VMs that share one key-value service.
type fleet struct {
	t      *testing.T
	kv     *memkv.Store
	random *rand.Rand
	nodes  [fleetSize]*node
}

func (f *fleet) Fetch(_ context.Context, from view.Member) (syncer.Bundle, error) {
	for i, one := range f.nodes {
		if from.Process.VM != vmName(i) {
			continue
		}
		if bundle, ok := one.syncer.Bundle(); ok {
			return bundle, nil
		}
	}
	return syncer.Bundle{}, errors.New("no bundle")
}

func vmName(i int) ident.VMID { return ident.VMID(fmt.Sprintf("vm-%d", i)) }

// start starts a new process on the VM with index i.
func (f *fleet) start(i int) {
	ctx, cancel := context.WithCancel(f.t.Context())
	one := &node{link: &link{Store: f.kv}}
	one.syncer = syncer.New(syncer.Deps{Store: one.link, Fetch: f, OnConfig: one.recordConfig}, syncer.Options{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		one.syncer.Run(ctx)
	}()
	one.stop = func() {
		cancel()
		<-done
	}
	f.nodes[i] = one
}

func (n *node) recordConfig(c *view.Config) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.adopted = append(n.adopted, c)
}

// run exchanges heartbeats among the VMs for the duration d.
func (f *fleet) run(d time.Duration) {
	for range d / heartbeat {
		time.Sleep(heartbeat)
		for i, one := range f.nodes {
			for step := range monitors {
				peer := f.nodes[(i+1+step)%fleetSize]
				peer.syncer.NotePeerRevision(member(vmName(i)), one.syncer.Revision())
			}
		}
	}
	synctest.Wait()
}

// injectFault randomly restarts a VM, or breaks or repairs a link or the
// key-value service.
func (f *fleet) injectFault() {
	i := f.random.IntN(fleetSize)
	switch f.random.IntN(5) {
	case 0:
		f.nodes[i].stop()
		f.start(i)
	case 1:
		f.nodes[i].link.silent.Store(true)
	case 2:
		f.nodes[i].link.silent.Store(false)
	case 3:
		f.kv.SetPlan(refuseAll)
	case 4:
		f.kv.SetPlan(nil)
	}
}

// change performs one operator change and returns its outcome.
func (f *fleet) change(step int) change.Outcome {
	ctx, cancel := context.WithTimeout(f.t.Context(), time.Second)
	defer cancel()
	r := change.Request{Kind: change.ZoneOut, Subject: fmt.Sprint(step), Force: true}
	if step%2 == 0 {
		document, err := svcdoc.Parse([]byte(syncer.DocumentText("a", step+1)))
		require.NoError(f.t, err)
		r = change.Request{Kind: change.Apply, Document: document}
	}
	return change.New(f.kv, change.Options{}).Do(ctx, r)
}

// storeReachable reports whether at least one VM gets answers of the key-value
// service.
func (f *fleet) storeReachable() bool {
	for _, one := range f.nodes {
		if !one.link.silent.Load() {
			return true
		}
	}
	return false
}

// requireMonotonic requires that no VM adopted a lower serial than before.
func (f *fleet) requireMonotonic() {
	for _, one := range f.nodes {
		one.mu.Lock()
		for i := 1; i < len(one.adopted); i++ {
			require.GreaterOrEqual(f.t, one.adopted[i].Serial, one.adopted[i-1].Serial)
		}
		one.mu.Unlock()
	}
}

// requireInForce requires that every VM has the serial or a later one in force.
func (f *fleet) requireInForce(serial uint64) {
	for i, one := range f.nodes {
		dump := one.syncer.State()
		require.GreaterOrEqual(f.t, dump.Serial, serial, "%s: %+v", vmName(i), dump)
	}
}

func TestAcceptedChangesReachAllVMsInTime(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			f := &fleet{t: t, kv: memkv.New(), random: rand.New(rand.NewPCG(seed, 2))}
			for i := range f.nodes {
				f.start(i)
			}
			f.run(time.Second)
			for step := range 12 {
				f.injectFault()
				outcome := f.change(step)
				f.run(inForceWithin)
				f.requireMonotonic()
				if outcome.Status == change.Accepted && f.storeReachable() {
					f.requireInForce(outcome.Serial)
				}
			}
			for _, one := range f.nodes {
				one.stop()
			}
		})
	}
}
