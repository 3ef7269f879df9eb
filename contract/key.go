package contract

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
)

// keyHashPrefix names the hash function in a KeyHash.
const keyHashPrefix = "sha256:"

// HashKey returns the hash of a bearer key as the catalogue holds it. Keys are
// random and long, so a plain hash is enough: there is nothing to guess.
func HashKey(key string) KeyHash {
	sum := sha256.Sum256([]byte(key))
	return KeyHash(keyHashPrefix + hex.EncodeToString(sum[:]))
}

// Valid reports whether h is a well-formed key hash.
func (h KeyHash) Valid() bool {
	digits, ok := strings.CutPrefix(string(h), keyHashPrefix)
	if !ok || len(digits) != hex.EncodedLen(sha256.Size) {
		return false
	}
	_, err := hex.DecodeString(digits)
	return err == nil && digits == strings.ToLower(digits)
}

// Equal compares two hashes in constant time, so that the time a refusal takes
// tells a caller nothing about how much of a guess was right.
func (h KeyHash) Equal(other KeyHash) bool {
	return subtle.ConstantTimeCompare([]byte(h), []byte(other)) == 1
}
