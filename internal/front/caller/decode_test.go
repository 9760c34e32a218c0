package caller

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func FuzzDecode(f *testing.F) {
	f.Add("desk", "250", "", `{"limit":3}`, "01890a5d-ac96-774b-bcce-b302099a8057", "id")
	f.Add("de%2Fsk", "", "1800000000250", `{"limit":1e3}`, "{01890a5d-ac96-774b-bcce-b302099a8057}", "")
	f.Add("%zz", "-1", "9223372036854775807", `[]`, "x", "\x00")
	f.Add("", "99999999999", "-9223372036854775808", `{"limit":null}`, "", "é")
	now := time.Unix(1_800_000_000, 0)
	f.Fuzz(func(t *testing.T, service, left, at, body, key, id string) {
		get := func(name string) string {
			return map[string]string{headerDeadline: left, headerDeadlineUnix: at}[name]
		}
		request, rejected := decodeCommon(now, get, service)
		if rejected == nil && !request.Deadline.IsZero() {
			require.True(t, request.Deadline.After(now))
			require.False(t, request.Deadline.After(now.Add(maxDeadline)))
		}
		limit, rejected := decodeLimit([]byte(body))
		if rejected == nil {
			require.True(t, json.Valid([]byte(body)), "accepted %q", body)
			require.LessOrEqual(t, limit, maxLimit)
		}
		canonical, rejected := decodeIdempotencyKey(key)
		if rejected == nil {
			again, rejected := decodeIdempotencyKey(canonical)
			require.Nil(t, rejected)
			require.Equal(t, canonical, again)
		}
		name, rejected := decodeRequestID(id)
		require.True(t, rejected != nil || name == id)
	})
}
