package syncer

import (
	"context"
	"log/slog"
	"sync"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/base/sleep"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
)

// peerRevision is the revision that is in force on another VM.
type peerRevision struct {
	member   view.Member
	revision ident.Revision
}

// peerRevisions holds the revisions that other VMs reported and this VM has not
// fetched yet. It is safe for concurrent use.
type peerRevisions struct {
	mu   sync.Mutex
	byVM map[ident.VMID]peerRevision
	// changed holds a token after a call of set.
	changed chan struct{}
}

func newPeerRevisions() *peerRevisions {
	return &peerRevisions{byVM: map[ident.VMID]peerRevision{}, changed: make(chan struct{}, 1)}
}

func (p *peerRevisions) set(member view.Member, revision ident.Revision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byVM[member.Process.VM] = peerRevision{member: member, revision: revision}
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// popNewest removes and returns the entry with the highest revision above the
// given one. Entries at or below it are removed too. It returns false if there
// is no higher one.
func (p *peerRevisions) popNewest(above ident.Revision) (peerRevision, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	var newest peerRevision
	for vm, candidate := range p.byVM {
		if candidate.revision <= above {
			delete(p.byVM, vm)
			continue
		}
		if candidate.revision > newest.revision {
			newest = candidate
		}
	}
	delete(p.byVM, newest.member.Process.VM)
	return newest, newest.revision > above
}

func (p *peerRevisions) dump() map[ident.VMID]ident.Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	revisions := map[ident.VMID]ident.Revision{}
	for vm, one := range p.byVM {
		revisions[vm] = one.revision
	}
	return revisions
}

// fetchFromPeers fetches the configuration from VMs that report a higher
// revision, the highest one first, until ctx ends. After a failure, a VM is not
// asked again before its next heartbeat.
func (s *Syncer) fetchFromPeers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.peerRevisions.changed:
		}
		sleep.For(ctx, jitter(s.options.PeerDelay))
		for ctx.Err() == nil {
			next, ok := s.peerRevisions.popNewest(s.Revision())
			if !ok {
				break
			}
			s.fetchFromPeer(ctx, next)
		}
	}
}

func (s *Syncer) fetchFromPeer(ctx context.Context, from peerRevision) {
	callCtx, cancel := context.WithTimeout(ctx, s.options.CallTimeout)
	defer cancel()
	bundle, err := s.deps.Fetch.Fetch(callCtx, from.member)
	if err != nil {
		s.recordOnce("config_peer_failed", string(from.member.Process.VM), err.Error(),
			slog.Uint64("revision", uint64(from.revision)))
		return
	}
	s.mu.Lock()
	s.tracker.merge(bundle)
	s.mu.Unlock()
	s.publish()
}
