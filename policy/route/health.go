package route

import (
	"slices"
	"time"
)

// Smoothing factors of the moving average of the latency ratio. A server with a
// reduced weight has few samples, and its recovery must show quickly.
const (
	sampleSmoothing        = 0.3
	reducedSampleSmoothing = 0.7
)

// firstTokenOverhead is added to the expected prefill time before a measured time is divided
// by it, so that short prompts, whose time is mostly overhead, compare with long ones.
const firstTokenOverhead = 50 * time.Millisecond

// nearlyFullFraction is the used fraction of slots from which a request may have to wait:
// the load estimate lags by a few requests.
const nearlyFullFraction = 0.75

// Factors by which a weight changes at each step.
const (
	weightCutDivisor     = 4
	weightRecoveryFactor = 2
)

// maxReducedFraction bounds the fraction of servers whose weight is reduced at a time.
const maxReducedFraction = 0.25

// health detects a server that is slow or failing but alive (a gray failure). Its
// announcements look normal, so nothing else detects it, and callers would see its part of
// all answers late or failed.
//
// The measure is the time to first token divided by the time that the prefill should take,
// so that long prompts do not count as slowness. It is compared with the median of all
// servers, so that a surge that slows all of them reduces no weight.
type health struct {
	weight           float64 // fraction of its full share of requests, MinShare to 1
	latencyRatio     float64 // moving average of measured over expected time to first token
	sampleCount      int
	newEvidence      int // samples and failures since the last assessment that used them
	failuresInRow    int
	pendingRequests  int       // own requests without a first token
	waitingSince     time.Time // last first token, or start of the first pending request
	pendingTokens    int       // uncached tokens of the pending requests
	lastStart        time.Time
	lastWeightChange time.Time
}

func newHealth() health { return health{weight: 1} }

func (h *health) addPending(now time.Time, uncached int) {
	if h.pendingRequests == 0 {
		h.waitingSince = now
	}
	h.pendingRequests++
	h.pendingTokens += uncached
	h.lastStart = now
}

// removePending ends the wait of one request for its first token and restarts the wait of
// the other pending requests, because the server made progress.
func (h *health) removePending(now time.Time, uncached int) {
	h.pendingRequests--
	h.pendingTokens -= uncached
	h.waitingSince = now
}

func (h *health) addFailure() {
	h.failuresInRow++
	h.newEvidence++
}

func (h *health) addSample(ratio float64) {
	smoothing := sampleSmoothing
	if h.weight < 1 {
		smoothing = reducedSampleSmoothing
	}
	if h.sampleCount == 0 {
		smoothing = 1
	}
	h.latencyRatio += smoothing * (ratio - h.latencyRatio)
	h.sampleCount++
	h.newEvidence++
}

// silentFor returns how long the server has sent no first token, less the time that the
// pending prefill should take. prefillRate is in tokens per second.
func (h *health) silentFor(now time.Time, prefillRate float64) time.Duration {
	if h.pendingRequests == 0 {
		return 0
	}
	return now.Sub(h.waitingSince) - seconds(float64(h.pendingTokens)/prefillRate)
}

// assessServers compares all servers with the median and updates their weights, at most once
// per AssessEvery.
func (r *Router) assessServers(now time.Time) {
	if now.Sub(r.lastAssessed) < r.cfg.AssessEvery {
		return
	}
	r.lastAssessed = now
	r.latencyRatios = r.latencyRatios[:0]
	for i := range r.servers {
		s := &r.servers[i]
		if s.id != "" && s.health.sampleCount >= r.cfg.SlowSamples {
			r.latencyRatios = append(r.latencyRatios, s.health.latencyRatio)
		}
	}
	r.medianLatencyRatio = 0
	if n := len(r.latencyRatios); n > 0 {
		slices.Sort(r.latencyRatios)
		r.medianLatencyRatio = r.latencyRatios[(n-1)/2]
	}
	reduced, known := r.countReduced()
	for i := range r.servers {
		s := &r.servers[i]
		if s.id == "" {
			continue
		}
		h := &s.health
		// If many servers look slow, the load is too high. Reducing their weights would
		// move it to the others and make those slow as well, until one server has it all.
		if h.weight == 1 && reduced >= max(1, int(maxReducedFraction*float64(known))) {
			continue
		}
		r.updateWeight(s, now)
		if h.weight < 1 {
			reduced++
		}
	}
	r.anyReduced = reduced > 0
}

// countReduced returns the number of servers with a reduced weight, and of all servers.
func (r *Router) countReduced() (reduced, known int) {
	for i := range r.servers {
		if r.servers[i].id == "" {
			continue
		}
		known++
		if r.servers[i].health.weight < 1 {
			reduced++
		}
	}
	return reduced, known
}

// updateWeight cuts the weight of a slow server and doubles that of one that has answered
// well. Each step needs newer evidence than the last; for a silent server that is its
// silence. Otherwise a few first tokens that were late together, as at the start of a surge,
// would count at each assessment and reduce a healthy server to MinShare.
func (r *Router) updateWeight(s *server, now time.Time) {
	h := &s.health
	silent := h.silentFor(now, r.cfg.PrefillRate) > r.maxSilence()+r.slotWait(s)
	if h.newEvidence == 0 && !silent {
		return
	}
	nextWeight := min(h.weight*weightRecoveryFactor, 1)
	if silent || r.isSlow(h) {
		nextWeight = max(h.weight/weightCutDivisor, r.cfg.MinShare)
	} else if now.Sub(h.lastWeightChange) < r.cfg.RecoverEvery {
		return
	}
	h.newEvidence = 0
	if nextWeight != h.weight {
		h.weight = nextWeight
		h.lastWeightChange = now
	}
}

// isSlow reports whether failures or the latency ratio mark the server as slow.
func (r *Router) isSlow(h *health) bool {
	if h.failuresInRow >= r.cfg.FailuresInRow {
		return true
	}
	return h.sampleCount >= r.cfg.SlowSamples && h.latencyRatio > r.cfg.SlowFactor*max(r.medianLatencyRatio, 1)
}

// maxSilence returns the time without a first token from which a server counts as slow. It
// grows with the mean time to first token, so that saturation of all servers does not count.
func (r *Router) maxSilence() time.Duration {
	usual := time.Duration(r.cfg.SlowFactor * float64(r.meanFirstToken))
	return max(r.cfg.SilentAfter, usual)
}

// probeInterval returns the time between this entry's probes of a server. It grows with the
// number of entries, so that the probes of all of them stay rare.
func (r *Router) probeInterval() time.Duration {
	return min(r.cfg.ProbeEvery*time.Duration(r.cfg.Entries), r.cfg.ProbeMax)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
