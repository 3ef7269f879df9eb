// Package hash joins hashes. What it returns spreads rendezvous ranks and the
// samples of single decisions evenly; it is no cryptographic hash.
package hash

// Pair returns the hash of two words in their order: the finalizer of splitmix64
// over both. A choice among all servers takes two for each of them, and a hash of
// 16 bytes makes it two thirds slower.
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
