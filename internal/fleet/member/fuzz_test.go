package member_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/fleet/member"
)

// FuzzDecode checks that decoding the encoding of a decoded value returns an equal
// value.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(nil))
	f.Add(member.New().Encode())
	f.Add([]byte(`{"epoch":3,"members":[{"process":"vm-1#7","zone":"espoo","peer":"127.0.40.1:1","joined":2}],` +
		`"groups":{"g":{"epoch":2,"voters":["vm-1#7"],"prev":["vm-2#1"]}},"listed":["vm-1"]}`))
	f.Add([]byte(`{"members":[{"process":"vm-1"}]}`))
	f.Add([]byte(`{"members":[{"process":"#-1"}],"groups":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		value, err := member.Decode(data)
		if err != nil {
			return
		}
		again, err := member.Decode(value.Encode())
		require.NoError(t, err)
		require.Equal(t, value, again)
		require.Equal(t, value, value.Clone())
	})
}
