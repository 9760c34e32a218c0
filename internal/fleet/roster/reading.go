package roster

// reading is a kind of statement about the fleet from which a VM builds its view. A VM knows
// nothing of the fleet by itself, and each kind is of another age and lacks other things. The view
// is confirmed, and may be used for callers, if it holds all changes up to a known time:
//
//   - A current range holds all changes to its keys before the call. One of all keys confirms the
//     view as of the start of the call.
//   - A stale range is of unknown age, and its pages are of different ages: depot.Pages has the
//     revision up to which it is complete. It fills an empty view and confirms nothing. Only the
//     watch from that revision does.
//   - A watch continues a range or another watch, and so holds all changes before the call, unless
//     the answer is so large that more follow. One of all keys confirms the view.
//   - The snapshot of another VM is as old as that VM says, and lacks servers that drain. It is
//     used while the store has answered nothing, confirms the view as of its age, and is replaced by
//     a current range only, since a stale one may be older.
//   - The configuration of another VM may be of any age. Versions only grow, so that one with a
//     higher version is newer than the view's.
//   - The store's answer to this VM's own write says nothing of other keys.
//   - That the registration of this VM has lapsed in another VM's view is true as of the age of that
//     view: see tenure.
//   - No answer says nothing but that the store can't be reached from here. Others may be served.
type reading uint8

const (
	currentRange reading = iota
	staleRange
	watchedChanges
)

// confirms reports whether the view is up to date after a reading of the keys that begin with
// prefix. more is set if it may lack changes that follow.
func (r reading) confirms(prefix string, more bool) bool {
	return r != staleRange && prefix == allKeys && !more
}
