package spread

import (
	"context"
	"log/slog"
	"sync"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/base/sleep"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
)

// notice says which revision is in force on another VM.
type notice struct {
	member   view.Member
	revision ident.Revision
}

// notices holds the latest notice of each VM. It is safe for concurrent use.
type notices struct {
	mu      sync.Mutex
	byVM    map[ident.VMID]notice
	changed chan struct{}
}

func newNotices() *notices {
	return &notices{byVM: map[ident.VMID]notice{}, changed: make(chan struct{}, 1)}
}

func (n *notices) add(member view.Member, revision ident.Revision) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.byVM[member.Process.VM] = notice{member: member, revision: revision}
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// take removes and returns the notice of the highest revision above the given
// one, and forgets those that are not above it.
func (n *notices) take(above ident.Revision) (notice, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var best notice
	for vm, candidate := range n.byVM {
		if candidate.revision <= above {
			delete(n.byVM, vm)
			continue
		}
		if candidate.revision > best.revision {
			best = candidate
		}
	}
	delete(n.byVM, best.member.Process.VM)
	return best, best.revision > above
}

func (n *notices) dump() map[ident.VMID]ident.Revision {
	n.mu.Lock()
	defer n.mu.Unlock()
	revisions := map[ident.VMID]ident.Revision{}
	for vm, one := range n.byVM {
		revisions[vm] = one.revision
	}
	return revisions
}

// askPeers fetches the configuration of VMs that have a higher revision. The
// notice of a VM that fails to answer is forgotten until its next heartbeat.
func (s *Syncer) askPeers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.notices.changed:
		}
		sleep.For(ctx, jitter(s.options.PeerDelay))
		for ctx.Err() == nil {
			next, ok := s.notices.take(s.Revision())
			if !ok {
				break
			}
			s.askPeer(ctx, next)
		}
	}
}

func (s *Syncer) askPeer(ctx context.Context, from notice) {
	callCtx, cancel := context.WithTimeout(ctx, s.options.CallTimeout)
	defer cancel()
	bundle, err := s.deps.Fetch.Fetch(callCtx, from.member)
	if err != nil {
		s.recordOnce("config_peer_failed", string(from.member.Process.VM), err.Error(),
			slog.Uint64("revision", uint64(from.revision)))
		return
	}
	s.mu.Lock()
	s.tracker.take(bundle)
	s.mu.Unlock()
	s.settle()
}
