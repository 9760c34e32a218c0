package runner

import (
	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/query/merge"
)

// parts collects the parts of a search. Parts that another VM has merged into one block
// can't be separated again: such a block replaces the separate parts of its shards.
type parts struct {
	limit int
	// signatures maps the signature of each part to its shard.
	signatures map[string]int
	// separate holds the parts that aren't in a merged block, by shard.
	separate map[int]part
	blocks   []*mergedBlock
}

// part is the part of one shard.
type part struct {
	signature string
	records   []byte
}

// mergedBlock is a set of parts whose records another VM has merged. signatures has the
// order of shards.
type mergedBlock struct {
	shards     []int
	signatures []string
	records    []byte
	validated  bool
	// invalid is set if a part of the block belongs to another shard.
	invalid bool
	added   bool
}

// isInvalid reports whether the block contains the part of another shard, so that none
// of its records can be used. The result of the first call is kept.
func (b *mergedBlock) isInvalid(known *parts) bool {
	if b.validated {
		return b.invalid
	}
	b.validated = true
	own := coll.NewSet[string]()
	for i, signature := range b.signatures {
		b.invalid = b.invalid || own.Has(signature) || known.isOfOtherShard(b.shards[i], signature)
		own.Add(signature)
	}
	return b.invalid
}

func newParts(limit, shards int) *parts {
	return &parts{limit: limit, signatures: make(map[string]int, shards), separate: make(map[int]part, shards)}
}

// isOfOtherShard reports whether a signature is already known as that of another
// shard's part.
func (p *parts) isOfOtherShard(shard int, signature string) bool {
	other, known := p.signatures[signature]
	return known && other != shard
}

// add stores the part of a shard. It copies those of the records that may be in the
// result.
func (p *parts) add(shard int, signature string, records []byte) {
	own := merge.NewRecords(p.limit)
	own.Add(records)
	p.separate[shard] = part{signature: signature, records: own.Bytes()}
	p.signatures[signature] = shard
}

// addBlock stores the parts of a block in place of separate parts of the same shards.
// Further calls for the same block do nothing.
func (p *parts) addBlock(b *mergedBlock) {
	if b.added {
		return
	}
	b.added = true
	for i, shard := range b.shards {
		if alone, ok := p.separate[shard]; ok {
			delete(p.signatures, alone.signature)
			delete(p.separate, shard)
		}
		p.signatures[b.signatures[i]] = shard
	}
	p.blocks = append(p.blocks, b)
}

// mergeAll returns the signatures of all parts, and the highest records.
func (p *parts) mergeAll() (signatures []string, records []byte) {
	all := merge.NewRecords(p.limit)
	for _, one := range p.separate {
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
