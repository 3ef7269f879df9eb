package route

import (
	"slices"
	"time"

	"savoryreel.example/savoryreel/instance"
)

// Window of own starts and ends kept for correcting a late load report. A
// report older than the window is corrected by the whole window.
const (
	historyBuckets = 512
	historyWidth   = 10 * time.Millisecond
)

// history counts own starts less own ends per historyWidth.
type history struct {
	tick  int64 // number of the newest bucket
	delta [historyBuckets]int32
}

func tickOf(t time.Time) int64 { return t.UnixNano() / int64(historyWidth) }

// add moves the window to now and counts d there.
func (h *history) add(now time.Time, d int32) {
	tick := tickOf(now)
	if tick-h.tick >= historyBuckets {
		h.delta = [historyBuckets]int32{}
		h.tick = tick
	}
	for h.tick < tick {
		h.tick++
		h.delta[h.tick%historyBuckets] = 0
	}
	h.delta[h.tick%historyBuckets] += d
}

// since sums the buckets that begin at or after t.
func (h *history) since(t time.Time) int {
	sum := 0
	from := max(tickOf(t)+1, h.tick-historyBuckets+1)
	for tick := from; tick <= h.tick; tick++ {
		sum += int(h.delta[tick%historyBuckets])
	}
	return sum
}

// server is what a Router knows of one backend server.
type server struct {
	// What each decision reads of every server comes first, in one cache line or
	// two: at 600 servers the reads from memory are most of a decision's time.
	serving  bool // has not begun to leave in this incarnation
	grown    bool // slow start is over
	slots    float64
	hash     uint64 // of id, for rendezvous
	reported int    // running and waiting as of reportAt
	net      int    // own starts less own ends since reportAt
	own      int    // own requests not ended
	health   health

	id          string
	address     string
	zone        string
	region      string
	version     string
	adapters    []string
	entry       uint64 // another one each time that the server becomes known
	incarnation uint64
	sequence    uint64
	since       time.Time // first seen in this incarnation
	reportAt    time.Time
	reportLag   time.Duration // how old the report was when it arrived
	history     *history

	others backlog // prompts of other entries that wait there, as reported
}

// announce takes in a newer announcement. at is when its load held, on the
// entry's clock.
func (s *server) announce(a *instance.Announcement, at, now time.Time) {
	left := s.incarnation == a.Incarnation && !s.since.IsZero() && !s.serving
	if s.incarnation != a.Incarnation || s.since.IsZero() {
		*s = server{id: s.id, hash: s.hash, entry: s.entry, since: now, history: &history{}, health: newHealth()}
	}
	s.incarnation = a.Incarnation
	s.sequence = a.Sequence
	s.address = a.Address
	s.zone = a.Zone
	s.region = a.Region
	s.version = a.Version
	s.adapters = slices.Clone(a.Adapters)
	s.slots = float64(max(a.Slots, 1))
	// A server that has begun to leave returns only under a new incarnation. A
	// later announcement that calls it serving, sent by a part of it that does
	// not know yet, would otherwise send it work that its end cuts off.
	s.serving = a.State == instance.StateServing && !left
	if at.Before(s.reportAt) {
		return
	}
	s.reportAt, s.reportLag = at, collectedLag
	s.reported = a.Load.Running + a.Load.Waiting
	s.others = backlog{float64(a.Load.Prefill), at}
	s.net = s.history.since(at)
}

// noteLoad takes what others have there now, as was asked for.
func (s *server) noteLoad(running, prefill int, now time.Time) {
	s.reportAt, s.reportLag = now, askedLag
	s.reported = running + s.own
	s.others = backlog{float64(prefill), now}
	s.net = 0
}

func (s *server) started(now time.Time) {
	s.own++
	s.net++
	s.history.add(now, 1)
}

func (s *server) ended(now time.Time) {
	s.own--
	s.net--
	s.history.add(now, -1)
}

// load estimates running and waiting requests: the report, corrected by the
// entry's own starts and ends since, and never less than its own.
func (s *server) load() float64 {
	return float64(max(s.reported+s.net, s.own, 0))
}

// ramp is the part of its full share that a new server may have.
func (s *server) ramp(cfg *Config, now time.Time) float64 {
	if s.grown {
		return 1
	}
	age := now.Sub(s.since)
	if age >= cfg.SlowStart {
		s.grown = true
		return 1
	}
	part := float64(age) / float64(cfg.SlowStart)
	return max(part, cfg.SlowStartShare)
}
