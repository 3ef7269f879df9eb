package queue

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"savoryreel.example/savoryreel/policy"
)

// StartConfig sets how many slots are kept free, and for whom.
type StartConfig struct {
	// Headroom is the part of all slots that a workspace leaves free once it
	// runs its share of them, for those that run less than theirs. Unless it
	// is 0, at least one slot for each entry is left free.
	Headroom float64 // 0 to 0.5

	// LongTokens is the cost from which on an item is long, and LongHeadroom
	// the part of all slots that long items leave free for short ones.
	LongTokens   int64
	LongHeadroom float64 // 0 to 0.5

	// Memory is how long after its last item a workspace, or short work, still
	// counts.
	Memory time.Duration
}

// DefaultStartConfig returns the values in use; docs/DECISIONS.md has the reasons.
//
// Both headrooms cost that part of the capacity while they are kept, hence
// about a twentieth, and nothing while all workspaces run their share. Items of
// 2,000 tokens hold a slot ten times as long as the usual answer of 200.
func DefaultStartConfig() StartConfig {
	return StartConfig{
		Headroom:     0.05,
		LongTokens:   2_000,
		LongHeadroom: 0.1,
		Memory:       time.Minute,
	}
}

// Validate returns a *policy.ConfigError for the first field that is out of range.
func (c StartConfig) Validate() error {
	return policy.Check("queue",
		policy.Require("Headroom", c.Headroom >= 0 && c.Headroom <= 0.5, "between 0 and 0.5"),
		policy.Require("LongTokens", c.LongTokens >= 1, "at least 1"),
		policy.Require("LongHeadroom", c.LongHeadroom >= 0 && c.LongHeadroom <= 0.5, "between 0 and 0.5"),
		policy.Require("Memory", c.Memory > 0, "above 0"),
	)
}

// Slots are the requests that the backend servers of a service run side by
// side, as one entry sees them: by load reports that all entries share and that
// are late. A server with more work than slots has none free.
type Slots struct {
	Total    int
	Free     int // of all, as last reported
	Taken    int // how many of these this entry has taken since, less those it has given back
	Assigned int // this entry's part of them by SplitSlots, less what it has taken; not used with one entry
	Entries  int // how many entries start work on them; below 1 counts as 1
	Entry    int // this one's number among them, from 0
	Report   int // number of the report, the same at all entries
}

// left returns how many slots this entry may take of those that are free
// beyond kept. It is negative where the entry has to let some go.
func (s Slots) left(kept int) int {
	return EntrySlots(s.Free-kept, s.Entries, s.Entry+s.Report) - s.Taken
}

// plenty is how many times as many slots as entries have to be free for all to
// take any of them: two that take the same are rare then.
const plenty = 3

// mine reports whether this entry may take a slot at all.
func (s Slots) mine(sparing bool) bool {
	left := s.Free - s.Taken
	if s.Entries <= 1 || s.Assigned > 0 {
		return left > 0
	}
	return !sparing && left > plenty*s.Entries
}

// EntrySlots returns one entry's part of n slots that all entries learn of by the same
// report. What goes wrong otherwise: each entry takes all of them, and requests
// pile up at the servers; one would notice it by first tokens that are late
// although slots were free.
//
// The parts of entries with turns that differ by one each add up to n, also for
// negative n. With turn = entry + report the remainder goes around.
func EntrySlots(n, entries, turn int) int {
	if entries <= 1 {
		return n
	}
	return int(math.Floor(float64(n+turn%entries) / float64(entries)))
}

// SplitSlots splits the free slots of servers among the entries, in place: free[i]
// becomes this entry's part of server i's. No slot is in two parts, and what
// the entries get of all servers together differs by one slot at most. A server
// with more work than slots has a negative number, of which each entry has its
// part to work off.
func SplitSlots(free []int, entries, turn int) []int {
	before := 0
	for i, n := range free {
		if n < 0 {
			free[i] = EntrySlots(n, entries, turn+i)
			continue
		}
		free[i] = EntrySlots(before+n, entries, turn) - EntrySlots(before, entries, turn)
		before += n
	}
	return free
}

// StartReason says why an item may start or has to wait.
type StartReason uint8

// The reasons of a StartVerdict.
const (
	StartBelowShare   StartReason = iota // the workspace runs less than its share
	StartFree                            // there are more free slots than are kept for others
	NoSlot                               // every slot is taken
	HeldForOthers                        // the free slots are kept for workspaces below their share
	HeldForShort                         // the free slots are kept for short work
	AssignedElsewhere                    // the free slots are other entries' to take
)

var startNames = [...]string{
	StartBelowShare:   "start_below_share",
	StartFree:         "start_free",
	NoSlot:            "no_slot",
	HeldForOthers:     "held_for_others",
	HeldForShort:      "held_for_short",
	AssignedElsewhere: "not_mine",
}

// String returns the reason as it stands in logs.
func (r StartReason) String() string {
	if int(r) >= len(startNames) {
		return "unknown"
	}
	return startNames[r]
}

// StartVerdict is the decision whether an item may take a slot now.
type StartVerdict struct {
	Start  bool
	Reason StartReason
}

// Held reports whether the item waits for more than its turn.
func (v StartVerdict) Held() bool {
	return v.Reason == HeldForOthers || v.Reason == HeldForShort
}

// Eligibility returns the verdict as PopFunc takes it, for a queue whose items
// all compete for the same slots.
func (v StartVerdict) Eligibility() Eligibility {
	switch {
	case v.Start:
		return Runs
	case v.Reason == NoSlot:
		return AllWait
	case v.Reason == HeldForOthers || v.Reason == AssignedElsewhere:
		return WorkspaceWaits
	default:
		return Waits
	}
}

// Starter decides whether a waiting item may take a free slot. It answers a
// surge of one workspace, and long work among short.
//
// A fair order of starts is not enough: requests are not interrupted, so once a
// surge or some long answers hold every slot, the next request of a quiet
// workspace waits until one of them ends, and its first token is late although
// it is first in the queue. So whoever holds its share of the slots leaves a
// few free. It is not safe for concurrent use.
type Starter struct {
	cfg     StartConfig
	running map[string]*usage
	weights int       // of all of running
	short   time.Time // when short work was last seen
	swept   time.Time
}

// usage is what one workspace holds.
type usage struct {
	weight    int
	slots     int
	elsewhere int // slots that other entries hold for it, as last heard
	seen      time.Time
	turn      int // spreads the remainders of several workspaces over the entries
}

// NewStarter returns a Starter with nothing running, or the *policy.ConfigError of an
// invalid cfg.
func NewStarter(cfg StartConfig) (*Starter, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Starter{cfg: cfg, running: make(map[string]*usage)}, nil
}

// Seen notes an item that has come. Call it before Decide.
func (s *Starter) Seen(now time.Time, item *Item) {
	u, ok := s.running[item.Workspace]
	if !ok {
		u = &usage{weight: defaultWeight, turn: int(xxhash.Sum64String(item.Workspace) % maxTurn)}
		s.running[item.Workspace] = u
		s.weights += u.weight
	}
	u.seen = now
	if item.Weight > 0 {
		s.weights += item.Weight - u.weight
		u.weight = item.Weight
	}
	if item.Cost < s.cfg.LongTokens {
		s.short = now
	}
}

// maxTurn bounds the turn of a workspace; it is more than the number of entries.
const maxTurn = 1 << 16

// sweepsPerMemory is how often, in a Memory, workspaces that no longer count
// are looked for.
const sweepsPerMemory = 60

func (s *Starter) sweep(now time.Time) {
	if now.Sub(s.swept) < s.cfg.Memory/sweepsPerMemory {
		return
	}
	s.swept = now
	for name, u := range s.running {
		if !u.active(now, s.cfg.Memory) {
			s.weights -= u.weight
			delete(s.running, name)
		}
	}
}

func (u *usage) active(now time.Time, memory time.Duration) bool {
	return u.slots > 0 || now.Sub(u.seen) < memory
}

// Started notes that an item took a slot.
func (s *Starter) Started(now time.Time, item *Item) {
	s.Seen(now, item)
	s.running[item.Workspace].slots++
}

// Ended notes that a started item of this workspace has given its slot back.
func (s *Starter) Ended(workspace string) {
	if u, ok := s.running[workspace]; ok {
		u.slots = max(0, u.slots-1)
	}
}

// Decide says whether item may take one of the free slots. One that has started
// before is not held for others: its caller is in the middle of the answer.
func (s *Starter) Decide(now time.Time, item *Item, slots Slots) StartVerdict {
	return s.DecideBehind(now, item, slots, 0)
}

// DecideBehind is Decide for an item that has not been let in yet, as if so many
// others of its workspace that wait had started.
func (s *Starter) DecideBehind(now time.Time, item *Item, slots Slots, waiting int) StartVerdict {
	s.sweep(now)
	slots.Taken += waiting
	slots.Assigned -= waiting
	if s.yieldsToShort(now, item) && slots.left(kept(s.cfg.LongHeadroom, slots)) <= 0 {
		return StartVerdict{Reason: HeldForShort}
	}
	below := item.Resumed || s.belowShare(item.Workspace, slots, waiting)
	if !below && slots.left(kept(s.cfg.Headroom, slots)) <= 0 {
		return StartVerdict{Reason: HeldForOthers}
	}
	if slots.Free <= slots.Taken {
		return StartVerdict{Reason: NoSlot}
	}
	if !slots.mine(!below) {
		return StartVerdict{Reason: AssignedElsewhere}
	}
	if below {
		return StartVerdict{Start: true, Reason: StartBelowShare}
	}
	return StartVerdict{Start: true, Reason: StartFree}
}

// yieldsToShort reports whether item is long and there is short work.
func (s *Starter) yieldsToShort(now time.Time, item *Item) bool {
	return item.Cost >= s.cfg.LongTokens && !item.Resumed && now.Sub(s.short) < s.cfg.Memory
}

// kept is that part of all slots, and at least one for each entry: with fewer,
// an entry's part of them is none most of the time, and the next request of a
// quiet workspace there would wait all the same.
func kept(part float64, slots Slots) int {
	if part == 0 {
		return 0
	}
	return max(slots.Entries, int(math.Ceil(part*float64(slots.Total))))
}

// SetRemoteSlots notes how many slots other entries hold for a workspace, as they
// said last. Without it a workspace that holds much here and little elsewhere
// would count as above its share.
func (s *Starter) SetRemoteSlots(workspace string, slots int) {
	if u, ok := s.running[workspace]; ok {
		u.elsewhere = slots
	}
}

// Backlog returns what item would wait behind in q if it were let in now, with
// what depends on the slots filled in.
func (s *Starter) Backlog(now time.Time, q *Queue, item *Item, slots Slots) Backlog {
	b := q.Backlog(item.Workspace, item.Class, item.Weight)
	waiting := 0
	if f, ok := q.flows[item.Workspace]; ok {
		waiting = f.items
	}
	v := s.DecideBehind(now, item, slots, waiting)
	b.Lasting, b.Starts, b.Held = s.Share(item.Workspace), v.Start, v.Held()
	return b
}

// Share returns a workspace's part of the service, 0 to 1, by its weight among
// the workspaces that run something or have lately.
func (s *Starter) Share(workspace string) float64 {
	own, ok := s.running[workspace]
	if !ok || s.weights == 0 {
		return float64(defaultWeight) / float64(s.weights+defaultWeight)
	}
	return float64(own.weight) / float64(s.weights)
}

// belowShare reports whether a workspace holds fewer slots than its weight among
// the active workspaces gives it: here fewer than this entry's part of them, or
// over all entries.
//
// The parts of all entries add up to the share. If each entry rounded the share
// up by itself, small workspaces would get about half a slot too much at each,
// which at seven entries is a third of their share.
func (s *Starter) belowShare(workspace string, slots Slots, waiting int) bool {
	own, ok := s.running[workspace]
	if !ok {
		return true
	}
	share := slots.Total * own.weight / s.weights
	held := own.slots + waiting
	if held < EntrySlots(share, slots.Entries, slots.Entry+own.turn) {
		return true
	}
	return slots.Entries > 1 && held+own.elsewhere < share
}
