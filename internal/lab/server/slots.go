package server

import "slices"

// claimSlot asks for a slot in the run that ends with died. The channel is
// closed when the slot is granted; slots are granted in the order of the
// claims.
func (e *engine) claimSlot(died <-chan struct{}) chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	slot := make(chan struct{})
	if died != e.died {
		return slot
	}
	if e.used < e.limits.Slots {
		e.used++
		close(slot)
		return slot
	}
	e.waiting = append(e.waiting, slot)
	return slot
}

// giveUpSlot withdraws a claim, granted or not, of the run that ends with died.
func (e *engine) giveUpSlot(slot chan struct{}, died <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if died != e.died {
		return
	}
	if i := slices.Index(e.waiting, slot); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		return
	}
	select {
	case <-slot:
		e.freeSlotLocked()
	default:
	}
}

// releaseSlot frees a slot that was granted in the run that ends with died.
func (e *engine) releaseSlot(died <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if died == e.died {
		e.freeSlotLocked()
	}
}

func (e *engine) freeSlotLocked() {
	if len(e.waiting) == 0 {
		e.used--
		return
	}
	next := e.waiting[0]
	e.waiting = e.waiting[1:]
	close(next)
}
