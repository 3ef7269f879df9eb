package route

import (
	"slices"
	"time"
)

// Weights of the newest sample in the moving averages: a server at its full
// share averages over about three samples, one that is eased off over one to
// two, as its samples are few and a return to normal should show.
const (
	sampleSmoothing        = 0.3
	reducedSampleSmoothing = 0.7
)

// firstTokenOverhead is added to the expected prefill before a measured time is divided
// by it, so that short prompts, whose time is mostly not prefill, compare with
// long ones.
const firstTokenOverhead = 50 * time.Millisecond

// nearlyFullFraction is the use of a server's slots from which on a request may have to
// wait: the estimate of the load is old, and a few requests off.
const nearlyFullFraction = 0.75

// Factors by which a share changes at each step.
const (
	weightCutDivisor     = 4
	weightRecoveryFactor = 2
)

// maxReducedFraction is the part of the servers that may be eased off at a time. Slow
// machines are a few in a hundred; a quarter also fits a site of four servers.
const maxReducedFraction = 0.25

// health tells a server that is slow or failing without being gone (a gray
// failure) from its peers. Its announcements look fine, so nothing else
// notices; callers would see a tenth of all answers late for as long as it
// lasts, at ten servers. The measure is the time to first token divided by the
// time that its prefill should take, so that long prompts do not look like a
// fault, and it is compared with the median over all servers, so that a surge
// that slows all of them eases off none.
type health struct {
	weight           float64 // part of its full share that it gets, MinShare..1
	latencyRatio     float64 // moving average of measured over expected
	sampleCount      int
	newEvidence      int // samples and failures since the last judgement that used them
	failuresInRow    int // in a row
	pendingRequests  int // own requests without a first token
	waitingSince     time.Time
	pendingTokens    int // uncached tokens of those requests
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

// removePending ends the wait of one request for its first token. Any progress is a
// sign of life, so the wait of those behind it counts from here.
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

// silentFor returns how long the entry has waited for any first token beyond what
// the prefill before it should take.
func (h *health) silentFor(now time.Time, prefillRate float64) time.Duration {
	if h.pendingRequests == 0 {
		return 0
	}
	return now.Sub(h.waitingSince) - seconds(float64(h.pendingTokens)/prefillRate)
}

// assessServers judges all servers against the median, at most once per AssessEvery.
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
		// Where many servers look slow it is the load that is too high. Easing
		// them off would put all of it on the rest and make those slow as well,
		// until one server is left with everything.
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

// updateWeight cuts the share of a slow server, and doubles that of a server that has
// answered well. Each step needs evidence that is newer than the last one, which
// for a silent server is its silence. Without that, a handful of first tokens
// that were late together, as at the start of a surge, would count again at each
// judgement and take the server out (run, 7 entries and a hot prefix: one to
// three healthy servers of twelve at MinShare in each entry).
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

func (r *Router) isSlow(h *health) bool {
	if h.failuresInRow >= r.cfg.FailuresInRow {
		return true
	}
	return h.sampleCount >= r.cfg.SlowSamples && h.latencyRatio > r.cfg.SlowFactor*max(r.medianLatencyRatio, 1)
}

// maxSilence is the wait that counts as silence: SlowFactor times the usual
// wait for a first token, so that saturation of all servers is no fault of one.
func (r *Router) maxSilence() time.Duration {
	usual := time.Duration(r.cfg.SlowFactor * float64(r.meanFirstToken))
	return max(r.cfg.SilentAfter, usual)
}

// probeInterval is how long this entry leaves a server at MinShare untried. It
// grows with the number of entries, so that all of them together do not make
// a full share out of their trials.
func (r *Router) probeInterval() time.Duration {
	return min(r.cfg.ProbeEvery*time.Duration(r.cfg.Entries), r.cfg.ProbeMax)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
