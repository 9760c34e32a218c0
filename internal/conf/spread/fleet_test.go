package spread_test

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
	"github.com/samphirestair/samphirestair/internal/conf/spread"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/plat/store"
)

const (
	fleetSize     = 6
	heartbeat     = 300 * time.Millisecond
	inForceWithin = 3 * time.Second
	// monitors is the number of VMs to which each one sends heartbeats.
	monitors = 3
)

// link is one VM's connection to the key-value service. While it is silent,
// calls end only with their contexts.
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

// node is one VM of the test with what it put in force.
type node struct {
	link     *link
	spreader *spread.Syncer
	stop     func()
	mu       sync.Mutex
	seen     []*view.Config
}

// fleet is several VMs that follow one key-value service.
type fleet struct {
	t      *testing.T
	kv     *memkv.Store
	random *rand.Rand
	nodes  [fleetSize]*node
}

func (f *fleet) Fetch(_ context.Context, from view.Member) (spread.Bundle, error) {
	for i, one := range f.nodes {
		if from.Process.VM != vmName(i) {
			continue
		}
		if bundle, ok := one.spreader.Bundle(); ok {
			return bundle, nil
		}
	}
	return spread.Bundle{}, errors.New("no bundle")
}

func vmName(i int) ident.VMID { return ident.VMID(fmt.Sprintf("vm-%d", i)) }

// start replaces a VM by a new process.
func (f *fleet) start(i int) {
	ctx, cancel := context.WithCancel(f.t.Context())
	one := &node{link: &link{Store: f.kv}}
	one.spreader = spread.New(spread.Deps{Store: one.link, Fetch: f, OnConfig: one.note}, spread.Options{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		one.spreader.Run(ctx)
	}()
	one.stop = func() {
		cancel()
		<-done
	}
	f.nodes[i] = one
}

func (n *node) note(c *view.Config) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.seen = append(n.seen, c)
}

// run lets time pass while heartbeats go round.
func (f *fleet) run(d time.Duration) {
	for range d / heartbeat {
		time.Sleep(heartbeat)
		for i, one := range f.nodes {
			for step := range monitors {
				peer := f.nodes[(i+1+step)%fleetSize]
				peer.spreader.NotePeerRevision(member(vmName(i)), one.spreader.Revision())
			}
		}
	}
	synctest.Wait()
}

// disturb draws one fault or repair.
func (f *fleet) disturb() {
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

// change lets an operator change something and returns the outcome.
func (f *fleet) change(step int) change.Outcome {
	ctx, cancel := context.WithTimeout(f.t.Context(), time.Second)
	defer cancel()
	r := change.Request{Kind: change.ZoneOut, Subject: fmt.Sprint(step), Force: true}
	if step%2 == 0 {
		document, err := svcdoc.Parse([]byte(spread.DocumentText("a", step+1)))
		require.NoError(f.t, err)
		r = change.Request{Kind: change.Apply, Document: document}
	}
	return change.New(f.kv, change.Options{}).Do(ctx, r)
}

// reachable reports whether some VM hears the key-value service.
func (f *fleet) reachable() bool {
	for _, one := range f.nodes {
		if !one.link.silent.Load() {
			return true
		}
	}
	return false
}

func (f *fleet) requireForward() {
	for _, one := range f.nodes {
		one.mu.Lock()
		for i := 1; i < len(one.seen); i++ {
			require.GreaterOrEqual(f.t, one.seen[i].Serial, one.seen[i-1].Serial)
		}
		one.mu.Unlock()
	}
}

func (f *fleet) requireInForce(serial uint64) {
	for i, one := range f.nodes {
		dump := one.spreader.State()
		require.GreaterOrEqual(f.t, dump.Serial, serial, "%s: %+v", vmName(i), dump)
	}
}

func TestAcceptedChangesAreInForceEverywhereInTime(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			f := &fleet{t: t, kv: memkv.New(), random: rand.New(rand.NewPCG(seed, 2))}
			for i := range f.nodes {
				f.start(i)
			}
			f.run(time.Second)
			for step := range 12 {
				f.disturb()
				outcome := f.change(step)
				f.run(inForceWithin)
				f.requireForward()
				if outcome.Status == change.Accepted && f.reachable() {
					f.requireInForce(outcome.Serial)
				}
			}
			for _, one := range f.nodes {
				one.stop()
			}
		})
	}
}
