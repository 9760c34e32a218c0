package agent_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
)

// leaseHolder is a group's lease as it was read from one VM.
type leaseHolder struct {
	vm      ident.VMID
	holding *view.Holding
}

// holderAudit collects the holders of each group, read from one VM after the other.
type holderAudit struct {
	held map[ident.GroupID]leaseHolder
	// conflicts lists the groups that two VMs held at the same time.
	conflicts []string
}

// read adds the leases that one VM holds. A handover may take place between the reads of two
// VMs, so the earlier holder counts only if its lease is still valid after the later
// one was seen: a holding that was withdrawn or has lapsed never becomes valid again.
func (a *holderAudit) read(vm ident.VMID, v *view.View) {
	for group, h := range v.Holdings {
		if !h.Valid(time.Now()) {
			continue
		}
		if first, taken := a.held[group]; taken && first.holding.Valid(time.Now()) {
			a.conflicts = append(a.conflicts, string(group)+" by "+string(first.vm)+" and "+string(vm))
		}
		a.held[group] = leaseHolder{vm, h}
	}
}

func holdingView(h *view.Holding) *view.View {
	return &view.View{Holdings: map[ident.GroupID]*view.Holding{"group": h}}
}

func TestAuditOfHolders(t *testing.T) {
	lease := func() *view.Holding {
		h := &view.Holding{}
		h.Renew(time.Now().Add(time.Minute))
		return h
	}
	t.Run("handover between two reads", func(t *testing.T) {
		a := holderAudit{held: map[ident.GroupID]leaseHolder{}}
		first := lease()
		a.read("vm1", holdingView(first))
		first.Renew(time.Time{})
		a.read("vm2", holdingView(lease()))
		require.Empty(t, a.conflicts)
		require.Equal(t, ident.VMID("vm2"), a.held["group"].vm)
	})
	t.Run("two holders", func(t *testing.T) {
		a := holderAudit{held: map[ident.GroupID]leaseHolder{}}
		a.read("vm1", holdingView(lease()))
		a.read("vm2", holdingView(lease()))
		require.Equal(t, []string{"group by vm1 and vm2"}, a.conflicts)
	})
	t.Run("lapsed lease", func(t *testing.T) {
		a := holderAudit{held: map[ident.GroupID]leaseHolder{}}
		first := &view.Holding{}
		first.Renew(time.Now().Add(-time.Millisecond))
		a.read("vm1", holdingView(first))
		a.read("vm2", holdingView(lease()))
		require.Empty(t, a.conflicts)
		require.Equal(t, ident.VMID("vm2"), a.held["group"].vm)
	})
}
