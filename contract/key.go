package contract

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
)

// keyHashPrefix is the prefix of a KeyHash that names its hash function.
const keyHashPrefix = "sha256:"

// HashKey returns the hash of a bearer key. Keys are long and random, so an
// unsalted fast hash is safe against guessing.
func HashKey(key string) KeyHash {
	sum := sha256.Sum256([]byte(key))
	return KeyHash(keyHashPrefix + hex.EncodeToString(sum[:]))
}

// Valid reports whether h is well formed.
func (h KeyHash) Valid() bool {
	digits, ok := strings.CutPrefix(string(h), keyHashPrefix)
	if !ok || len(digits) != hex.EncodedLen(sha256.Size) {
		return false
	}
	_, err := hex.DecodeString(digits)
	return err == nil && digits == strings.ToLower(digits)
}

// Equal reports whether the hashes are equal. It runs in constant time, so that
// the time of a refusal does not reveal a matching prefix.
func (h KeyHash) Equal(other KeyHash) bool {
	return subtle.ConstantTimeCompare([]byte(h), []byte(other)) == 1
}
