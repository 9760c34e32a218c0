package runner

import (
	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/query/merge"
)

// parts collects the parts of a search. Those that another VM has merged can't be taken
// apart again, so that a part of a shard which such a block holds gives way to the block.
type parts struct {
	limit int
	// signatures holds the parts by signature, with the shard of each.
	signatures map[string]int
	// single holds the records of the parts that came alone, by shard.
	single map[int]part
	blocks []*block
}

// part is the part of one shard.
type part struct {
	signature string
	records   []byte
}

// block is a set of parts whose records are merged.
type block struct {
	shards     []int
	signatures []string
	records    []byte
	checked    bool
	// spoiled is set if a part of the block is that of another shard.
	spoiled bool
	kept    bool
}

// isSpoiled reports whether the block holds the part of another shard, so that none of
// its records is of use.
func (b *block) isSpoiled(known *parts) bool {
	if b.checked {
		return b.spoiled
	}
	b.checked = true
	own := coll.NewSet[string]()
	for i, signature := range b.signatures {
		b.spoiled = b.spoiled || own.Has(signature) || known.isForeign(b.shards[i], signature)
		own.Add(signature)
	}
	return b.spoiled
}

func newParts(limit, shards int) *parts {
	return &parts{limit: limit, signatures: make(map[string]int, shards), single: make(map[int]part, shards)}
}

// isForeign reports whether a signature is that of the part of another shard.
func (p *parts) isForeign(shard int, signature string) bool {
	other, known := p.signatures[signature]
	return known && other != shard
}

// add keeps the part of a shard. records is copied as far as it may count.
func (p *parts) add(shard int, signature string, records []byte) {
	own := merge.NewRecords(p.limit)
	own.Add(records)
	p.single[shard] = part{signature: signature, records: own.Bytes()}
	p.signatures[signature] = shard
}

// addBlock keeps the parts of a block, once, in place of those that came alone.
func (p *parts) addBlock(b *block) {
	if b.kept {
		return
	}
	b.kept = true
	for i, shard := range b.shards {
		if alone, ok := p.single[shard]; ok {
			delete(p.signatures, alone.signature)
			delete(p.single, shard)
		}
		p.signatures[b.signatures[i]] = shard
	}
	p.blocks = append(p.blocks, b)
}

// merged returns the signatures of all parts, and the greatest records.
func (p *parts) merged() (signatures []string, records []byte) {
	all := merge.NewRecords(p.limit)
	for _, one := range p.single {
		all.Add(one.records)
	}
	for _, b := range p.blocks {
		all.Add(b.records)
	}
	signatures = make([]string, 0, len(p.signatures))
	for signature := range p.signatures {
		signatures = append(signatures, signature)
	}
	return signatures, all.Bytes()
}
