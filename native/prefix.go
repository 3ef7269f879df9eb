package native

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// PrefixHashes returns one hash per message: element i stands for the prompt
// prefix messages[:i+1]. It is a chain over xxhash64, so that two prompts share
// the hashes of the messages they share and none after the first difference:
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

// NextPrefixHash returns the hash of the prefix that m makes when it follows a
// prefix with hash previous; 0 is the hash of the empty prefix.
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
