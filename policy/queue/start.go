package queue

import (
	"math"
	"time"
)

// StartConfig sets how many slots are kept free, and for whom.
type StartConfig struct {
	// Headroom is the part of all slots that a workspace leaves free once it
	// runs its share of them, for those that run less than theirs.
	Headroom float64 // 0 to 0.5

	// LongTokens is the cost from which on an item is long, and LongHeadroom
	// the part of all slots that long items leave free for short ones.
	LongTokens   int64
	LongHeadroom float64 // 0 to 0.5

	// Memory is how long after its last item a workspace, or short work, still
	// counts.
	Memory time.Duration
}

// DefaultStartConfig returns the values that docs/DECISIONS.md was measured with.
//
// Both headrooms cost that part of the capacity while they are kept, hence
// about a twentieth, and nothing while all workspaces run their share. Items of
// 2,000 tokens hold a slot ten times as long as the usual answer of 200.
func DefaultStartConfig() StartConfig {
	return StartConfig{
		Headroom:     0.05,
		LongTokens:   2_000,
		LongHeadroom: 0.05,
		Memory:       time.Minute,
	}
}

// Validate reports the first field that is out of range, by name.
func (c StartConfig) Validate() error {
	switch {
	case !(c.Headroom >= 0 && c.Headroom <= 0.5):
		return &FieldError{Field: "Headroom", Want: "between 0 and 0.5"}
	case c.LongTokens < 1:
		return &FieldError{Field: "LongTokens", Want: "at least 1"}
	case !(c.LongHeadroom >= 0 && c.LongHeadroom <= 0.5):
		return &FieldError{Field: "LongHeadroom", Want: "between 0 and 0.5"}
	case c.Memory <= 0:
		return &FieldError{Field: "Memory", Want: "above 0"}
	}
	return nil
}

// Slots are the requests that the backend servers of a service run side by side.
type Slots struct {
	Total   int
	Free    int // as estimated by the caller from load reports and its own starts since
	Entries int // how many entries start work on them; below 1 counts as 1
}

// StartReason says why an item may start or has to wait.
type StartReason uint8

// The reasons of a StartVerdict.
const (
	StartBelowShare StartReason = iota // the workspace runs less than its share
	StartFree                          // there are more free slots than are kept for others
	NoSlot                             // every slot is taken
	HeldForOthers                      // the free slots are kept for workspaces below their share
	HeldForShort                       // the free slots are kept for short work
)

var startNames = [...]string{
	StartBelowShare: "start_below_share",
	StartFree:       "start_free",
	NoSlot:          "no_slot",
	HeldForOthers:   "held_for_others",
	HeldForShort:    "held_for_short",
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

// Eligibility returns the verdict as PopFunc takes it, for a queue whose items
// all compete for the same slots.
func (v StartVerdict) Eligibility() Eligibility {
	switch {
	case v.Start:
		return Runs
	case v.Reason == NoSlot:
		return AllWait
	case v.Reason == HeldForOthers:
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
	weight int
	slots  int
	seen   time.Time
}

// NewStarter returns a Starter with nothing running, or the *FieldError of an
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
		u = &usage{weight: defaultWeight}
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

// Decide says whether item may take one of the free slots.
func (s *Starter) Decide(now time.Time, item *Item, slots Slots) StartVerdict {
	s.sweep(now)
	if slots.Free <= 0 {
		return StartVerdict{Reason: NoSlot}
	}
	if slots.Free <= s.keptForShort(now, item, slots) {
		return StartVerdict{Reason: HeldForShort}
	}
	if s.belowShare(item.Workspace, slots) {
		return StartVerdict{Start: true, Reason: StartBelowShare}
	}
	if slots.Free <= kept(s.cfg.Headroom, slots) {
		return StartVerdict{Reason: HeldForOthers}
	}
	return StartVerdict{Start: true, Reason: StartFree}
}

func (s *Starter) keptForShort(now time.Time, item *Item, slots Slots) int {
	if item.Cost < s.cfg.LongTokens || now.Sub(s.short) >= s.cfg.Memory {
		return 0
	}
	return kept(s.cfg.LongHeadroom, slots)
}

func kept(part float64, slots Slots) int {
	return int(math.Ceil(part * float64(slots.Total)))
}

// belowShare reports whether a workspace holds fewer slots than its weight
// among the active workspaces gives it, of this entry's part of all slots.
func (s *Starter) belowShare(workspace string, slots Slots) bool {
	own, ok := s.running[workspace]
	if !ok {
		return true
	}
	part := float64(slots.Total) / float64(max(1, slots.Entries))
	return float64(own.slots*s.weights) < part*float64(own.weight)
}
