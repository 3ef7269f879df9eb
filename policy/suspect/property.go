package suspect

import (
	"slices"
	"time"
)

// What crashes servers is a property of requests: one whole request that is sent again, or a part of a
// prompt that requests share which are otherwise unlike. Each property has a fingerprint. When a request
// breaks off, all its properties may be the cause; when one is answered, none of them is.

// partBit marks the fingerprints of parts of prompts.
const partBit = 1 << 63

// RequestFingerprint returns the fingerprint of a whole request with a hash.
func RequestFingerprint(hash uint64) uint64 { return hash &^ partBit }

// PartFingerprint returns the fingerprint of a part of a prompt with a hash.
func PartFingerprint(hash uint64) uint64 { return hash | partBit }

func isPart(fingerprint uint64) bool { return fingerprint&partBit != 0 }

const (
	// provenThreshold applies in place of Threshold to a part that was answered within provenTTL
	// before it broke off. Parts that many requests share are on most servers that crash, whatever the
	// cause.
	provenThreshold = 5
	// provenTTL is how long an answer speaks for a part.
	provenTTL = time.Minute
	// separateCrashes is how far apart servers end that count as two for a part. Servers that end
	// together have one cause outside of all requests, and popular parts are on most of them.
	separateCrashes = 300 * time.Millisecond
)

// suspect reports whether the property may be what ends servers.
func (r *request) suspect() bool {
	if r.part && r.proven() {
		return r.count() >= provenThreshold
	}
	return r.count() >= Threshold
}

// proven reports whether the property was answered shortly before it broke off for the first time since.
func (r *request) proven() bool {
	breaks := r.breaksAfter(r.answeredAt)
	return !r.answeredAt.IsZero() && len(breaks) > 0 && breaks[0].Sub(r.answeredAt) <= provenTTL
}

// breaksAfter returns the times of the breaks after a time, sorted.
func (r *request) breaksAfter(at time.Time) []time.Time {
	var times []time.Time
	for _, broke := range r.breaks {
		if broke.After(at) {
			times = append(times, broke)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// countSeparate returns how many of the times, which are sorted, are at least separateCrashes apart.
func countSeparate(times []time.Time) (n int) {
	var last time.Time
	for _, at := range times {
		if n == 0 || at.Sub(last) >= separateCrashes {
			n++
			last = at
		}
	}
	return n
}

// maxAnswered bounds the memory of answered.
const maxAnswered = 20_000

// answered holds when parts of prompts were last answered at one entry.
type answered struct {
	at map[uint64]time.Time
}

// record records an answer to a request with a part. It takes the place of any other if there are too many:
// a part that many requests share is soon recorded again.
func (a *answered) record(part uint64, now time.Time) {
	if _, known := a.at[part]; !known && len(a.at) >= maxAnswered {
		for other := range a.at {
			delete(a.at, other)
			break
		}
	}
	a.at[part] = now
}

func (a *answered) expire(now time.Time) {
	for part, at := range a.at {
		if now.Sub(at) > provenTTL {
			delete(a.at, part)
		}
	}
}

// Needed returns those of a request's suspect properties that a send of it needs trials for: all, but
// for parts that were answered lately if there are others. A trial of a part that most requests share
// would be lost to the request that a rarer one makes crash servers.
func (v *View) Needed(properties []uint64, now time.Time) []uint64 {
	var unproven, proven []uint64
	for _, p := range properties {
		if !v.Suspect(p) {
			continue
		}
		if at, known := v.answered.at[p]; known && now.Sub(at) <= provenTTL {
			proven = append(proven, p)
		} else {
			unproven = append(unproven, p)
		}
	}
	if len(unproven) > 0 {
		return unproven
	}
	return proven
}
