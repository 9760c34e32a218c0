// Package index defines the configuration index: the one value in the
// key-value service that says which documents are in force and what operators
// have taken out of service.
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

// DocumentKey returns the key of the text of a document. The value under it is
// written once, before the index refers to it, and never changes.
func DocumentKey(service ident.ServiceID, change ident.ChangeID) string {
	return "config/document/" + string(service) + "/" + string(change)
}

// changesKept is the number of changes that the index remembers, so that an
// operator whose answer was lost can look a change up.
const changesKept = 500

// Index is the configuration in force. Serial grows by one with each change.
type Index struct {
	Serial     uint64                             `json:"serial"`
	Documents  map[ident.ServiceID]ident.ChangeID `json:"documents"`
	ZonesOut   map[ident.Zone]ident.ChangeID      `json:"zones_out"`
	VMsOut     map[ident.VMID]ident.ChangeID      `json:"vms_out"`
	ServersOut map[ident.ServerID]ident.ChangeID  `json:"servers_out"`
	Changes    []Change                           `json:"changes"`
}

// Change is one accepted change.
type Change struct {
	ID      ident.ChangeID `json:"id"`
	Serial  uint64         `json:"serial"`
	Kind    string         `json:"kind"`
	Subject string         `json:"subject"`
	By      string         `json:"by"`
	At      time.Time      `json:"at"`
}

// Decode decodes an index. Empty data is the empty index.
func Decode(data []byte) (*Index, error) {
	ix := &Index{}
	if len(data) > 0 {
		if err := json.Unmarshal(data, ix); err != nil {
			return nil, errors.Wrap(err, "index: decode")
		}
	}
	return ix, nil
}

// Encode encodes the index.
func (ix *Index) Encode() []byte {
	data, err := json.Marshal(ix)
	if err != nil {
		panic(errors.Wrap(err, "index: encode"))
	}
	return data
}

// Clone returns a copy that shares nothing with ix.
func (ix *Index) Clone() *Index {
	c := *ix
	c.Documents = cloneMap(ix.Documents)
	c.ZonesOut = cloneMap(ix.ZonesOut)
	c.VMsOut = cloneMap(ix.VMsOut)
	c.ServersOut = cloneMap(ix.ServersOut)
	c.Changes = slices.Clone(ix.Changes)
	return &c
}

// Append notes an accepted change and advances the serial.
func (ix *Index) Append(change Change) {
	ix.Serial++
	change.Serial = ix.Serial
	ix.Changes = append(ix.Changes, change)
	if excess := len(ix.Changes) - changesKept; excess > 0 {
		ix.Changes = slices.Delete(ix.Changes, 0, excess)
	}
}

// Find returns the change with the given id, if the index still remembers it.
func (ix *Index) Find(id ident.ChangeID) (Change, bool) {
	for _, change := range ix.Changes {
		if change.ID == id {
			return change, true
		}
	}
	return Change{}, false
}

func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}
