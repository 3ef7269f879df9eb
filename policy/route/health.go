package route

import (
	"slices"
	"time"
)

// Weights of the newest sample in the moving averages: a server at its full
// share averages over about three samples, one that is eased off over one to
// two, as its samples are few and a return to normal should show.
const (
	sampleWeight      = 0.3
	easedSampleWeight = 0.7
)

// overhead is added to the expected prefill before a measured time is divided
// by it, so that short prompts, whose time is mostly not prefill, compare with
// long ones.
const overhead = 50 * time.Millisecond

// nearlyFull is the use of a server's slots from which on a request may have to
// wait: the estimate of the load is old, and a few requests off.
const nearlyFull = 0.75

// Factors by which a share changes at each step.
const (
	easeStep    = 4
	recoverStep = 2
)

// maxEased is the part of the servers that may be eased off at a time. Slow
// machines are a few in a hundred; a quarter also fits a site of four servers.
const maxEased = 0.25

// health tells a server that is slow or failing without being gone (a gray
// failure) from its peers. Its announcements look fine, so nothing else
// notices; callers would see a tenth of all answers late for as long as it
// lasts, at ten servers. The measure is the time to first token divided by the
// time that its prefill should take, so that long prompts do not look like a
// fault, and it is compared with the median over all servers, so that a surge
// that slows all of them eases off none.
type health struct {
	share        float64 // part of its full share that it gets, MinShare..1
	ratio        float64 // moving average of measured over expected
	samples      int
	fresh        int // samples and failures since the last judgement that used them
	failures     int // in a row
	pending      int // own requests without a first token
	pendingSince time.Time
	prefill      int // uncached tokens of those requests
	lastStart    time.Time
	lastStep     time.Time
}

func newHealth() health { return health{share: 1} }

func (h *health) started(now time.Time, uncached int) {
	if h.pending == 0 {
		h.pendingSince = now
	}
	h.pending++
	h.prefill += uncached
	h.lastStart = now
}

// settled ends the wait of one request for its first token. Any progress is a
// sign of life, so the wait of those behind it counts from here.
func (h *health) settled(now time.Time, uncached int) {
	h.pending--
	h.prefill -= uncached
	h.pendingSince = now
}

func (h *health) failed() {
	h.failures++
	h.fresh++
}

func (h *health) sample(ratio float64) {
	weight := sampleWeight
	if h.share < 1 {
		weight = easedSampleWeight
	}
	if h.samples == 0 {
		weight = 1
	}
	h.ratio += weight * (ratio - h.ratio)
	h.samples++
	h.fresh++
}

// silent returns how long the entry has waited for any first token beyond what
// the prefill before it should take.
func (h *health) silent(now time.Time, prefillRate float64) time.Duration {
	if h.pending == 0 {
		return 0
	}
	return now.Sub(h.pendingSince) - seconds(float64(h.prefill)/prefillRate)
}

// assess judges all servers against the median, at most once per AssessEvery.
func (r *Router) assess(now time.Time) {
	if now.Sub(r.assessed) < r.cfg.AssessEvery {
		return
	}
	r.assessed = now
	r.ratios = r.ratios[:0]
	for i := range r.servers {
		s := &r.servers[i]
		if s.id != "" && s.health.samples >= r.cfg.SlowSamples {
			r.ratios = append(r.ratios, s.health.ratio)
		}
	}
	r.median = 0
	if n := len(r.ratios); n > 0 {
		slices.Sort(r.ratios)
		r.median = r.ratios[(n-1)/2]
	}
	eased, known := r.countEased()
	for i := range r.servers {
		s := &r.servers[i]
		if s.id == "" {
			continue
		}
		h := &s.health
		// Where many servers look slow it is the load that is too high. Easing
		// them off would put all of it on the rest and make those slow as well,
		// until one server is left with everything.
		if h.share == 1 && eased >= max(1, int(maxEased*float64(known))) {
			continue
		}
		r.judge(s, now)
		if h.share < 1 {
			eased++
		}
	}
	r.eased = eased > 0
}

func (r *Router) countEased() (eased, known int) {
	for i := range r.servers {
		if r.servers[i].id == "" {
			continue
		}
		known++
		if r.servers[i].health.share < 1 {
			eased++
		}
	}
	return eased, known
}

// judge cuts the share of a slow server, and doubles that of a server that has
// answered well. Each step needs evidence that is newer than the last one, which
// for a silent server is its silence. Without that, a handful of first tokens
// that were late together, as at the start of a surge, would count again at each
// judgement and take the server out (run, 7 entries and a hot prefix: one to
// three healthy servers of twelve at MinShare in each entry).
func (r *Router) judge(s *server, now time.Time) {
	h := &s.health
	silent := h.silent(now, r.cfg.PrefillRate) > r.silentAfter()+r.slotWait(s)
	if h.fresh == 0 && !silent {
		return
	}
	next := min(h.share*recoverStep, 1)
	if silent || r.slow(h) {
		next = max(h.share/easeStep, r.cfg.MinShare)
	} else if now.Sub(h.lastStep) < r.cfg.RecoverEvery {
		return
	}
	h.fresh = 0
	if next != h.share {
		h.share = next
		h.lastStep = now
	}
}

func (r *Router) slow(h *health) bool {
	if h.failures >= r.cfg.FailuresInRow {
		return true
	}
	return h.samples >= r.cfg.SlowSamples && h.ratio > r.cfg.SlowFactor*max(r.median, 1)
}

// silentAfter is the wait that counts as silence: SlowFactor times the usual
// wait for a first token, so that saturation of all servers is no fault of one.
func (r *Router) silentAfter() time.Duration {
	usual := time.Duration(r.cfg.SlowFactor * float64(r.firstToken))
	return max(r.cfg.SilentAfter, usual)
}

// probeEvery is how long this entry leaves a server at MinShare untried. It
// grows with the number of entries, so that all of them together do not make
// a full share out of their trials.
func (r *Router) probeEvery() time.Duration {
	return min(r.cfg.ProbeEvery*time.Duration(r.cfg.Entries), r.cfg.ProbeMax)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
