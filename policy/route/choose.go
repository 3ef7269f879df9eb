package route

import (
	"slices"
	"time"

	"savoryreel.example/savoryreel/policy/hash"
)

// Choose decides where the request runs. It does not count the request; call
// Started when it is sent.
func (r *Router) Choose(req *Request) Verdict {
	r.assess(req.Now)
	t := r.weigh(req)
	if t.weight == 0 {
		return Verdict{Reason: t.refusal()}
	}
	r.index.match(req.Prefixes, r.matched)
	if slot := r.probe(req); slot >= 0 {
		var picks picks
		picks.add(slot)
		return r.verdict(req, &picks, ReasonProbe)
	}
	lone := !r.demand.hot(affinityKey(req), req.Now)
	picks, reason := r.gather(req, &t, lone)
	r.trust(req, &picks)
	return r.verdict(req, &picks, reason)
}

// Candidates appends the ids of the servers that Choose would weigh against each other
// for the request, to be asked what runs there. It counts nothing: with the same Seed
// Choose then draws the same ones, as far as what they say lets it.
func (r *Router) Candidates(req *Request, dst []string) []string {
	r.assess(req.Now)
	t := r.weigh(req)
	if t.weight == 0 {
		return dst
	}
	r.index.match(req.Prefixes, r.matched)
	lone := r.demand.lately(affinityKey(req), req.Now)+1 < hotCount
	picks, _ := r.gather(req, &t, lone)
	for _, slot := range picks.slot[:picks.n] {
		dst = append(dst, r.servers[slot].id)
	}
	return dst
}

// trust takes the first server in the rendezvous order to cache what is shared.
func (r *Router) trust(req *Request, p *picks) {
	if p.first < 0 || r.cfg.Trust == 0 {
		return
	}
	r.matched[p.first] = max(r.matched[p.first], int32(r.cfg.Trust*float64(req.SharedTokens)))
}

// tally is what one pass over all servers found.
type tally struct {
	load     float64 // estimated requests on usable servers
	weight   float64 // sum of slots times share
	top      float64 // highest share
	servers  int     // usable ones
	perSlot  float64 // bound on the load for each slot at full share
	serving  bool
	version  bool
	adapter  bool
	excluded bool
}

func (t *tally) refusal() Reason {
	switch {
	case t.excluded:
		return ReasonAllExcluded
	case !t.serving:
		return ReasonNoServer
	case !t.version:
		return ReasonNoVersion
	default:
		return ReasonNoAdapter
	}
}

// weigh sets the weight of each server that may run the request.
func (r *Router) weigh(req *Request) tally {
	var t tally
	for i := range r.servers {
		s := &r.servers[i]
		r.weights[i] = 0
		if !t.usable(s, req) {
			continue
		}
		w := s.health.share * s.ramp(&r.cfg, req.Now)
		r.weights[i] = w
		t.weight += w * s.slots
		r.loads[i] = s.load()
		t.load += r.loads[i]
		t.servers++
		t.top = max(t.top, w)
	}
	t.perSlot = r.cfg.LoadFactor * (t.load + 1) / t.weight
	return t
}

func (t *tally) usable(s *server, req *Request) bool {
	// Work sent to a server that leaves would be cut off at the end of its
	// notice; no score makes up for that, so it is never a candidate.
	if !s.serving {
		return false
	}
	t.serving = true
	if req.Version != "" && s.version != req.Version {
		return false
	}
	t.version = true
	if req.Adapter != "" && !slices.Contains(s.adapters, req.Adapter) {
		return false
	}
	t.adapter = true
	if len(req.Exclude) > 0 && slices.Contains(req.Exclude, s.id) {
		t.excluded = true
		return false
	}
	return true
}

// probe returns the slot of a slow server that is due a trial, or -1.
func (r *Router) probe(req *Request) int {
	if req.NoProbe || !r.eased {
		return -1
	}
	for i := range r.servers {
		if r.weights[i] == 0 {
			continue
		}
		h := &r.servers[i].health
		eased := h.share < 1 && h.pending == 0
		if eased && req.Now.Sub(h.lastStart) >= r.probeEvery() && req.Now.Sub(h.lastStep) >= r.cfg.RecoverEvery {
			return i
		}
	}
	return -1
}

// Salts that make the samples of one decision independent of each other.
const (
	saltShare = 0x1d8e4e27c47d124f
	saltBound = 0xeb44accab455d165
)

// gather collects the candidates. A server takes part with a probability equal
// to its share, so that one at a twentieth is a candidate in a twentieth of the
// decisions, however attractive its cache and its empty queue make it. lone says that
// the request shares its beginning with no other caller's.
func (r *Router) gather(req *Request, t *tally, lone bool) (picks, Reason) {
	var held, ranked, sampled, over, rest best2
	depth := int32(1)
	top := uint64(0) // best rank of all, also of those at their bound
	topFull := false
	key := affinityKey(req)
	for i := range r.servers {
		if r.weights[i] == 0 {
			continue
		}
		own := r.servers[i].hash
		noise := hash.Pair(req.Seed, own)
		rest.offer(i, noise)
		if r.weights[i] < t.top && hash.Unit(hash.Pair(noise, saltShare))*t.top >= r.weights[i] {
			continue
		}
		over.offer(i, noise)
		rank := hash.Pair(key, own)
		m := r.matched[i]
		// The bound is checked only where it matters: few of many servers are
		// among the best so far.
		holds := m > depth || m == depth && held.wants(^noise)
		if rank < top && !holds && !sampled.wants(noise) && !ranked.wants(rank) {
			continue
		}
		full := r.full(i, t, lone && 2*int(m) >= req.PromptTokens, noise, req.Now)
		if rank >= top {
			top, topFull = rank, full
		}
		if full {
			continue
		}
		sampled.offer(i, noise)
		if key != 0 {
			ranked.offer(i, rank)
		}
		if m > depth {
			depth = m
			held = best2{}
		}
		if m == depth {
			held.offer(i, ^noise) // another sample than that of all servers
		}
	}
	p := picks{first: -1}
	if sampled.n == 0 {
		p.addAll(&over)
		if over.n == 0 {
			p.addAll(&rest)
		}
		return p, ReasonAllAtBound
	}
	p.addAll(&held)
	p.addAll(&ranked)
	p.addAll(&sampled)
	if ranked.n > 0 {
		p.first = ranked.slot[0]
	}
	p.spread = key != 0 && topFull
	return p, ReasonLeastCost
}

// full reports whether one more request would put the server in slot i over its
// bound.
//
// own says that the request belongs to one caller's conversation, most of which
// the server caches. No other entry has it, and it may stay while the server
// uses less than FreeLoad of its slots: there it delays nobody, and moving it
// would cost its whole prefill.
//
// Any other request may be one of many: where n entries send at once, each may
// use an n-th of the headroom that the last report left. Where that is less
// than one request, the entry takes one with the probability that makes the n
// entries together fill it; without this, 100 entries that see room for one
// request would each send one. Run with 7 entries, a hot prefix and reports 0.2
// to 1.2 s old: 19% of the starts were over the bound without it, 8% with it.
func (r *Router) full(i int, t *tally, own bool, noise uint64, now time.Time) bool {
	s := &r.servers[i]
	limit := t.perSlot * r.weights[i] * s.slots // its ceiling is what the load may become
	load := r.loads[i]
	if own {
		return load >= limit && load+1 > r.cfg.FreeLoad*s.slots
	}
	if others := r.othersAt(s, t, now); others > 0 {
		since := float64(max(s.net, 0))
		load += others * (since + hash.Unit(hash.Pair(noise, saltBound)))
	}
	return load >= limit
}

// othersAt is how many other entries may have sent a request to a server since its last
// report: as many as send at all in that time, at this entry's rate, to a server that
// gets as much as its bound allows.
func (r *Router) othersAt(s *server, t *tally, now time.Time) float64 {
	if !r.cfg.CountSenders {
		return float64(r.cfg.Entries - 1)
	}
	age := (now.Sub(s.reportAt) + s.reportLag).Seconds()
	sent := r.sends.perSecond(now) * age * float64(r.cfg.Entries) * r.cfg.LoadFactor / float64(t.servers)
	return min(float64(r.cfg.Entries-1), sent)
}

const (
	// collectedLag is how old a report is when it arrives that was collected from many
	// entries.
	collectedLag = 100 * time.Millisecond
	// askedLag is how old an answer is that was asked for: half of a round trip, and what
	// others send before they hear of the request that it was asked for.
	askedLag = 2 * time.Millisecond
)

// affinityKey is what related requests have in common: the first two messages,
// which are the system prompt and what opened the conversation. The system
// prompt alone would gather all conversations of a service on one server.
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
	tokens := float64(uncached(req, r.matched[i]) + r.ahead(s, req.Now))
	cost := tokens / r.cfg.PrefillRate
	use := (s.load() + 1) / s.slots
	cost += min(use, 1) * r.cfg.BusyCost.Seconds()
	cost += max(use-1, 0) * r.cfg.SlotTime.Seconds()
	return seconds(cost) + r.distance(req, s)
}

func (r *Router) distance(req *Request, s *server) time.Duration {
	switch {
	case s.region != req.Region:
		return r.cfg.RegionCost
	case s.zone != req.Zone:
		return r.cfg.ZoneCost
	default:
		return 0
	}
}

func uncached(req *Request, matched int32) int {
	return max(req.PromptTokens-int(matched), 0)
}

// verdict scores the picks and returns the cheapest with the others behind it.
func (r *Router) verdict(req *Request, p *picks, reason Reason) Verdict {
	var scored [maxCandidates]Candidate
	var slots [maxCandidates]int
	for n, slot := range p.slot[:p.n] {
		c := Candidate{
			Server:       r.servers[slot].id,
			Score:        r.cost(req, slot),
			CachedTokens: min(int(r.matched[slot]), req.PromptTokens),
			Load:         int(r.servers[slot].load()),
			Ahead:        r.ahead(&r.servers[slot], req.Now),
		}
		at := n
		for ; at > 0 && scored[at-1].Score > c.Score; at-- {
			scored[at], slots[at] = scored[at-1], slots[at-1]
		}
		scored[at], slots[at] = c, slot
	}
	s := &r.servers[slots[0]]
	v := Verdict{
		Candidate:   scored[0],
		Incarnation: s.incarnation,
		Address:     s.address,
		Reason:      reason,
		uncached:    uncached(req, r.matched[slots[0]]),
		runners:     p.n - 1,
	}
	copy(v.runnerUp[:], scored[1:p.n])
	if reason == ReasonLeastCost {
		v.Reason = p.explain(slots[0], v.CachedTokens)
	}
	return v
}

// ChooseServer is Choose with the server given, for a request that may run only
// there. The verdict has no server if that one may not run the request.
func (r *Router) ChooseServer(req *Request, id string) Verdict {
	r.assess(req.Now)
	t := r.weigh(req)
	slot, known := r.index.slots[id]
	if !known || slot >= len(r.weights) || r.weights[slot] == 0 {
		return Verdict{Reason: t.refusal()}
	}
	r.index.match(req.Prefixes, r.matched)
	var p picks
	p.add(slot)
	return r.verdict(req, &p, ReasonGiven)
}
