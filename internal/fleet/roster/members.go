package roster

import (
	"encoding/json"
	"log/slog"
	"strings"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/plat/depot"
)

// vmOfKey returns the VM that registers under a key.
func vmOfKey(key string) ident.VMID {
	return ident.VMID(key[strings.LastIndexByte(key, '/')+1:])
}

func (s *State) applyMember(item depot.Item) {
	var member Member
	if err := json.Unmarshal(item.Value, &member); err != nil {
		s.events.Record("member_unusable", item.Key, err.Error())
		return
	}
	known := s.members[member.VM]
	if known != nil && item.Revision < known.revision {
		return
	}
	if s.departures.hasVM(member.BootID) {
		return
	}
	if known != nil && known.value.BootID == member.BootID && known.value.Leaving && !member.Leaving {
		// A process that leaves doesn't stay: the registration is from an older copy.
		member.Leaving = true
	}
	if known == nil || known.value != member || !known.removeAt.IsZero() {
		s.changed = true
		if s.allKeysRead {
			s.events.Record("vm_known", string(member.VM), "registration", slog.String("address", member.CallerAddress), slog.Bool("leaving", member.Leaving))
		}
	}
	s.members[member.VM] = &registration[Member]{value: member, key: item.Key, revision: item.Revision}
	delete(s.lapsed, member.VM)
}

// handleMissingMember starts the grace period of a VM whose registration is missing. A VM
// that announced that it leaves is removed at once.
func (s *State) handleMissingMember(now time.Time, vm ident.VMID, r *registration[Member]) {
	if r.value.Leaving {
		if vm != s.self {
			s.departures.addVM(now, r.value.BootID)
		}
		delete(s.members, vm)
		s.changed = true
		return
	}
	if r.removeAt.IsZero() {
		r.removeAt = now.Add(memberLapseGrace)
		if s.graceUntil.After(r.removeAt) {
			r.removeAt = s.graceUntil
		}
	}
}

// OwnRegistration returns this VM's registration in the store, or nil if there is none.
func (s *State) OwnRegistration() *Member {
	r, ok := s.members[s.self]
	if !ok || !r.removeAt.IsZero() {
		return nil
	}
	return &r.value
}
