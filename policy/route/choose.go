package route

import (
	"slices"
	"time"

	"savoryreel.example/savoryreel/policy/hash"
)

// Choose returns the server that should run the request. It does not count the request on
// the server; call Started when the request is sent.
func (r *Router) Choose(req *Request) Verdict {
	r.assessServers(req.Now)
	t := r.computeWeights(req)
	if t.weightedSlots == 0 {
		return t.refusal(req.Now)
	}
	r.index.match(req.Prefixes, r.matched)
	if slot := r.probeSlot(req); slot >= 0 {
		var candidates candidateSet
		candidates.add(slot)
		return r.newVerdict(req, &candidates, ReasonProbe)
	}
	unshared := !r.demand.recordAndCheckHot(affinityKey(req), req.Now)
	candidates, reason := r.collectCandidates(req, &t, unshared)
	r.assumeSharedCached(req, &candidates)
	return r.newVerdict(req, &candidates, reason)
}

// Serves reports whether a serving server has a version that the request may use, whether or not it can
// take the request now.
func (r *Router) Serves(req *Request) bool {
	t := r.computeWeights(req)
	return t.anyVersion
}

// Candidates appends to dst the ids of the servers that Choose would score for the request,
// so that the caller can query their load first. It counts nothing. With the same Seed, Choose
// scores the same servers unless their updated load excludes them.
func (r *Router) Candidates(req *Request, dst []string) []string {
	r.assessServers(req.Now)
	t := r.computeWeights(req)
	if t.weightedSlots == 0 {
		return dst
	}
	r.index.match(req.Prefixes, r.matched)
	unshared := r.demand.recentCount(affinityKey(req), req.Now)+1 < hotRequestCount
	candidates, _ := r.collectCandidates(req, &t, unshared)
	for _, slot := range candidates.slots[:candidates.count] {
		dst = append(dst, r.servers[slot].id)
	}
	return dst
}

// assumeSharedCached assumes that the first server in the rendezvous order caches the fraction
// Trust of the shared tokens.
func (r *Router) assumeSharedCached(req *Request, p *candidateSet) {
	if p.firstByRendezvous < 0 || r.cfg.Trust == 0 {
		return
	}
	r.matched[p.firstByRendezvous] = max(r.matched[p.firstByRendezvous], int32(r.cfg.Trust*float64(req.SharedTokens)))
}

// serverTotals holds the totals of one scan over all servers.
type serverTotals struct {
	load           float64 // estimated requests on eligible servers
	weightedSlots  float64 // sum of slots times weight
	maxWeight      float64 // highest weight of an eligible server
	servers        int     // eligible servers
	maxLoadPerSlot float64 // load bound for each slot at weight 1
	anyServing     bool
	anyVersion     bool      // some serving server has a version that the request may use
	anyAdapter     bool      // some server with the version has the adapter loaded
	anyExcluded    bool      // some server that matches is in Request.Exclude
	pausedUntil    time.Time // end of the first pause of a server that matches; zero if none
}

// refusal returns the verdict while no server is eligible.
func (t *serverTotals) refusal(now time.Time) Verdict {
	v := Verdict{Reason: t.refusalReason()}
	if v.Reason == ReasonAllPaused {
		v.RetryAfter = t.pausedUntil.Sub(now)
	}
	return v
}

// refusalReason returns why no server is eligible.
func (t *serverTotals) refusalReason() Reason {
	switch {
	case t.anyExcluded:
		return ReasonAllExcluded
	case !t.pausedUntil.IsZero():
		return ReasonAllPaused
	case !t.anyServing:
		return ReasonNoServer
	case !t.anyVersion:
		return ReasonNoVersion
	default:
		return ReasonNoAdapter
	}
}

// computeWeights sets the weight and the load of each server that may run the request, sets
// the weight of all others to 0, and returns the totals.
func (r *Router) computeWeights(req *Request) serverTotals {
	var t serverTotals
	for i := range r.servers {
		s := &r.servers[i]
		r.weights[i] = 0
		if !t.eligible(s, req) {
			continue
		}
		w := s.health.weight * s.slowStartFraction(&r.cfg, req.Now)
		r.weights[i] = w
		t.weightedSlots += w * s.slots
		r.loads[i] = s.load()
		t.load += r.loads[i]
		t.servers++
		t.maxWeight = max(t.maxWeight, w)
	}
	t.maxLoadPerSlot = r.cfg.LoadFactor * (t.load + 1) / t.weightedSlots
	return t
}

// eligible reports whether the server may run the request, and records in t which
// conditions some server meets.
func (t *serverTotals) eligible(s *server, req *Request) bool {
	// A request on a leaving server would be cut off when the server stops.
	if !s.serving {
		return false
	}
	t.anyServing = true
	if (req.Version != "" || req.SameVersion) && s.version != req.Version || len(req.AvoidVersions) > 0 && slices.Contains(req.AvoidVersions, s.version) {
		return false
	}
	t.anyVersion = true
	if req.Adapter != "" && !slices.Contains(s.adapters, req.Adapter) {
		return false
	}
	t.anyAdapter = true
	if s.isPaused(req.Now) {
		if t.pausedUntil.IsZero() || s.pausedUntil.Before(t.pausedUntil) {
			t.pausedUntil = s.pausedUntil
		}
		return false
	}
	if len(req.Exclude) > 0 && slices.Contains(req.Exclude, s.id) {
		t.anyExcluded = true
		return false
	}
	return true
}

// probeSlot returns the slot of a server with a reduced weight that is due a probe request,
// or -1.
func (r *Router) probeSlot(req *Request) int {
	if req.NoProbe || !r.anyReduced {
		return -1
	}
	for i := range r.servers {
		if r.weights[i] == 0 {
			continue
		}
		h := &r.servers[i].health
		reducedAndIdle := h.weight < 1 && h.pendingRequests == 0
		if reducedAndIdle && req.Now.Sub(h.lastStart) >= r.probeInterval() && req.Now.Sub(h.lastWeightChange) >= r.cfg.RecoverEvery {
			return i
		}
	}
	return -1
}

// Salts that make the random draws of one decision independent of each other.
const (
	saltWeight = 0x1d8e4e27c47d124f
	saltBound  = 0xeb44accab455d165
)

// collectCandidates returns the servers to score. A server takes part with a probability
// proportional to its weight, so that one at a twentieth is a candidate in a twentieth of the
// decisions, even if its cache and its empty queue make it the cheapest. unshared means that
// no other caller's recent requests have the same affinity key.
func (r *Router) collectCandidates(req *Request, t *serverTotals, unshared bool) (candidateSet, Reason) {
	var cached, ranked, sampled, ignoringBound, ignoringWeight topTwo
	maxMatched := int32(1)
	topRank := uint64(0) // highest rank of all servers, including those at their bound
	topAtBound := false
	key := affinityKey(req)
	for i := range r.servers {
		if r.weights[i] == 0 {
			continue
		}
		serverHash := r.servers[i].hash
		noise := hash.Pair(req.Seed, serverHash)
		ignoringWeight.offer(i, noise)
		if r.weights[i] < t.maxWeight && hash.Unit(hash.Pair(noise, saltWeight))*t.maxWeight >= r.weights[i] {
			continue
		}
		ignoringBound.offer(i, noise)
		rank := hash.Pair(key, serverHash)
		m := r.matched[i]
		// The bound is checked only for servers that could become candidates, which are few.
		cachesMost := m > maxMatched || m == maxMatched && cached.accepts(^noise)
		if rank < topRank && !cachesMost && !sampled.accepts(noise) && !ranked.accepts(rank) {
			continue
		}
		atBound := r.atBound(i, t, unshared && 2*int(m) >= req.PromptTokens, noise, req.Now)
		if rank >= topRank {
			topRank, topAtBound = rank, atBound
		}
		if atBound {
			continue
		}
		sampled.offer(i, noise)
		if key != 0 {
			ranked.offer(i, rank)
		}
		if m > maxMatched {
			maxMatched = m
			cached = topTwo{}
		}
		if m == maxMatched {
			cached.offer(i, ^noise) // inverted, so that ties draw other servers than sampled
		}
	}
	p := candidateSet{firstByRendezvous: -1}
	if sampled.count == 0 {
		p.addAll(&ignoringBound)
		if ignoringBound.count == 0 {
			p.addAll(&ignoringWeight)
		}
		return p, ReasonAllAtBound
	}
	p.addAll(&cached)
	p.addAll(&ranked)
	p.addAll(&sampled)
	if ranked.count > 0 {
		p.firstByRendezvous = ranked.slots[0]
	}
	p.firstAtBound = key != 0 && topAtBound
	return p, ReasonLeastCost
}

// atBound reports whether one more request would put the server in slot i over its load
// bound.
//
// ownConversation means that the request continues a conversation, most of which the server
// caches. No other entry sends it. It may stay while the server uses less than FreeLoad of
// its slots: there it delays no other request, and moving it would repeat its prefill.
//
// Any other request may be one of many. Where n entries send at once, each may use 1/n of
// the headroom that the last report left. If that is less than one request, the entry sends
// one with the probability that makes the n entries fill the headroom together. Otherwise
// 100 entries that see room for one request would each send one.
func (r *Router) atBound(i int, t *serverTotals, ownConversation bool, noise uint64, now time.Time) bool {
	s := &r.servers[i]
	limit := t.maxLoadPerSlot * r.weights[i] * s.slots // the load may reach this, rounded up
	load := r.loads[i]
	if ownConversation {
		return load >= limit && load+1 > r.cfg.FreeLoad*s.slots
	}
	if senders := r.otherSenders(s, t, now); senders > 0 {
		netStarts := float64(max(s.netStarts, 0))
		load += senders * (netStarts + hash.Unit(hash.Pair(noise, saltBound)))
	}
	return load >= limit
}

// otherSenders estimates how many other entries may have sent a request to the server since
// its last report. With CountSenders it assumes that all entries send at this entry's rate
// and that the server receives LoadFactor times its fair share.
func (r *Router) otherSenders(s *server, t *serverTotals, now time.Time) float64 {
	if !r.cfg.CountSenders {
		return float64(r.cfg.Entries - 1)
	}
	age := r.reportAge(s, now).Seconds()
	sent := r.sendRate.perSecond(now) * age * float64(r.cfg.Entries) * r.cfg.LoadFactor / float64(t.servers)
	return min(float64(r.cfg.Entries-1), sent)
}

const (
	// collectedReportLag is the age on arrival of an announced load, which is collected
	// from many entries.
	collectedReportLag = 100 * time.Millisecond
	// queriedReportLag is the age on arrival of a queried load: half a round trip, plus the
	// time in which other entries do not yet see the request.
	queriedReportLag = 2 * time.Millisecond
)

// affinityKey returns the key that related requests share: the hash of the first two
// messages, which are the system prompt and the first message of the conversation. The system
// prompt alone would place all conversations of a service on one server.
func affinityKey(req *Request) uint64 {
	switch n := len(req.Prefixes); n {
	case 0:
		return req.Key
	case 1:
		return req.Prefixes[0]
	default:
		return req.Prefixes[1]
	}
}

// cost estimates the time to first token on the server in slot i.
func (r *Router) cost(req *Request, i int) time.Duration {
	s := &r.servers[i]
	if r.cfg.UrgentFirst {
		return r.urgentWait(s, uncachedTokens(req, r.matched[i]), s.load(), req.Now) + r.distanceCost(req, s)
	}
	tokens := float64(uncachedTokens(req, r.matched[i]) + r.queuedTokens(s, req.Now))
	cost := tokens / r.rateOf(s)
	use := (s.load() + 1) / s.slots
	cost += min(use, 1) * r.cfg.BusyCost.Seconds()
	cost += max(use-1, 0) * r.cfg.SlotTime.Seconds()
	return seconds(cost) + r.distanceCost(req, s)
}

func (r *Router) distanceCost(req *Request, s *server) time.Duration {
	switch {
	case s.region != req.Region:
		return r.cfg.RegionCost
	case s.zone != req.Zone:
		return r.cfg.ZoneCost
	default:
		return 0
	}
}

// uncachedTokens returns the prompt tokens that are left to prefill. matched is the number
// of cached tokens.
func uncachedTokens(req *Request, matched int32) int {
	return max(req.PromptTokens-int(matched), 0)
}

// newVerdict scores the candidates and returns the cheapest, with the others as runners-up.
func (r *Router) newVerdict(req *Request, p *candidateSet, reason Reason) Verdict {
	var scored [maxCandidates]Candidate
	var slots [maxCandidates]int
	for n, slot := range p.slots[:p.count] {
		c := Candidate{
			Server:       r.servers[slot].id,
			Score:        r.cost(req, slot),
			CachedTokens: min(int(r.matched[slot]), req.PromptTokens),
			Load:         int(r.servers[slot].load()),
			Slots:        int(r.servers[slot].slots),
			QueuedTokens: r.queuedTokens(&r.servers[slot], req.Now),
		}
		position := n
		for ; position > 0 && scored[position-1].Score > c.Score; position-- {
			scored[position], slots[position] = scored[position-1], slots[position-1]
		}
		scored[position], slots[position] = c, slot
	}
	if r.cfg.FillLevel && p.count > 1 && reason == ReasonLeastCost {
		n := r.drawFilled(req, slots[:p.count], scored[:p.count])
		moveToFront(slots[:n+1])
		moveToFront(scored[:n+1])
	}
	s := &r.servers[slots[0]]
	v := Verdict{
		Candidate:      scored[0],
		Incarnation:    s.incarnation,
		Address:        s.address,
		Version:        s.version,
		Reason:         reason,
		uncachedTokens: uncachedTokens(req, r.matched[slots[0]]),
		unsureTokens:   max(req.SharedTokens-int(r.matched[slots[0]]), 0),
		runnerUpCount:  p.count - 1,
	}
	copy(v.runnersUp[:], scored[1:p.count])
	if reason == ReasonLeastCost {
		v.Reason = p.reasonFor(slots[0], v.CachedTokens)
	}
	return v
}

// ChooseServer is Choose for a request that may run only on the given server. The verdict
// has no server if that one may not run the request.
func (r *Router) ChooseServer(req *Request, id string) Verdict {
	r.assessServers(req.Now)
	t := r.computeWeights(req)
	slot, known := r.index.slotByID[id]
	if !known || slot >= len(r.weights) || r.weights[slot] == 0 {
		return t.refusal(req.Now)
	}
	r.index.match(req.Prefixes, r.matched)
	var p candidateSet
	p.add(slot)
	return r.newVerdict(req, &p, ReasonPinned)
}
