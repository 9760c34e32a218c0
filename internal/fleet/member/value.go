// Package member implements the membership of the fleet: the membership value in
// the key-value service, the rules by which it changes, failure detection and the
// gossip about suspected processes. Its types are state machines without I/O that
// take events and the time. They are not safe for concurrent use.
package member

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/lease"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
)

// Key is the key of the membership value in the key-value service.
const Key = "fleet/view"

const (
	// compressAbove is the size in bytes from which on the value is compressed.
	compressAbove = 4 << 10
	// maxDecodedSize is the maximum size in bytes of a decompressed value.
	maxDecodedSize = 16 << 20
	gzipMagic      = "\x1f\x8b"
)

// Value is the membership value. Each write increments Epoch by one.
type Value struct {
	Epoch   uint64
	Members map[ident.VMID]Record
	Groups  map[ident.GroupID]lease.VoterConfig
	// Listed holds the VMs of members and voters that have appeared in the platform's
	// VM list. Only for these does absence from the list mean that the VM is gone.
	Listed coll.Set[ident.VMID]
}

// Record is a member and the epoch in which it joined.
type Record struct {
	Member view.Member
	Joined uint64
}

// New returns the empty value.
func New() *Value {
	return &Value{
		Members: map[ident.VMID]Record{},
		Groups:  map[ident.GroupID]lease.VoterConfig{},
		Listed:  coll.NewSet[ident.VMID](),
	}
}

// Clone returns a copy that can be changed independently.
func (v *Value) Clone() *Value {
	return &Value{
		Epoch:   v.Epoch,
		Members: maps.Clone(v.Members),
		Groups:  maps.Clone(v.Groups),
		Listed:  v.Listed.Clone(),
	}
}

// Has reports whether the process is a member.
func (v *Value) Has(p ident.Process) bool {
	return v.Members[p.VM].Member.Process == p
}

// List returns the members in the order of their VM names.
func (v *Value) List() []view.Member {
	members := make([]view.Member, 0, len(v.Members))
	for _, vm := range slices.Sorted(maps.Keys(v.Members)) {
		members = append(members, v.Members[vm].Member)
	}
	return members
}

// These types define the JSON form of the value. Processes are written as
// "vm#incarnation".
type (
	wireValue struct {
		Epoch   uint64                      `json:"epoch"`
		Members []wireMember                `json:"members"`
		Groups  map[ident.GroupID]wireGroup `json:"groups"`
		Listed  []ident.VMID                `json:"listed"`
	}
	wireMember struct {
		Process string     `json:"process"`
		Zone    ident.Zone `json:"zone"`
		Caller  string     `json:"caller"`
		Peer    string     `json:"peer"`
		Control string     `json:"control"`
		Leaving bool       `json:"leaving,omitempty"`
		Joined  uint64     `json:"joined"`
	}
	wireGroup struct {
		Epoch  uint64   `json:"epoch"`
		Voters []string `json:"voters"`
		Prev   []string `json:"prev,omitempty"`
	}
)

// Encode returns the JSON form of the value, compressed with gzip if it has 4 KiB
// or more.
func (v *Value) Encode() []byte {
	data := v.encodeJSON()
	if len(data) < compressAbove {
		return data
	}
	var buffer bytes.Buffer
	w := gzip.NewWriter(&buffer)
	_, err := w.Write(data)
	if err = errors.CombineErrors(err, w.Close()); err != nil {
		panic(errors.Wrap(err, "member: compress"))
	}
	return buffer.Bytes()
}

func (v *Value) encodeJSON() []byte {
	w := wireValue{
		Epoch:  v.Epoch,
		Groups: make(map[ident.GroupID]wireGroup, len(v.Groups)),
		Listed: coll.Sorted(v.Listed),
	}
	for _, vm := range slices.Sorted(maps.Keys(v.Members)) {
		w.Members = append(w.Members, encodeMember(v.Members[vm]))
	}
	for id, e := range v.Groups {
		w.Groups[id] = wireGroup{e.Epoch, encodeProcesses(e.Voters), encodeProcesses(e.Prev)}
	}
	data, err := json.Marshal(w)
	if err != nil {
		panic(errors.Wrap(err, "member: encode"))
	}
	return data
}

// Decode decodes the output of Encode. Empty data decodes to the empty value.
func Decode(data []byte) (*Value, error) {
	v := New()
	if len(data) == 0 {
		return v, nil
	}
	data, err := decompress(data)
	if err != nil {
		return nil, errors.Wrap(err, "member: decompress")
	}
	var w wireValue
	if err := json.Unmarshal(data, &w); err != nil {
		return nil, errors.Wrap(err, "member: decode")
	}
	v.Epoch = w.Epoch
	v.Listed = coll.NewSet(w.Listed...)
	for _, m := range w.Members {
		r, err := decodeMember(m)
		if err != nil {
			return nil, err
		}
		v.Members[r.Member.Process.VM] = r
	}
	for id, g := range w.Groups {
		e, err := decodeGroup(g)
		if err != nil {
			return nil, err
		}
		v.Groups[id] = e
	}
	return v, nil
}

func decompress(data []byte) ([]byte, error) {
	if !bytes.HasPrefix(data, []byte(gzipMagic)) {
		return data, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(r, maxDecodedSize))
}

func encodeMember(r Record) wireMember {
	m := r.Member
	return wireMember{m.Process.String(), m.Zone, m.Caller, m.Peer, m.Control, m.Leaving, r.Joined}
}

func decodeMember(m wireMember) (Record, error) {
	p, err := ParseProcess(m.Process)
	if err != nil {
		return Record{}, err
	}
	return Record{
		Member: view.Member{
			Process: p,
			Zone:    m.Zone,
			Caller:  m.Caller,
			Peer:    m.Peer,
			Control: m.Control,
			Leaving: m.Leaving,
		},
		Joined: m.Joined,
	}, nil
}

func decodeGroup(g wireGroup) (lease.VoterConfig, error) {
	e := lease.VoterConfig{Epoch: g.Epoch}
	var err error
	if e.Voters, err = parseProcesses(g.Voters); err != nil {
		return e, err
	}
	e.Prev, err = parseProcesses(g.Prev)
	return e, err
}

func encodeProcesses(list []ident.Process) []string {
	var names []string
	for _, p := range list {
		names = append(names, p.String())
	}
	return names
}

func parseProcesses(names []string) ([]ident.Process, error) {
	var list []ident.Process
	for _, name := range names {
		p, err := ParseProcess(name)
		if err != nil {
			return nil, err
		}
		list = append(list, p)
	}
	return list, nil
}

// ParseProcess parses the form "vm#incarnation".
func ParseProcess(name string) (ident.Process, error) {
	separator := strings.LastIndexByte(name, '#')
	if separator < 0 {
		return ident.Process{}, errors.Newf("member: process %q has no incarnation", name)
	}
	incarnation, err := strconv.ParseUint(name[separator+1:], 10, 64)
	if err != nil {
		return ident.Process{}, errors.Wrapf(err, "member: process %q", name)
	}
	return ident.Process{VM: ident.VMID(name[:separator]), Incarnation: ident.Incarnation(incarnation)}, nil
}
