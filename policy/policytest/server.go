package policytest

import "time"

// backend is one backend server.
type backend struct {
	fleet   *Fleet
	zone    int
	alive   bool
	slow    float64 // factor on all times
	failing bool
	running []*Job
	waiting []*Job
	cache   []prefix // least recently used first
	cached  int
}

// prefix is a shared prompt prefix in a cache.
type prefix struct {
	source       *Source
	sourceNumber int
	number       int
}

// lookup returns the job's prompt tokens that the cache holds, and stores its
// prefix as most recently used. dropped are prefixes that made room.
func (b *backend) lookup(j *Job) (hit int, stored bool, dropped []prefix) {
	if j.Prefix < 0 {
		return 0, false, nil
	}
	p := prefix{source: j.Source, sourceNumber: j.sourceNumber, number: j.Prefix}
	for i, held := range b.cache {
		if held == p {
			b.cache = append(append(b.cache[:i:i], b.cache[i+1:]...), p)
			return j.Source.PrefixLen, false, nil
		}
	}
	b.cache = append(b.cache, p)
	b.cached += j.Source.PrefixLen
	for b.cached > b.fleet.CacheTokens && len(b.cache) > 1 {
		dropped = append(dropped, b.cache[0])
		b.cached -= b.cache[0].source.PrefixLen
		b.cache = b.cache[1:]
	}
	return 0, true, dropped
}

// gap is the time between tokens as loaded now.
func (b *backend) gap() time.Duration {
	load := float64(len(b.running)) / float64(b.fleet.Slots)
	return time.Duration(float64(b.fleet.Gap) * (1 + b.fleet.Slowdown*load) * b.slow)
}

func (b *backend) prefill(tokens int) time.Duration {
	return time.Duration(float64(tokens) / b.fleet.PrefillRate * b.slow * float64(time.Second))
}

// drop removes a job from a list and reports whether it was there.
func drop(list *[]*Job, j *Job) bool {
	for i, x := range *list {
		if x == j {
			*list = append((*list)[:i], (*list)[i+1:]...)
			return true
		}
	}
	return false
}
