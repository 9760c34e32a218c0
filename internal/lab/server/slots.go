package server

import "slices"

// requestSlot requests a slot in the run that ends when runEnded is closed. The
// returned channel is closed when the slot is granted. Slots are granted in the
// order of the requests.
func (e *engine) requestSlot(runEnded <-chan struct{}) chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	slot := make(chan struct{})
	if runEnded != e.runEnded {
		return slot
	}
	if e.busySlots < e.limits.Slots {
		e.busySlots++
		close(slot)
		return slot
	}
	e.slotQueue = append(e.slotQueue, slot)
	return slot
}

// withdrawSlot withdraws a request for a slot, whether granted or not, of the
// run that ends when runEnded is closed.
func (e *engine) withdrawSlot(slot chan struct{}, runEnded <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if runEnded != e.runEnded {
		return
	}
	if i := slices.Index(e.slotQueue, slot); i >= 0 {
		e.slotQueue = slices.Delete(e.slotQueue, i, i+1)
		return
	}
	select {
	case <-slot:
		e.freeSlotLocked()
	default:
	}
}

// releaseSlot frees a slot granted in the run that ends when runEnded is closed.
// It does nothing if that run is over.
func (e *engine) releaseSlot(runEnded <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if runEnded == e.runEnded {
		e.freeSlotLocked()
	}
}

// freeSlotLocked grants a slot to the next request, or marks it as free if none
// waits.
func (e *engine) freeSlotLocked() {
	if len(e.slotQueue) == 0 {
		e.busySlots--
		return
	}
	next := e.slotQueue[0]
	e.slotQueue = e.slotQueue[1:]
	close(next)
}
