package route

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"savoryreel.example/savoryreel/platform"
)

// PrefixHashes returns one hash per message: the i-th is the xxhash64 of
// messages[0..i], so that two prompts agree in their first n hashes exactly
// when they agree in their first n messages (but for collisions, which cost one
// needless prefill and never a wrong answer). Role and content go in with their
// lengths, so that text cannot move between fields without changing the hash.
func PrefixHashes(messages []platform.Message) []uint64 {
	return AppendPrefixHashes(make([]uint64, 0, len(messages)), messages)
}

// AppendPrefixHashes is PrefixHashes into dst; it does not allocate when dst
// has room for len(messages) more.
func AppendPrefixHashes(dst []uint64, messages []platform.Message) []uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for i := range messages {
		writeField(&digest, messages[i].Role)
		writeField(&digest, messages[i].Content)
		dst = append(dst, digest.Sum64())
	}
	return dst
}

func writeField(digest *xxhash.Digest, text string) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(text)))
	_, _ = digest.Write(length[:]) // a Digest never fails
	_, _ = digest.WriteString(text)
}

// mix is the finalizer of splitmix64 over two words. It spreads rendezvous
// ranks and per-decision samples evenly; it is no cryptographic hash.
func mix(a, b uint64) uint64 {
	z := a ^ (b * 0x9e3779b97f4a7c15)
	z ^= z >> 30
	z *= 0xbf58476d1ce4e5b9
	z ^= z >> 27
	z *= 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// unit maps a hash to [0, 1).
func unit(h uint64) float64 {
	return float64(h>>11) / (1 << 53)
}
