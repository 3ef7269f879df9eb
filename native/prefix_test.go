package native_test

import (
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"savoryreel.example/savoryreel/native"
)

// Guards against equal hashes of different prefixes, and different hashes of equal ones:
// the router would expect cache hits at the wrong server.
func TestEqualHashesMeanEqualPrefixes(t *testing.T) {
	message := rapid.Custom(func(t *rapid.T) native.Message {
		return native.Message{
			Role:    rapid.SampledFrom([]string{"user", "assistant"}).Draw(t, "role"),
			Content: rapid.StringN(0, 8, -1).Draw(t, "content"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		a := rapid.SliceOfN(message, 1, 6).Draw(t, "a")
		b := rapid.SliceOfN(message, 1, 6).Draw(t, "b")
		copy(b, a[:rapid.IntRange(0, min(len(a), len(b))).Draw(t, "shared")])
		ha, hb := native.PrefixHashes(a), native.PrefixHashes(b)
		same := true
		for i := range min(len(a), len(b)) {
			same = same && a[i] == b[i]
			if (ha[i] == hb[i]) != same {
				t.Fatalf("message %d: equal hashes %v, equal prefixes %v", i, ha[i] == hb[i], same)
			}
		}
	})
}

// Guards against a change of the hash, which is part of the protocol with engines.
func TestPrefixHashesAreStable(t *testing.T) {
	hashes := native.PrefixHashes([]native.Message{
		{Role: "system", Content: "be brief"},
		{Role: "user", Content: "pollen?"},
	})
	require.Equal(t, []uint64{0x4a133dbacc929f13, 0xb40c89cfbc81691b}, hashes)
	require.Equal(t, xxhash.Sum64String("\x00\x00\x00\x00\x00\x00\x00\x00system\x00be brief"), hashes[0])
}

// Guards against hashes that ignore where one message ends and the next starts.
func TestPrefixHashesDependOnMessageBoundaries(t *testing.T) {
	a := native.Message{Role: "user", Content: "ab"}
	twoMessages := native.PrefixHashes([]native.Message{a, {Role: "assistant", Content: "c"}})
	require.Equal(t, native.PrefixHashes([]native.Message{a})[0], twoMessages[0])
	shifted := native.PrefixHashes([]native.Message{{Role: "user", Content: "a"}, {Role: "b", Content: ""}})
	require.NotEqual(t, twoMessages, shifted)
}
