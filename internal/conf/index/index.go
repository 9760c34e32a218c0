// Package index defines the configuration index. It is the single value in the
// key-value service that lists the service documents in force and the zones, VMs
// and backend servers that operators have taken out of service.
package index

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// Key is the key of the index in the key-value service.
const Key = "config/index"

// DocumentKey returns the key under which the text of a document is stored. The
// text is written once, before the index refers to it, and never changes.
func DocumentKey(service ident.ServiceID, change ident.ChangeID) string {
	return "config/document/" + string(service) + "/" + string(change)
}

// maxChanges is the number of latest changes that the index keeps. They allow an
// operator to look up the outcome of a change whose answer was lost.
const maxChanges = 500

// Index is the configuration in force. The maps hold the change that put each
// entry into its state.
type Index struct {
	// Serial is the number of changes accepted so far.
	Serial     uint64                             `json:"serial"`
	Documents  map[ident.ServiceID]ident.ChangeID `json:"documents"`
	ZonesOut   map[ident.Zone]ident.ChangeID      `json:"zones_out"`
	VMsOut     map[ident.VMID]ident.ChangeID      `json:"vms_out"`
	ServersOut map[ident.ServerID]ident.ChangeID  `json:"servers_out"`
	// Changes lists the latest changes, the oldest first.
	Changes []Change `json:"changes"`
}

// Change is one accepted change. Kind is a change.Kind, Subject is the service,
// zone, VM or backend server that it concerns, and By is the operator.
type Change struct {
	ID      ident.ChangeID `json:"id"`
	Serial  uint64         `json:"serial"`
	Kind    string         `json:"kind"`
	Subject string         `json:"subject"`
	By      string         `json:"by"`
	At      time.Time      `json:"at"`
}

// Decode decodes an index from JSON. Empty data yields an empty index.
func Decode(data []byte) (*Index, error) {
	ix := &Index{}
	if len(data) > 0 {
		if err := json.Unmarshal(data, ix); err != nil {
			return nil, errors.Wrap(err, "index: decode")
		}
	}
	return ix, nil
}

// Encode encodes the index as JSON.
func (ix *Index) Encode() []byte {
	data, err := json.Marshal(ix)
	if err != nil {
		panic(errors.Wrap(err, "index: encode"))
	}
	return data
}

// Clone returns a deep copy of ix. Its maps are not nil.
func (ix *Index) Clone() *Index {
	c := *ix
	c.Documents = cloneMap(ix.Documents)
	c.ZonesOut = cloneMap(ix.ZonesOut)
	c.VMsOut = cloneMap(ix.VMsOut)
	c.ServersOut = cloneMap(ix.ServersOut)
	c.Changes = slices.Clone(ix.Changes)
	return &c
}

// Append adds an accepted change, increments the serial and sets the serial of the
// change. It drops the oldest changes beyond maxChanges.
func (ix *Index) Append(change Change) {
	ix.Serial++
	change.Serial = ix.Serial
	ix.Changes = append(ix.Changes, change)
	if excess := len(ix.Changes) - maxChanges; excess > 0 {
		ix.Changes = slices.Delete(ix.Changes, 0, excess)
	}
}

// Find returns the change with the given ID. It returns false if the change was not
// accepted or is no longer kept.
func (ix *Index) Find(id ident.ChangeID) (Change, bool) {
	for _, change := range ix.Changes {
		if change.ID == id {
			return change, true
		}
	}
	return Change{}, false
}

// cloneMap returns a copy of m, or an empty map if m is nil.
func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}
