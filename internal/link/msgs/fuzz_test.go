package msgs_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/link/msgs"
)

func encode(t require.TestingT, b *msgs.Batch) []byte {
	data, err := b.MarshalMsg(nil)
	require.NoError(t, err)
	return data
}

// FuzzBatch checks that a batch that decodes can be encoded, and that decoding and
// encoding the result again yields the same bytes.
func FuzzBatch(f *testing.F) {
	f.Add(encode(f, &msgs.Batch{}))
	f.Add(encode(f, &msgs.Batch{
		From: "vm-1", Incarnation: 7,
		Queries: []msgs.Query{{ID: 1, Kind: msgs.KindAction, Service: "s", Items: []msgs.Item{{Seq: 1, Server: "s/a"}}}},
		Replies: []msgs.Reply{{ID: 2, Answers: []msgs.Answer{{Hits: []msgs.Hit{{ID: "a", Score: 1}}, Maps: []msgs.Holding{{Version: 1}}}}}},
		Cancels: []msgs.Cancel{{ID: 3, Seqs: []uint32{1}}},
	}))
	f.Add([]byte("\x81\xa1q\xdd\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var first, second msgs.Batch
		if _, err := first.UnmarshalMsg(data); err != nil {
			return
		}
		once := encode(t, &first)
		left, err := second.UnmarshalMsg(once)
		require.NoError(t, err)
		require.Empty(t, left)
		require.Equal(t, once, encode(t, &second))
	})
}

func TestOversizedArrayIsRejectedBeforeAllocation(t *testing.T) {
	const field, array32 = "\x81\xa1q", "\xdd\x00\x10\x00\x00"
	var batch msgs.Batch
	_, err := batch.UnmarshalMsg([]byte(field + array32))
	require.Error(t, err)
	require.Nil(t, batch.Queries)
}
