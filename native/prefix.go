package native

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// PrefixHashes returns one hash per message: element i is the hash of the prefix
// messages[:i+1]. Two prompts have equal hashes up to the first message that differs
// and different ones from there on. The hashes are a chain over xxhash64:
//
//	h[i] = xxhash64(h[i-1] as 8 bytes little endian + role + "\x00" + content), h[-1] = 0
func PrefixHashes(messages []Message) []uint64 {
	hashes := make([]uint64, len(messages))
	var previous uint64
	for i, m := range messages {
		previous = NextPrefixHash(previous, m)
		hashes[i] = previous
	}
	return hashes
}

// NextPrefixHash returns the hash of a prefix with hash previous extended by m. The
// hash of the empty prefix is 0.
func NextPrefixHash(previous uint64, m Message) uint64 {
	var head [8]byte
	binary.LittleEndian.PutUint64(head[:], previous)
	var d xxhash.Digest
	d.Reset()
	d.Write(head[:])
	d.WriteString(m.Role)
	d.Write([]byte{0})
	d.WriteString(m.Content)
	return d.Sum64()
}
