// Package hash combines 64-bit hashes, for rendezvous hashing and for sampling. The
// results are uniformly distributed but not cryptographic.
package hash

// Pair returns a hash of a and b that depends on their order: the finalizer of splitmix64
// over both. It is cheaper than hashing 16 bytes, and a choice among all servers calls it
// twice for each of them.
func Pair(a, b uint64) uint64 {
	z := a ^ (b * 0x9e3779b97f4a7c15)
	z ^= z >> 30
	z *= 0xbf58476d1ce4e5b9
	z ^= z >> 27
	z *= 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// Unit maps a hash to [0, 1).
func Unit(h uint64) float64 {
	return float64(h>>11) / (1 << 53)
}
