package route

import (
	"slices"
	"time"

	"savoryreel.example/savoryreel/instance"
)

// The window of own starts and ends that corrects a late load report. A report older than
// the window is corrected by the whole window.
const (
	historyBuckets     = 512
	historyBucketWidth = 10 * time.Millisecond
)

// history counts own starts minus own ends per historyBucketWidth. A nil history has none.
type history struct {
	newestBucket int64                 // number of the newest bucket, see bucketOf
	netStarts    [historyBuckets]int32 // by bucket number modulo historyBuckets
}

func bucketOf(t time.Time) int64 { return t.UnixNano() / int64(historyBucketWidth) }

// add moves the window to now and adds d to the newest bucket.
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

// since returns the sum of the buckets that begin after t.
func (h *history) since(t time.Time) int {
	if h == nil {
		return 0
	}
	sum := 0
	from := max(bucketOf(t)+1, h.newestBucket-historyBuckets+1)
	for tick := from; tick <= h.newestBucket; tick++ {
		sum += int(h.netStarts[tick%historyBuckets])
	}
	return sum
}

// server is the state of one backend server.
type server struct {
	// The fields that each decision reads of every server come first, to share a
	// cache line or two: with 600 servers, memory reads take most of a decision's time.
	serving       bool // announced as serving, and not leaving
	slowStartDone bool
	paused        bool // pausedUntil is set
	slots         float64
	hash          uint64 // of id, for rendezvous hashing
	reportedLoad  int    // running and waiting requests at reportTime
	netStarts     int    // own starts minus own ends since reportTime
	ownRequests   int    // own requests that have not ended
	health        health

	id           string
	address      string
	zone         string
	region       string
	version      string
	adapters     []string
	registration uint64 // new number each time the server is added
	incarnation  uint64
	sequence     uint64
	firstSeen    time.Time // in this incarnation
	reportTime   time.Time
	reportLag    time.Duration // age of the report on arrival
	queried      bool          // the report was queried by updateLoad
	pausedUntil  time.Time     // see Router.Pause
	history      *history      // nil until the first own request: most entries use few of thousands of servers

	othersBacklog backlog // prompt tokens of other entries, as reported

	rate                float64 // measured prompt tokens per second; 0: not known
	ownUrgent           UrgentWork
	othersUrgent        backlog // prompt tokens of other entries' urgent requests, as reported
	othersUrgentPending int
}

// update applies a newer announcement. at is the time of its load on this entry's clock.
func (s *server) update(a *instance.Announcement, at, now time.Time) {
	wasLeaving := s.incarnation == a.Incarnation && !s.firstSeen.IsZero() && !s.serving
	if s.incarnation != a.Incarnation || s.firstSeen.IsZero() {
		*s = server{id: s.id, hash: s.hash, registration: s.registration, firstSeen: now, health: newHealth()}
	}
	s.incarnation = a.Incarnation
	s.sequence = a.Sequence
	s.address = a.Address
	s.zone = a.Zone
	s.region = a.Region
	s.version = a.Version
	s.adapters = slices.Clone(a.Adapters)
	s.slots = float64(max(a.Slots, 1))
	// A leaving server returns only under a new incarnation. A later announcement of this
	// one as serving, from a component that does not have the notice yet, would send it
	// requests that are cut off when it stops.
	s.serving = a.State == instance.StateServing && !wasLeaving
	if at.Before(s.reportTime) {
		return
	}
	s.reportTime, s.reportLag, s.queried = at, collectedReportLag, false
	s.reportedLoad = a.Load.Running + a.Load.Waiting
	s.othersBacklog = backlog{float64(a.Load.Prefill), at}
	s.othersUrgent, s.othersUrgentPending = s.othersBacklog, 0
	s.netStarts = s.history.since(at)
}

// updateLoad sets the current load of other entries, as queried.
func (s *server) updateLoad(running, prefill int, now time.Time) {
	s.reportTime, s.reportLag, s.queried = now, queriedReportLag, true
	s.reportedLoad = running + s.ownRequests
	s.othersBacklog = backlog{float64(prefill), now}
	s.othersUrgent, s.othersUrgentPending = s.othersBacklog, 0
	s.netStarts = 0
}

func (s *server) started(now time.Time) {
	s.ownRequests++
	s.netStarts++
	s.recordHistory(now, 1)
}

func (s *server) ended(now time.Time) {
	s.ownRequests--
	s.netStarts--
	s.recordHistory(now, -1)
}

func (s *server) recordHistory(now time.Time, d int32) {
	if s.history == nil {
		s.history = &history{}
	}
	s.history.add(now, d)
}

// load estimates the running and waiting requests: the report plus own starts minus own ends
// since, and at least the own requests.
func (s *server) load() float64 {
	return float64(max(s.reportedLoad+s.netStarts, s.ownRequests, 0))
}

// slowStartFraction returns the fraction of its full share that a new server may have.
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
