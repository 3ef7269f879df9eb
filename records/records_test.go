package records

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"savoryreel.example/savoryreel/fleet"
	"savoryreel.example/savoryreel/policy/quarantine"
)

// drawBody draws a body for the record with the given key, some of them corrupt.
func drawBody(t *rapid.T, key string) []byte {
	if rapid.IntRange(0, 9).Draw(t, "damaged") == 0 {
		return rapid.SliceOfN(rapid.Byte(), 0, 8).Draw(t, "bytes")
	}
	if key == fleet.NoticeKey("i") {
		body, err := fleet.Notice{Instance: "i", Deadline: rapid.Int64Range(1, 4).Draw(t, "end")}.Encode()
		require.NoError(t, err)
		return body
	}
	r := quarantine.Record{Fingerprint: 7}
	for range rapid.IntRange(0, 3).Draw(t, "exposures") {
		single := quarantine.Record{Fingerprint: 7, Exposures: []quarantine.Exposure{{
			Server: quarantine.Server{ID: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "server"), Incarnation: 1},
			Grant:  rapid.Uint64Range(0, 1).Draw(t, "grant"),
			State:  quarantine.State(rapid.IntRange(0, 3).Draw(t, "state")),
			At:     time.UnixMilli(rapid.Int64Range(1, 3).Draw(t, "at")),
		}}}
		r = quarantine.Merge(r, single)
	}
	body, err := EncodeQuarantine(r)
	require.NoError(t, err)
	return body
}

// Guards against a merge whose result depends on the order or the number of
// messages: instances would never converge, and one entry would run a request that
// another refuses as quarantined.
func TestMergeDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.SampledFrom([]string{QuarantineKey(7), fleet.NoticeKey("i"), "other"}).Draw(t, "key")
		a, b, c := drawBody(t, key), drawBody(t, key), drawBody(t, key)
		require.Equal(t, Merge(key, a, b), Merge(key, b, a))
		require.Equal(t, Merge(key, Merge(key, a, b), c), Merge(key, a, Merge(key, b, c)))
		merged := Merge(key, a, b)
		require.Equal(t, merged, Merge(key, merged, b))
	})
}
