package gateway

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/policy/room"
	"savoryreel.example/savoryreel/policy/route"
	"savoryreel.example/savoryreel/policy/urgency"
)

// cachedPrefixTrust is the probability that the first server in the rendezvous order of a
// shared prefix still caches it. Frequently used prefixes stay cached; a miss costs a
// prefill.
const cachedPrefixTrust = 0.8

// maxLoadFactor is how many times the mean load a server may have before a request whose
// prefix it caches goes elsewhere. Servers run one or two requests each, so that a second
// request doubles the load: a bound near 2 would send most requests to servers that have to
// prefill.
const maxLoadFactor = 5.0

// ownerReportTTL is how long an owner's report on a server takes precedence over the control
// replicas' reports, which may be that old when they arrive.
const ownerReportTTL = time.Second

// initialPrefillRate is the assumed prompt tokens per second of a server until a rate has
// been learned. Too low a rate keeps requests with a shared prefix together on servers that
// queue.
const initialPrefillRate = 30_000

// busyServerDelay is the assumed delay of the first token on a server whose slots are all
// taken but which has nothing to prefill. A higher value moves requests away from servers
// that cache their prefix.
const busyServerDelay = 10 * time.Millisecond

// service holds the servers of one service and this entry's requests on them.
type service struct {
	name string

	mu              sync.Mutex
	router          *route.Router
	servers         map[string]directory.Server
	cacheSequence   map[string]uint64      // by server: last cache event derived from own requests
	announced       uint64                 // announcements passed to the router
	running         map[string]ownRequests // by server
	prefillTokens   uint64                 // prompt tokens sent to servers, less the cached ones
	reportedAt      time.Time              // last report of the control replicas on others' load
	brittle         brittleness
	contended       bool // requests compete for slots, see room.Contended
	shortage        room.Shortage
	lastSends       map[string]lastSend  // by server
	busy            map[string]struct{}  // servers that may have load: own, or others' by the last report
	ownerReportedAt map[string]time.Time // last report of its owner, by server
	onLoadChange    func(serverLoad)     // called without mu with this entry's load on a server after each change
}

func newService(name string, entries int, onLoadChange func(serverLoad)) *service {
	cfg := route.DefaultConfig()
	cfg.Entries = max(entries, 1)
	cfg.SlowStart = 0 // not needed, since owners report other entries' load
	cfg.LearnPrefill = true
	cfg.PrefillRate = initialPrefillRate
	cfg.Trust = cachedPrefixTrust
	cfg.LoadFactor = maxLoadFactor
	cfg.CountSenders = true
	cfg.BusyCost = busyServerDelay
	router, err := route.New(cfg)
	if err != nil {
		panic(err) // the configuration is valid for every number of entries
	}
	return &service{
		name: name, router: router, servers: make(map[string]directory.Server), cacheSequence: make(map[string]uint64), running: make(map[string]ownRequests),
		busy: make(map[string]struct{}), lastSends: make(map[string]lastSend),
		ownerReportedAt: make(map[string]time.Time), onLoadChange: onLoadChange,
	}
}

// drop removes a server that now belongs to another service.
func (s *service) drop(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.servers[id]; !known {
		return
	}
	s.router.Remove(id)
	delete(s.servers, id)
	delete(s.cacheSequence, id)
	delete(s.ownerReportedAt, id)
	delete(s.lastSends, id)
}

// update applies a record of a server. An unreachable server gets no requests until its
// heartbeats return, since each would wait for a connection in vain. It reports whether the requests of this
// entry on an earlier start of the server no longer count.
func (s *service) update(rec directory.Server, now time.Time) (unloaded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	unloaded = s.forgetEarlierStart(&rec)
	if old, known := s.servers[rec.ID]; known && old.Incarnation != rec.Incarnation {
		s.cacheSequence[rec.ID] = 0
	}
	switch {
	case rec.State == instance.StateGone:
		s.router.Remove(rec.ID)
		delete(s.servers, rec.ID)
		delete(s.cacheSequence, rec.ID)
		delete(s.ownerReportedAt, rec.ID)
		delete(s.lastSends, rec.ID)
	case rec.State == instance.StateLeaving:
		s.servers[rec.ID] = rec
		s.router.MarkLeaving(rec.ID, rec.Incarnation)
	case rec.Unreachable:
		s.servers[rec.ID] = rec
		s.router.Remove(rec.ID)
		s.cacheSequence[rec.ID] = 0
	default:
		s.servers[rec.ID] = rec
		delete(s.ownerReportedAt, rec.ID) // the announcement replaces its report
		s.announce(rec, s.running[rec.ID].count, 0, now)
	}
	return unloaded
}

// announce passes a serving server to the router, with the requests of all entries that run
// on it and the prompt tokens that requests of other entries wait for. Announcements are
// numbered here, in the order of the directory. s.mu is held.
func (s *service) announce(rec directory.Server, running, prefill int, now time.Time) {
	s.announced++
	a := rec.Announcement
	a.Sequence = s.announced
	a.Load.Running, a.Load.Prefill = running, prefill
	s.router.Announce(&a, now, now)
}

// choice is a server chosen for an attempt.
type choice struct {
	verdict     route.Verdict
	attempt     route.Attempt
	prefixes    []route.CachedPrefix
	answered    bool // the first byte of its answer has arrived
	misplaced   bool // the server has no free slot while another candidate has one
	sentAt      time.Time
	loadAge     time.Duration
	prefillTime time.Duration // expected time for the uncached part of the prompt
	rank        int           // sent to the server
	urgency     urgency.Reason
	stateFrom   string    // replica that has reported the server as serving
	stateAt     time.Time // when it did
	send        *rolloutSend
}

// choose picks a server and counts the request there until end; report reports it to other
// entries. The second result is false if there is no server.
func (s *service) choose(req *route.Request, prefixes []route.CachedPrefix, now time.Time) (choice, bool) {
	s.mu.Lock()
	v := s.router.Choose(req)
	if !v.OK() {
		s.mu.Unlock()
		return choice{verdict: v}, false
	}
	s.addRunning(v.Server, v.Incarnation)
	s.busy[v.Server] = struct{}{}
	c := choice{verdict: v, attempt: s.router.Started(&v, now), prefixes: prefixes, loadAge: s.loadAge(v.Server, now), misplaced: v.BesideRoom()}
	rec := s.servers[v.Server]
	c.stateFrom, c.stateAt = rec.StateFrom, rec.StateAt
	c.prefillTime = time.Duration(float64(v.UncachedTokens()) / s.router.PrefillRate() * float64(time.Second))
	s.mu.Unlock()
	return c, true
}

// recordSent records that a request is sent to the chosen server.
func (s *service) recordSent(c *choice, request string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.servers[c.verdict.Server]; known {
		s.lastSends[c.verdict.Server] = lastSend{request, now}
	}
	s.prefillTokens += uint64(max(c.verdict.UncachedTokens(), 0))
}

// candidates returns the servers among which choose would pick.
func (s *service) candidates(req *route.Request) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.router.Candidates(req, nil)
}

// applyOwnerLoads applies the load of other entries as the servers' owners report it.
func (s *service) applyOwnerLoads(loads []serverLoad, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range loads {
		s.ownerReportedAt[l.Server] = now
		s.busy[l.Server] = struct{}{}
		s.router.UpdateLoad(l.Server, l.Running, l.Prefill, now)
		s.applyUrgentLoad(&l, now)
	}
}

func (s *service) has(server string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, known := s.servers[server]
	return known
}

// prefillRate returns the prompt tokens per second that a server is assumed to process.
func (s *service) prefillRate() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.router.PrefillRate()
}

// loadAge returns the age of the last report of others' load on a server; 0 before the
// first. s.mu is held.
func (s *service) loadAge(server string, now time.Time) time.Duration {
	last := s.reportedAt
	if reportedAt := s.ownerReportedAt[server]; reportedAt.After(last) {
		last = reportedAt
	}
	if last.IsZero() {
		return 0
	}
	return now.Sub(last)
}

// suggestPrefillRate passes the prefill rate that other entries have learned to the router.
func (s *service) suggestPrefillRate(rate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.router.SuggestPrefillRate(rate)
}

// prefillWork returns the prompt tokens that this entry has sent to the service's servers,
// and the prefill rate that it has learned.
func (s *service) prefillWork() api.ServiceWork {
	s.mu.Lock()
	defer s.mu.Unlock()
	rate, samples := s.router.LearnedPrefillRate()
	return api.ServiceWork{Service: s.name, Tokens: s.prefillTokens, Rate: rate, Samples: samples}
}

// applyReportedLoads applies the load of other entries as a control replica reports it. A
// server that others does not name has none of them. Only servers that have load, or had at
// the last report, are announced again: the others, thousands of them, are as they were.
func (s *service) applyReportedLoads(others map[string]api.ServerLoad, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reportedAt = now
	s.router.SetReportTime(now)
	for id := range others {
		s.busy[id] = struct{}{}
	}
	for id := range s.busy {
		rec, known := s.servers[id]
		if !known {
			delete(s.busy, id)
			continue
		}
		if now.Sub(s.ownerReportedAt[id]) < ownerReportTTL {
			continue // the owner's report is newer
		}
		if rec.State == instance.StateServing && !rec.Unreachable {
			s.announce(rec, others[id].Running+s.running[id].count, others[id].Prefill, now)
		}
		if others[id].Running == 0 && s.running[id].count == 0 {
			delete(s.busy, id)
		}
	}
}

// recordFirstByte records that the server has started to answer and therefore caches the
// prompt.
func (s *service) recordFirstByte(c *choice, now time.Time) {
	if c.answered {
		return
	}
	c.answered = true
	c.send.firstByte(now)
	s.mu.Lock()
	rate := c.attempt.MeasuredRate(now)
	s.router.FirstToken(&c.attempt, now)
	s.recordCached(c)
	own := s.ownLoad(c.verdict.Server)
	if own.Urgent != nil {
		own.Urgent.Rate, own.Urgent.Incarnation = int(rate), c.verdict.Incarnation
	}
	s.mu.Unlock()
	s.onLoadChange(own)
}

// recordCached adds the prompt's prefixes to those that the server caches. s.mu is held.
func (s *service) recordCached(c *choice) {
	id := c.verdict.Server
	if _, known := s.servers[id]; !known {
		return
	}
	for _, p := range c.prefixes {
		s.cacheSequence[id]++
		s.router.Prefixes().Apply(id, c.verdict.Incarnation,
			instance.CacheEvent{Sequence: s.cacheSequence[id], Prefix: p.Prefix, Stored: true, Tokens: p.Tokens})
	}
}

func (s *service) setEntries(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.router.SetEntries(n)
}

// prefixesOf returns the prefixes of a prompt, shortest first. A prefix is identified by all
// its segments, since a segment counts as cached only together with those before it. The
// last segment belongs to the request or its session.
func prefixesOf(model string, segments []PromptSegment) []route.CachedPrefix {
	out := make([]route.CachedPrefix, 0, len(segments))
	digest := xxhash.New()
	_, _ = digest.WriteString(model) // a digest never fails
	tokens := 0
	for _, p := range segments {
		_, _ = digest.WriteString("/" + p.ID)
		tokens += p.Tokens
		out = append(out, route.CachedPrefix{Prefix: digest.Sum64(), Tokens: tokens})
	}
	return out
}

// sharedTokens returns the length of the prefix that other requests share: all segments but
// the last.
func sharedTokens(prefixes []route.CachedPrefix) int {
	if n := len(prefixes); n > 1 {
		return prefixes[n-2].Tokens
	}
	return 0
}

func hashesOf(prefixes []route.CachedPrefix) []uint64 {
	out := make([]uint64, len(prefixes))
	for i, p := range prefixes {
		out[i] = p.Prefix
	}
	return out
}
