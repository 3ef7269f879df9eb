package route

import (
	"cmp"
	"slices"
	"time"

	"savoryreel.example/savoryreel/policy/hash"
)

// meanTokensSmoothing is the smoothing factor of Router.meanTokens.
const meanTokensSmoothing = 0.05

// saltFill makes the draw of a server independent of the draw of the candidates.
const saltFill = 0x6a09e667f3bcc909

// fillCandidate is a candidate as drawFilled sees it.
type fillCandidate struct {
	position int     // among the scored candidates
	cost     float64 // seconds, as known
	step     float64 // seconds by which a further request raises the cost
}

// drawFilled returns the position of the candidate to use, of count candidates in ascending order
// of score.
//
// All entries know the same loads until the next report and would take the same server. The
// requests that the others are expected to have sent to the candidates since then are
// thought to fill the cheapest candidates until these are level. Each candidate is drawn with
// the probability of its part: with a fresh report the cheapest one, with an old one all of them
// by their speed.
func (r *Router) drawFilled(req *Request, slots []int, scored []Candidate) int {
	var filled [maxCandidates]fillCandidate
	oldest := time.Duration(0)
	for n, slot := range slots {
		s := &r.servers[slot]
		filled[n] = fillCandidate{n, scored[n].Score.Seconds() + r.slotCost(s), r.fillStep(s, req)}
		oldest = max(oldest, r.reportAge(s, req.Now))
	}
	sends, servers := r.othersSends(oldest)
	expected := sends * float64(len(slots)) / float64(max(servers, 1))
	return drawByLevel(filled[:len(slots)], expected, hash.Unit(hash.Pair(req.Seed, saltFill)))
}

// drawByLevel returns the position of a candidate, drawn by the part of the expected requests that
// it takes until all that take any have the same cost. unit is random, in [0, 1).
func drawByLevel(c []fillCandidate, expected, unit float64) int {
	slices.SortStableFunc(c, func(a, b fillCandidate) int { return cmp.Compare(a.cost, b.cost) })
	// With the first n candidates, sum((level-cost)/step) = expected.
	if expected <= 0 {
		return c[0].position
	}
	level, perStep, costPerStep, used := 0.0, 0.0, 0.0, 0
	for n := range c {
		if n > 0 && c[n].cost >= level {
			break
		}
		perStep += 1 / c[n].step
		costPerStep += c[n].cost / c[n].step
		level = (expected + costPerStep) / perStep
		used = n + 1
	}
	left := unit * expected
	for _, f := range c[:used] {
		if left -= (level - f.cost) / f.step; left < 0 {
			return f.position
		}
	}
	return c[0].position
}

// fillStep returns the seconds by which a request of mean size raises the cost of a server.
func (r *Router) fillStep(s *server, req *Request) float64 {
	tokens := r.meanTokens
	if tokens == 0 {
		tokens = float64(req.PromptTokens)
	}
	step := max(tokens, 1)/r.rateOf(s) + r.cfg.BusyCost.Seconds()/s.slots
	if s.load() >= s.slots {
		step += r.currentSlotTime().Seconds() / s.slots
	}
	return step
}

// slotCost returns the expected wait for a slot on a server with its load, in seconds: the nearer
// all its slots are to being taken, the more often the last one is when the request arrives. It is
// not part of Candidate.Score, which is the wait of a request that finds a slot free.
func (r *Router) slotCost(s *server) float64 {
	use := min((s.load()+1)/s.slots, 1)
	return use * use * r.currentSlotTime().Seconds() / s.slots
}

// othersSends estimates how many requests the other entries have sent to the eligible servers within
// a time, and returns the number of these servers. The estimate is the servers' slots in use over the time
// that a request holds one. The rate of this entry's own requests is no measure: one of hundreds
// of entries sends one in ten seconds.
func (r *Router) othersSends(age time.Duration) (sends float64, servers int) {
	used := 0.0
	for i := range r.weights {
		if r.weights[i] > 0 {
			used += min(r.loads[i], r.servers[i].slots)
			servers++
		}
	}
	others := float64(r.cfg.Entries-1) / float64(r.cfg.Entries)
	return others * used * age.Seconds() / (r.meanFirstToken + r.currentSlotTime()).Seconds(), servers
}

// moveToFront moves the last element to the front and keeps the order of the others.
func moveToFront[T any](s []T) {
	last := s[len(s)-1]
	copy(s[1:], s)
	s[0] = last
}
