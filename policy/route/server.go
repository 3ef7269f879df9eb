package route

import (
	"slices"
	"time"

	"savoryreel.example/savoryreel/instance"
)

// Window of own starts and ends kept for correcting a late load report. A
// report older than the window is corrected by the whole window.
const (
	historyBuckets     = 512
	historyBucketWidth = 10 * time.Millisecond
)

// history counts own starts less own ends per historyWidth.
type history struct {
	newestBucket int64 // number of the newest bucket
	netStarts    [historyBuckets]int32
}

func bucketOf(t time.Time) int64 { return t.UnixNano() / int64(historyBucketWidth) }

// add moves the window to now and counts d there.
func (h *history) add(now time.Time, d int32) {
	tick := bucketOf(now)
	if tick-h.newestBucket >= historyBuckets {
		h.netStarts = [historyBuckets]int32{}
		h.newestBucket = tick
	}
	for h.newestBucket < tick {
		h.newestBucket++
		h.netStarts[h.newestBucket%historyBuckets] = 0
	}
	h.netStarts[h.newestBucket%historyBuckets] += d
}

// since sums the buckets that begin at or after t.
func (h *history) since(t time.Time) int {
	sum := 0
	from := max(bucketOf(t)+1, h.newestBucket-historyBuckets+1)
	for tick := from; tick <= h.newestBucket; tick++ {
		sum += int(h.netStarts[tick%historyBuckets])
	}
	return sum
}

// server is what a Router knows of one backend server.
type server struct {
	// What each decision reads of every server comes first, in one cache line or
	// two: at 600 servers the reads from memory are most of a decision's time.
	serving       bool // has not begun to leave in this incarnation
	slowStartDone bool // slow start is over
	slots         float64
	hash          uint64 // of id, for rendezvous
	reportedLoad  int    // running and waiting as of reportAt
	netStarts     int    // own starts less own ends since reportAt
	ownRequests   int    // own requests not ended
	health        health

	id           string
	address      string
	zone         string
	region       string
	version      string
	adapters     []string
	registration uint64 // another one each time that the server becomes known
	incarnation  uint64
	sequence     uint64
	firstSeen    time.Time // first seen in this incarnation
	reportTime   time.Time
	reportLag    time.Duration // how old the report was when it arrived
	history      *history

	othersBacklog backlog // prompts of other entries that wait there, as reported
}

// update takes in a newer announcement. at is when its load held, on the
// entry's clock.
func (s *server) update(a *instance.Announcement, at, now time.Time) {
	wasLeaving := s.incarnation == a.Incarnation && !s.firstSeen.IsZero() && !s.serving
	if s.incarnation != a.Incarnation || s.firstSeen.IsZero() {
		*s = server{id: s.id, hash: s.hash, registration: s.registration, firstSeen: now, history: &history{}, health: newHealth()}
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
	s.serving = a.State == instance.StateServing && !wasLeaving
	if at.Before(s.reportTime) {
		return
	}
	s.reportTime, s.reportLag = at, collectedReportLag
	s.reportedLoad = a.Load.Running + a.Load.Waiting
	s.othersBacklog = backlog{float64(a.Load.Prefill), at}
	s.netStarts = s.history.since(at)
}

// updateLoad takes what others have there now, as was asked for.
func (s *server) updateLoad(running, prefill int, now time.Time) {
	s.reportTime, s.reportLag = now, queriedReportLag
	s.reportedLoad = running + s.ownRequests
	s.othersBacklog = backlog{float64(prefill), now}
	s.netStarts = 0
}

func (s *server) started(now time.Time) {
	s.ownRequests++
	s.netStarts++
	s.history.add(now, 1)
}

func (s *server) ended(now time.Time) {
	s.ownRequests--
	s.netStarts--
	s.history.add(now, -1)
}

// load estimates running and waiting requests: the report, corrected by the
// entry's own starts and ends since, and never less than its own.
func (s *server) load() float64 {
	return float64(max(s.reportedLoad+s.netStarts, s.ownRequests, 0))
}

// slowStartFraction is the part of its full share that a new server may have.
func (s *server) slowStartFraction(cfg *Config, now time.Time) float64 {
	if s.slowStartDone {
		return 1
	}
	age := now.Sub(s.firstSeen)
	if age >= cfg.SlowStart {
		s.slowStartDone = true
		return 1
	}
	fraction := float64(age) / float64(cfg.SlowStart)
	return max(fraction, cfg.SlowStartShare)
}
