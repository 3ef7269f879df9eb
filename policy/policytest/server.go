package policytest

import "time"

// backend is the state of one backend server.
type backend struct {
	fleet        *Fleet
	zone         int
	alive        bool
	slowFactor   float64 // multiplies all times; 1: normal speed
	failing      bool
	running      []*Job
	waiting      []*Job
	cache        []prefix // least recently used first
	cachedTokens int      // total of cache
}

// prefix is a shared prompt prefix in a cache.
type prefix struct {
	source       *Source
	sourceNumber int
	number       int
}

// lookup returns the number of the job's prompt tokens in the cache and makes its
// prefix the most recently used. stored reports whether the prefix is new in the
// cache; evicted are the prefixes removed to make room for it.
func (b *backend) lookup(j *Job) (cachedTokens int, stored bool, evicted []prefix) {
	if j.Prefix < 0 {
		return 0, false, nil
	}
	p := prefix{source: j.Source, sourceNumber: j.sourceNumber, number: j.Prefix}
	for i, cachedPrefix := range b.cache {
		if cachedPrefix == p {
			b.cache = append(append(b.cache[:i:i], b.cache[i+1:]...), p)
			return j.Source.PrefixTokens, false, nil
		}
	}
	b.cache = append(b.cache, p)
	b.cachedTokens += j.Source.PrefixTokens
	for b.cachedTokens > b.fleet.CacheTokens && len(b.cache) > 1 {
		evicted = append(evicted, b.cache[0])
		b.cachedTokens -= b.cache[0].source.PrefixTokens
		b.cache = b.cache[1:]
	}
	return 0, true, evicted
}

// tokenInterval returns the time between tokens at the server's present load.
func (b *backend) tokenInterval() time.Duration {
	load := float64(len(b.running)) / float64(b.fleet.Slots)
	return time.Duration(float64(b.fleet.TokenInterval) * (1 + b.fleet.FullSlowdown*load) * b.slowFactor)
}

// prefill returns the time to prefill tokens.
func (b *backend) prefill(tokens int) time.Duration {
	return time.Duration(float64(tokens) / b.fleet.PrefillRate * b.slowFactor * float64(time.Second))
}

// removeJob removes a job from a list and reports whether it was in it.
func removeJob(list *[]*Job, j *Job) bool {
	for i, other := range *list {
		if other == j {
			*list = append((*list)[:i], (*list)[i+1:]...)
			return true
		}
	}
	return false
}
