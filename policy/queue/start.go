package queue

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"savoryreel.example/savoryreel/policy"
)

// StartConfig sets how many free slots a Starter reserves, and for whom.
type StartConfig struct {
	// Headroom is the fraction of all slots reserved for workspaces below their
	// share. Unless it is 0, at least one slot per entry is reserved.
	Headroom float64 // 0 to 0.5

	// LongTokens is the cost from which an item counts as long. LongHeadroom is
	// the fraction of all slots reserved for short items.
	LongTokens   int64
	LongHeadroom float64 // 0 to 0.5

	// Memory is how long a workspace counts as active after its last item, and
	// how long slots stay reserved after the last short item.
	Memory time.Duration
}

// DefaultStartConfig returns the default configuration.
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

// Slots is one entry's view of the slots of a service's backend servers: the
// requests that they can run at the same time. It is based on delayed load
// reports that all entries receive.
type Slots struct {
	Total        int // of all servers
	Free         int // of Total, by the last report; a server with more requests than slots has none free
	Taken        int // slots that this entry has taken since the report, less those it has released
	Assigned     int // free slots assigned to this entry by SplitSlots, less Taken; unused with one entry
	Entries      int // number of entries that use these slots; below 1 counts as 1
	EntryNumber  int // number of this entry, from 0
	ReportNumber int // number of the load report, the same at all entries
}

// available returns how many of the free slots beyond reserved this entry may
// take. It is negative if the entry has taken too many.
func (s Slots) available(reserved int) int {
	return EntrySlots(s.Free-reserved, s.Entries, s.EntryNumber+s.ReportNumber) - s.Taken
}

// minFreePerEntry is the number of free slots per entry above which an entry may
// also take slots assigned to others: two entries rarely take the same one then.
const minFreePerEntry = 3

// mayTake reports whether this entry may take a free slot; with onlyAssigned, it
// may take only those assigned to it.
func (s Slots) mayTake(onlyAssigned bool) bool {
	free := s.Free - s.Taken
	if s.Entries <= 1 || s.Assigned > 0 {
		return free > 0
	}
	return !onlyAssigned && free > minFreePerEntry*s.Entries
}

// EntrySlots returns how many of n free slots one entry may take. Without the
// split every entry would take all slots of the same report, and requests would
// queue at the servers.
//
// The results for successive values of rotation, one for each entry, add up to
// n, also for negative n. With rotation = entry number + report number the
// remainder goes to different entries in turn.
func EntrySlots(n, entries, rotation int) int {
	if entries <= 1 {
		return n
	}
	return int(math.Floor(float64(n+rotation%entries) / float64(entries)))
}

// SplitSlots assigns the free slots of servers to the entries, in place: free[i]
// becomes the number of server i's slots assigned to this entry. Each slot is
// assigned to one entry, and the totals of the entries differ by at most one
// slot. A negative number, of a server with more requests than slots, is split
// in the same way.
func SplitSlots(free []int, entries, rotation int) []int {
	before := 0
	for i, n := range free {
		if n < 0 {
			free[i] = EntrySlots(n, entries, rotation+i)
			continue
		}
		free[i] = EntrySlots(before+n, entries, rotation) - EntrySlots(before, entries, rotation)
		before += n
	}
	return free
}

// StartReason is why an item may start or has to wait.
type StartReason uint8

// Reasons of a StartVerdict.
const (
	StartBelowShare   StartReason = iota // the workspace has fewer slots than its share
	StartFree                            // more slots are free than are reserved for others
	NoSlot                               // no slot is free
	HeldForOthers                        // the free slots are reserved for workspaces below their share
	HeldForShort                         // the free slots are reserved for short items
	AssignedElsewhere                    // the free slots are assigned to other entries
)

var startReasonNames = [...]string{
	StartBelowShare:   "start_below_share",
	StartFree:         "start_free",
	NoSlot:            "no_slot",
	HeldForOthers:     "held_for_others",
	HeldForShort:      "held_for_short",
	AssignedElsewhere: "not_mine",
}

// String returns the reason for logs.
func (r StartReason) String() string {
	if int(r) >= len(startReasonNames) {
		return "unknown"
	}
	return startReasonNames[r]
}

// StartVerdict is the decision whether an item may take a slot now.
type StartVerdict struct {
	Start  bool
	Reason StartReason
}

// Held reports whether the item waits although a slot may be free, since the free
// slots are reserved.
func (v StartVerdict) Held() bool {
	return v.Reason == HeldForOthers || v.Reason == HeldForShort
}

// Eligibility returns the verdict as a result for PopFunc, for a queue whose
// items all compete for the same slots.
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

// Starter decides whether a waiting item may take a free slot. Running requests
// are not preempted: if a surge or long answers took every slot, the next request
// of another workspace would wait for one of them to end although it is first in
// the queue. So some slots are reserved for workspaces below their share and for
// short items. A Starter is not safe for concurrent use.
type Starter struct {
	cfg         StartConfig
	usages      map[string]*usage
	totalWeight int       // sum of the weights in usages
	lastShort   time.Time // arrival of the last short item
	lastSweep   time.Time
}

// usage is the slots that one workspace uses, and its weight.
type usage struct {
	weight      int
	slots       int
	remoteSlots int // slots that it uses through other entries, as last reported
	lastArrival time.Time
	rotation    int // differs by workspace, so that remainders go to different entries
}

// NewStarter returns a Starter without running items, or a *policy.ConfigError if
// cfg is invalid.
func NewStarter(cfg StartConfig) (*Starter, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Starter{cfg: cfg, usages: make(map[string]*usage)}, nil
}

// ObserveArrival records the arrival of item. Call it before Decide.
func (s *Starter) ObserveArrival(now time.Time, item *Item) {
	u, ok := s.usages[item.Workspace]
	if !ok {
		u = &usage{weight: defaultWeight, rotation: int(xxhash.Sum64String(item.Workspace) % maxRotation)}
		s.usages[item.Workspace] = u
		s.totalWeight += u.weight
	}
	u.lastArrival = now
	if item.Weight > 0 {
		s.totalWeight += item.Weight - u.weight
		u.weight = item.Weight
	}
	if item.Cost < s.cfg.LongTokens {
		s.lastShort = now
	}
}

// maxRotation bounds the rotation of a workspace. It exceeds the number of entries.
const maxRotation = 1 << 16

// sweepsPerMemory is how often within StartConfig.Memory inactive workspaces are
// removed.
const sweepsPerMemory = 60

func (s *Starter) sweep(now time.Time) {
	if now.Sub(s.lastSweep) < s.cfg.Memory/sweepsPerMemory {
		return
	}
	s.lastSweep = now
	for name, u := range s.usages {
		if !u.active(now, s.cfg.Memory) {
			s.totalWeight -= u.weight
			delete(s.usages, name)
		}
	}
}

func (u *usage) active(now time.Time, memory time.Duration) bool {
	return u.slots > 0 || now.Sub(u.lastArrival) < memory
}

// Started records that item took a slot.
func (s *Starter) Started(now time.Time, item *Item) {
	s.ObserveArrival(now, item)
	s.usages[item.Workspace].slots++
}

// Ended records that a started item of this workspace released its slot.
func (s *Starter) Ended(workspace string) {
	if u, ok := s.usages[workspace]; ok {
		u.slots = max(0, u.slots-1)
	}
}

// Decide returns whether item may take a free slot. A resumed item may take
// reserved slots too, since its caller may already have part of the answer.
func (s *Starter) Decide(now time.Time, item *Item, slots Slots) StartVerdict {
	return s.DecideBehind(now, item, slots, 0)
}

// DecideBehind is like Decide for an item that is not admitted yet: it decides
// as if waiting other items of its workspace had started first.
func (s *Starter) DecideBehind(now time.Time, item *Item, slots Slots, waiting int) StartVerdict {
	s.sweep(now)
	slots.Taken += waiting
	slots.Assigned -= waiting
	if s.mustLeaveRoomForShort(now, item) && slots.available(reservedSlots(s.cfg.LongHeadroom, slots)) <= 0 {
		return StartVerdict{Reason: HeldForShort}
	}
	below := item.Resumed || s.belowShare(item.Workspace, slots, waiting)
	if !below && slots.available(reservedSlots(s.cfg.Headroom, slots)) <= 0 {
		return StartVerdict{Reason: HeldForOthers}
	}
	if slots.Free <= slots.Taken {
		return StartVerdict{Reason: NoSlot}
	}
	if !slots.mayTake(!below) {
		return StartVerdict{Reason: AssignedElsewhere}
	}
	if below {
		return StartVerdict{Start: true, Reason: StartBelowShare}
	}
	return StartVerdict{Start: true, Reason: StartFree}
}

// mustLeaveRoomForShort reports whether item is long and a short item arrived
// within StartConfig.Memory.
func (s *Starter) mustLeaveRoomForShort(now time.Time, item *Item) bool {
	return item.Cost >= s.cfg.LongTokens && !item.Resumed && now.Sub(s.lastShort) < s.cfg.Memory
}

// reservedSlots returns fraction of all slots, but at least one per entry: with
// fewer, most entries would have no reserved slot.
func reservedSlots(fraction float64, slots Slots) int {
	if fraction == 0 {
		return 0
	}
	return max(slots.Entries, int(math.Ceil(fraction*float64(slots.Total))))
}

// SetRemoteSlots sets how many slots a workspace uses through other entries, by
// their last reports. Without it a workspace that sends most requests through
// this entry would count as above its share.
func (s *Starter) SetRemoteSlots(workspace string, slots int) {
	if u, ok := s.usages[workspace]; ok {
		u.remoteSlots = slots
	}
}

// Backlog returns the work in q that would start before item if it were admitted
// now, with all fields set.
func (s *Starter) Backlog(now time.Time, q *Queue, item *Item, slots Slots) Backlog {
	b := q.Backlog(item.Workspace, item.Class, item.Weight)
	waiting := 0
	if f, ok := q.flows[item.Workspace]; ok {
		waiting = f.items
	}
	v := s.DecideBehind(now, item, slots, waiting)
	b.LastingShare, b.Starts, b.Held = s.Share(item.Workspace), v.Start, v.Held()
	return b
}

// Share returns a workspace's fraction of the service, 0 to 1, by its weight among
// the workspaces active within StartConfig.Memory.
func (s *Starter) Share(workspace string) float64 {
	u, ok := s.usages[workspace]
	if !ok || s.totalWeight == 0 {
		return float64(defaultWeight) / float64(s.totalWeight+defaultWeight)
	}
	return float64(u.weight) / float64(s.totalWeight)
}

// belowShare reports whether a workspace uses fewer slots than its share by
// weight among the active workspaces: fewer at this entry than EntrySlots gives
// this entry of the share, or fewer than the share over all entries.
//
// EntrySlots makes the entries' slots add up to the share. If each entry rounded
// up instead, small workspaces would get more than their share.
func (s *Starter) belowShare(workspace string, slots Slots, waiting int) bool {
	u, ok := s.usages[workspace]
	if !ok {
		return true
	}
	share := slots.Total * u.weight / s.totalWeight
	held := u.slots + waiting
	if held < EntrySlots(share, slots.Entries, slots.EntryNumber+u.rotation) {
		return true
	}
	return slots.Entries > 1 && held+u.remoteSlots < share
}
