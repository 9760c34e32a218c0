package server

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/valyala/fastjson"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// Default and maximum number of hits of a search.
const (
	defaultHits = 10
	maxHits     = 1000
)

// Hit is one hit of a search.
type Hit struct {
	ID    string  `json:"id"`
	Score float64 `json:"score"`
	Doc   Doc     `json:"doc"`
}

// Doc is the document of a hit. It names the index version, shard and query that
// the hit belongs to.
type Doc struct {
	Version ident.Version `json:"version"`
	Shard   ident.Shard   `json:"shard"`
	Query   string        `json:"query"`
}

// Hits returns limit hits of the shard in doc, by descending score. They depend
// on the arguments only, so that checkers can compute the expected answer.
func Hits(service ident.ServiceID, doc Doc, limit int) []Hit {
	hits := make([]Hit, limit)
	seed := hash64(fmt.Sprintf("%s\x00%d\x00%d\x00%s", service, doc.Version, doc.Shard, doc.Query))
	score := 1.0
	for i := range hits {
		seed = mix(seed)
		score *= 1 - float64(seed>>11)/(1<<53)/scoreStep
		hits[i] = Hit{ID: fmt.Sprintf("v%d-s%d-%d", doc.Version, doc.Shard, i), Score: score, Doc: doc}
	}
	return hits
}

// Merged returns the best hits over all shards of an index version, by
// descending score and then ascending id. It ignores the shard in doc.
func Merged(service ident.ServiceID, doc Doc, shards, limit int) []Hit {
	var all []Hit
	for shard := range shards {
		doc.Shard = ident.Shard(shard)
		all = append(all, Hits(service, doc, limit)...)
	}
	slices.SortFunc(all, func(a, b Hit) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
	})
	return all[:min(limit, len(all))]
}

// scoreStep limits the relative difference between successive scores of a shard
// to less than 1/scoreStep.
const scoreStep = 4

// mix is one step of the SplitMix64 generator.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// query is the content of a search request.
type query struct {
	text  string
	limit int
}

// parseQuery parses {"query":TEXT,"limit":N}. A body without such a text is
// itself used as the text.
func parseQuery(body []byte) query {
	q := query{text: string(body), limit: defaultHits}
	value, err := fastjson.ParseBytes(body)
	if err != nil {
		return q
	}
	if text := value.GetStringBytes("query"); text != nil {
		q.text = string(text)
	}
	if limit := value.GetInt("limit"); limit > 0 {
		q.limit = min(limit, maxHits)
	}
	return q
}

type searchBody struct {
	Hits []Hit `json:"hits"`
}

type lookupBody struct {
	Key     string        `json:"key"`
	Version ident.Version `json:"version"`
	Shard   ident.Shard   `json:"shard"`
}

type actionBody struct {
	Action string         `json:"action"`
	Key    string         `json:"key"`
	Server ident.ServerID `json:"server"`
}

// encode returns the JSON encoding of a body. It panics on failure, because the
// types of this package can always be encoded.
func encode(body any) []byte {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return data
}
