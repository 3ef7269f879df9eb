package rollout

import (
	"math"
	"slices"
	"strings"
	"time"
)

// The bounds of the latency buckets: the first holds all that is shorter than shortestLatency,
// the last all from longestLatency on, and the others are evenly spaced on a log scale.
const (
	shortestLatency = 5 * time.Millisecond
	longestLatency  = 20 * time.Second
)

// bucketStep is the natural logarithm of the ratio between the bounds of a bucket, about 1.46.
var bucketStep = math.Log(float64(longestLatency)/float64(shortestLatency)) / (LatencyBuckets - 2)

// LatencyBucket returns the index in Sample.Latency of a time to the first byte.
func LatencyBucket(d time.Duration) int {
	switch {
	case d < shortestLatency:
		return 0
	case d >= longestLatency:
		return LatencyBuckets - 1
	}
	i := 1 + int(math.Log(float64(d)/float64(shortestLatency))/bucketStep)
	return min(i, LatencyBuckets-2)
}

// Record counts one request that ran. firstByte has no meaning for a bad answer.
func (s *Sample) Record(firstByte time.Duration, bad bool) {
	s.Ended++
	if bad {
		s.Bad++
		return
	}
	s.Latency[LatencyBucket(firstByte)]++
}

// WarmUp is how long a server's first answers are slow by nature: caches are cold and the
// first requests come together. Their latency says nothing of the version.
const WarmUp = time.Second

// RecordWarmUp counts one request that was sent to a server in the first WarmUp in which it
// served. It counts as an answer, and its latency does not count.
func (s *Sample) RecordWarmUp(bad bool) {
	s.Ended++
	if bad {
		s.Bad++
	}
}

// Add adds the counts of o to s.
func (s *Sample) Add(o *Sample) {
	s.Ended += o.Ended
	s.Bad += o.Bad
	for i, n := range o.Latency {
		s.Latency[i] += n
	}
}

// Merge adds the samples of src to those of the same routes in dst, which must be sorted by
// route, and returns the sum sorted by route. src may be in any order.
func Merge(dst, src []RouteSample) []RouteSample {
	for i := range src {
		at, found := slices.BinarySearchFunc(dst, src[i].Route, func(r RouteSample, route string) int {
			return strings.Compare(r.Route, route)
		})
		if !found {
			dst = slices.Insert(dst, at, src[i])
			continue
		}
		dst[at].Stable.Add(&src[i].Stable)
		dst[at].Candidate.Add(&src[i].Candidate)
	}
	return dst
}
