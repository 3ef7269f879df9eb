package gateway

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/policy/route"
	"savoryreel.example/savoryreel/policy/urgency"
)

// trust is the part of a shared beginning that the first server in the rendezvous
// order is taken to cache. Most of them come every few seconds and stay cached for
// as long; one that does not costs a prefill where the order sent it anyway.
const trust = 0.8

// loadFactor is how many times the mean a server may be loaded before a request
// whose shared beginning it caches goes elsewhere. Engines here run one or two
// requests each, so that a second one is twice the mean already: with a bound near it
// most requests would go to servers that have to read their prompts again.
const loadFactor = 5.0

// askedFor is how long what an owner has told of a server stands against reports of what
// all entries have running there, which are up to so old when they arrive.
const askedFor = time.Second

// firstRate is how many tokens a second a server is taken to read until one has been
// seen. Engines of today read some ten to a hundred thousand; with too low a figure the
// requests that share a beginning are kept together on servers that queue.
const firstRate = 30_000

// busyCost is the delay of a first token on a server whose slots are all taken but which
// has nothing to read: requests that are being answered hardly delay it. With a higher
// cost a request leaves the server that caches its beginning for one that has fewer
// answers to write, and its prompt is read again.
const busyCost = 10 * time.Millisecond

// service is what this entry knows of the servers of one service.
type service struct {
	name string

	mu      sync.Mutex
	router  *route.Router
	servers map[string]directory.Server
	seq     map[string]uint64    // of the cache events that this entry makes of its own runs, by server
	told    uint64               // announcements given to the router
	running map[string]int       // this entry's requests, by server
	work    uint64               // prompt tokens sent to be read
	heard   time.Time            // when others' load was last told
	asked   map[string]time.Time // when owners last told of servers
	changed func(serverLoad)     // told of what this entry has running at a server, at each change
}

func newService(name string, entries int, changed func(serverLoad)) *service {
	cfg := route.DefaultConfig()
	cfg.Entries = max(entries, 1)
	cfg.SlowStart = 0 // a new server is not sent more than the others: its book is kept
	cfg.LearnPrefill = true
	cfg.PrefillRate = firstRate
	cfg.Trust = trust
	cfg.LoadFactor = loadFactor
	cfg.CountSenders = true
	cfg.BusyCost = busyCost
	router, err := route.New(cfg)
	if err != nil {
		panic(err) // the defaults are valid, as a test of package route checks
	}
	return &service{
		name: name, router: router, servers: make(map[string]directory.Server), seq: make(map[string]uint64), running: make(map[string]int),
		asked: make(map[string]time.Time), changed: changed,
	}
}

// drop forgets a server that is of another service now.
func (s *service) drop(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.servers[id]; !known {
		return
	}
	s.router.Remove(id)
	delete(s.servers, id)
	delete(s.seq, id)
	delete(s.asked, id)
}

// update takes a server's record. A server that has fallen silent gets no work
// until it is heard again: each request sent there would wait for its connection
// in vain.
func (s *service) update(rec directory.Server, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if held, known := s.servers[rec.ID]; known && held.Incarnation != rec.Incarnation {
		s.seq[rec.ID] = 0
	}
	switch {
	case rec.State == instance.StateGone:
		s.router.Remove(rec.ID)
		delete(s.servers, rec.ID)
		delete(s.seq, rec.ID)
		delete(s.asked, rec.ID)
	case rec.State == instance.StateLeaving:
		s.servers[rec.ID] = rec
		s.router.MarkLeaving(rec.ID, rec.Incarnation)
	case rec.Unreachable:
		s.servers[rec.ID] = rec
		s.router.Remove(rec.ID)
		s.seq[rec.ID] = 0
	default:
		s.servers[rec.ID] = rec
		s.announce(rec, s.running[rec.ID], 0, now)
	}
}

// announce tells the router of a server that serves, with what all entries have
// running there, and what other entries' requests wait for. Records come in the
// directory's order, so they are numbered here.
func (s *service) announce(rec directory.Server, running, prefill int, now time.Time) {
	s.told++
	a := rec.Announcement
	a.Sequence = s.told
	a.Load.Running, a.Load.Prefill = running, prefill
	s.router.Announce(&a, now, now)
}

// choice is a server that was chosen for a run.
type choice struct {
	verdict  route.Verdict
	attempt  route.Attempt
	prefixes []route.CachedPrefix
	answered bool // its first byte has come
	loadAge  time.Duration
	read     time.Duration // what the server is expected to take for the prompt
	rank     int           // that the server is told
	urgency  urgency.Reason
}

// choose picks a server and counts the run there until end.
func (s *service) choose(req *route.Request, prefixes []route.CachedPrefix, now time.Time) (choice, bool) {
	s.mu.Lock()
	v := s.router.Choose(req)
	if !v.OK() {
		s.mu.Unlock()
		return choice{verdict: v}, false
	}
	s.running[v.Server]++
	s.work += uint64(max(v.UncachedTokens(), 0))
	c := choice{verdict: v, attempt: s.router.Started(&v, now), prefixes: prefixes, loadAge: s.loadAge(v.Server, now)}
	c.read = time.Duration(float64(v.UncachedTokens()) / s.router.PrefillRate() * float64(time.Second))
	own := s.ownLoad(v.Server)
	s.mu.Unlock()
	s.changed(own)
	return c, true
}

// ownLoad is what this entry has running at a server. s.mu is held.
func (s *service) ownLoad(id string) serverLoad {
	return serverLoad{Server: id, Running: s.running[id], Prefill: s.router.PendingPrefillTokens(id)}
}

// ownLoads returns what this entry has running, by server.
func (s *service) ownLoads() []serverLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]serverLoad, 0, len(s.running))
	for id := range s.running {
		list = append(list, s.ownLoad(id))
	}
	return list
}

// candidates returns the servers of which one would be chosen.
func (s *service) candidates(req *route.Request) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.router.Candidates(req, nil)
}

// noteAsked takes what others have running at servers now, as was asked for.
func (s *service) noteAsked(loads []serverLoad, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range loads {
		s.asked[l.Server] = now
		s.router.UpdateLoad(l.Server, l.Running, l.Prefill, now)
	}
}

func (s *service) has(server string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, known := s.servers[server]
	return known
}

// rate is how many prompt tokens a server is taken to read in a second.
func (s *service) rate() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.router.PrefillRate()
}

// loadAge is how old the word on what others have running at a server is; 0 before the
// first.
func (s *service) loadAge(server string, now time.Time) time.Duration {
	last := s.heard
	if asked := s.asked[server]; asked.After(last) {
		last = asked
	}
	if last.IsZero() {
		return 0
	}
	return now.Sub(last)
}

// loads appends what this entry has running at the servers.
func (s *service) loads(list []api.ServerLoad) []api.ServerLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, n := range s.running {
		list = append(list, api.ServerLoad{Server: id, Running: n, Prefill: s.router.PendingPrefillTokens(id)})
	}
	return list
}

// suggestRate takes how fast the servers read, as other entries have learnt.
func (s *service) suggestRate(rate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.router.SuggestPrefillRate(rate)
}

// workDone returns what this entry has given the servers to read.
func (s *service) workDone() api.ServiceWork {
	s.mu.Lock()
	defer s.mu.Unlock()
	return api.ServiceWork{Service: s.name, Tokens: s.work, Rate: s.router.LearnedPrefillRate()}
}

// noteOthers takes what other entries have running at the servers now.
func (s *service) noteOthers(others map[string]api.ServerLoad, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard = now
	for id, rec := range s.servers {
		if now.Sub(s.asked[id]) < askedFor {
			continue // the report is older
		}
		if rec.State == instance.StateServing && !rec.Unreachable {
			s.announce(rec, others[id].Running+s.running[id], others[id].Prefill, now)
		}
	}
}

// firstByte notes that a server has begun to answer, and that it caches the parts
// of the prompt from now on.
func (s *service) firstByte(c *choice, now time.Time) {
	if c.answered {
		return
	}
	c.answered = true
	s.mu.Lock()
	s.router.FirstToken(&c.attempt, now)
	s.noteCached(c)
	own := s.ownLoad(c.verdict.Server)
	s.mu.Unlock()
	s.changed(own)
}

// noteCached notes that a server caches what it has read. s.mu is held.
func (s *service) noteCached(c *choice) {
	id := c.verdict.Server
	if _, known := s.servers[id]; !known {
		return
	}
	for _, p := range c.prefixes {
		s.seq[id]++
		s.router.Prefixes().Apply(id, c.verdict.Incarnation,
			instance.CacheEvent{Sequence: s.seq[id], Prefix: p.Prefix, Stored: true, Tokens: p.Tokens})
	}
}

// ending says how a run ended.
type ending uint8

const (
	endedWell ending = iota
	endedBadly
	endedByCaller
	// endedGone: the server is not there any more. Another process has its address, or
	// none.
	endedGone
)

func (s *service) end(c *choice, how ending, now time.Time) {
	s.mu.Lock()
	s.finish(c, how, now)
	own := s.ownLoad(c.verdict.Server)
	s.mu.Unlock()
	own.Down = how == endedGone
	s.changed(own)
}

// finish counts the end of a run. s.mu is held.
func (s *service) finish(c *choice, how ending, now time.Time) {
	if id := c.verdict.Server; s.running[id] > 1 {
		s.running[id]--
	} else {
		delete(s.running, id)
	}
	switch how {
	case endedWell:
		s.router.Finished(&c.attempt, now)
	case endedBadly, endedGone:
		s.router.Failed(&c.attempt, now)
	default:
		s.router.Cancelled(&c.attempt, now)
	}
}

func (s *service) setEntries(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.router.SetEntries(n)
}

// prefixesOf returns the shared beginnings of a prompt, shortest first. A
// beginning is known by all parts up to its end, since a part counts as cached
// only with all parts before it. The last part is the request's own or its
// session's.
func prefixesOf(model string, parts []PromptSegment) []route.CachedPrefix {
	out := make([]route.CachedPrefix, 0, len(parts))
	digest := xxhash.New()
	_, _ = digest.WriteString(model) // a digest never fails
	tokens := 0
	for _, p := range parts {
		_, _ = digest.WriteString("/" + p.ID)
		tokens += p.Tokens
		out = append(out, route.CachedPrefix{Prefix: digest.Sum64(), Tokens: tokens})
	}
	return out
}

// sharedTokens is the length of the beginning that other requests share: all parts
// but the last.
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
