// Package throttle bounds the requests to backend servers that name a limit, over all entries that
// know of it.
//
// Load pattern: a server in need says in its answers how many requests a second it takes from all
// entries together.
//
// Without it each entry would send as before, or each would send what is meant for all.
//
// Grants, held by one process at a time, grants tokens by a bucket for each server. Allowance, held
// by each entry, knows the limits that servers have named to it, and spends a token for each
// request. A token is good for TokenTTL from when it was asked for, so that one which was delayed,
// by the network or by a paused process, is not spent beside later ones.
//
// # Bound
//
// In any four seconds the requests sent with tokens are at most 1.5 times what the limit allows and
// five more: a bucket holds capacity(limit) tokens, what is granted in 4 s and TokenTTL is at most
// that and 4.3 times the limit, and a process that begins to grant starts with empty buckets.
//
// The package does no I/O and reads no clock. Its types are not safe for concurrent use.
package throttle

import (
	"maps"
	"math"
	"time"
)

const (
	// TokenTTL is how long after it was asked for a token may be spent.
	TokenTTL = 300 * time.Millisecond
	// limitMemory is how long the lowest limit named counts after a higher one, which other
	// entries may not know.
	limitMemory = 4 * time.Second
	// minTokens and secondsHeld make up the capacity of a bucket: a token, and what a quarter of a
	// second brings.
	minTokens   = 1
	secondsHeld = 0.25
	// MaxWait bounds the time after which an entry asks again.
	MaxWait = 2 * time.Second
	// bucketTTL is how long a bucket is kept that nobody asks for.
	bucketTTL = time.Minute
)

// Server is an incarnation of a backend server.
type Server struct {
	ID          string
	Incarnation uint64
}

// Grants holds the buckets of all servers.
type Grants struct {
	buckets map[Server]*bucket
	swept   time.Time
}

type bucket struct {
	tokens    float64
	updatedAt time.Time
	limit     float64 // in force
	limitAt   time.Time
	askers    map[string]time.Time // when each entry asked last
}

// NewGrants returns Grants with empty buckets.
func NewGrants() *Grants { return &Grants{buckets: make(map[Server]*bucket)} }

// Take grants up to want tokens of a server with a limit of requests a second to an entry. If it
// grants none, it returns when the entry is to ask again: entries take turns.
func (g *Grants) Take(s Server, limit float64, entry string, want int, now time.Time) (granted int, after time.Duration) {
	g.sweep(now)
	b := g.buckets[s]
	if b == nil {
		b = &bucket{updatedAt: now, limit: limit, limitAt: now, askers: make(map[string]time.Time)}
		g.buckets[s] = b
	}
	b.update(limit, now)
	b.askers[entry] = now
	granted = min(want, int(b.tokens))
	if granted > 0 {
		b.tokens -= float64(granted)
		return granted, 0
	}
	return 0, b.wait()
}

// giveBack puts tokens back into a bucket, as far as it holds them.
func (g *Grants) giveBack(s Server, n int) {
	if b := g.buckets[s]; b != nil {
		b.tokens = min(b.tokens+float64(n), capacity(b.limit))
	}
}

// update adds the tokens since the last call, and applies a limit that an entry has received.
func (b *bucket) update(limit float64, now time.Time) {
	if elapsed := now.Sub(b.updatedAt).Seconds(); elapsed > 0 {
		b.tokens += elapsed * b.limit
		b.updatedAt = now
	}
	if limit <= b.limit || now.Sub(b.limitAt) > limitMemory {
		b.limit, b.limitAt = limit, now
	}
	b.tokens = min(b.tokens, capacity(b.limit))
	maps.DeleteFunc(b.askers, func(_ string, at time.Time) bool { return now.Sub(at) > 2*MaxWait })
}

// capacity returns the most tokens that a bucket holds.
func capacity(limit float64) float64 { return minTokens + secondsHeld*limit }

// wait returns when the next token is due, or, if many entries ask, when it is the asking one's
// turn.
func (b *bucket) wait() time.Duration {
	if b.limit <= 0 {
		return MaxWait
	}
	seconds := max(1-b.tokens, float64(len(b.askers))/2) / b.limit
	return min(time.Duration(math.Ceil(seconds*float64(time.Second))), MaxWait)
}

func (g *Grants) sweep(now time.Time) {
	if now.Sub(g.swept) < bucketTTL {
		return
	}
	g.swept = now
	maps.DeleteFunc(g.buckets, func(_ Server, b *bucket) bool { return now.Sub(b.updatedAt) > bucketTTL })
}
