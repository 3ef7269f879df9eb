package pick

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"savoryreel.example/savoryreel/instance"
)

// Entry describes an entry that callers can use.
type Entry struct {
	ID      string
	Address string // host:port for callers
	Zone    string
	Region  string
	State   instance.State
	Load    float64 // fraction of its capacity in use, 0..1
}

// Request describes the caller that asks for a list.
type Request struct {
	Now    time.Time
	Caller string  // stable name of the caller: its workspace
	Client uint64  // distinguishes the clients of one caller, such as a hash of the address
	Zone   string  // the caller's zone; empty if unknown
	Region string  // the caller's region; empty if unknown
	Share  float64 // the caller's recent fraction of all requests, 0..1
}

// Reason explains the order of a Verdict.
type Reason uint8

const (
	ReasonNear    Reason = iota // entries of the caller's zone first, each group in rendezvous order
	ReasonFar                   // zone unknown or all its entries above the spill limit: rendezvous order over the region
	ReasonRotated               // large caller: rotated order
	ReasonNoEntry               // no entry is serving
)

// String returns the reason as it appears in logs.
func (r Reason) String() string {
	switch r {
	case ReasonNear:
		return "near"
	case ReasonFar:
		return "far"
	case ReasonRotated:
		return "rotated"
	case ReasonNoEntry:
		return "no_entry"
	default:
		return "unknown"
	}
}

// Verdict is the list for a caller: the entries in the order to try, and how long the
// caller may cache them.
type Verdict struct {
	Entries  []Entry
	Validity time.Duration
	Reason   Reason
}

// Picker chooses the entries for callers.
type Picker struct {
	cfg Config
}

// New returns a Picker. The error is a *policy.ConfigError.
func New(cfg Config) (*Picker, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Picker{cfg: cfg}, nil
}

// Pick chooses among entries, which may be in any order. Only serving entries are listed:
// a caller would use a leaving one until it closes and then have its connection refused.
func (p *Picker) Pick(req Request, entries []Entry) Verdict {
	serving := make([]rankedEntry, 0, len(entries))
	for _, e := range entries {
		if e.State == instance.StateServing {
			serving = append(serving, rankedEntry{Entry: e})
		}
	}
	if len(serving) == 0 {
		return Verdict{Validity: time.Second, Reason: ReasonNoEntry}
	}
	var v Verdict
	if req.Share*float64(len(serving)) >= p.cfg.HeavyPart {
		v = p.orderByRotation(req, serving)
	} else {
		v = p.orderByWeight(req, serving)
	}
	for _, e := range serving[:min(p.cfg.ListLength, len(serving))] {
		v.Entries = append(v.Entries, e.Entry)
	}
	return v
}

// rankedEntry is an entry with its position in one caller's order: lower groups first,
// higher ranks first within a group.
type rankedEntry struct {
	Entry
	group int
	rank  float64
}

// sortByRank sorts by group, then by descending rank.
func sortByRank(entries []rankedEntry) {
	slices.SortFunc(entries, func(a, b rankedEntry) int {
		return cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(b.rank, a.rank), cmp.Compare(a.ID, b.ID))
	})
}

// orderByWeight sorts the entries for a small caller: nearest group first, by weighted
// rendezvous hashing within a group.
func (p *Picker) orderByWeight(req Request, entries []rankedEntry) Verdict {
	maxZoneLoad := p.cfg.SpillFactor * meanLoad(req, entries)
	reason := ReasonFar
	for i := range entries {
		e := &entries[i]
		e.group = groupOf(req, e.Entry)
		if e.group == groupZone && e.Load > maxZoneLoad {
			e.group = groupRegion
		}
		if e.group == groupZone {
			reason = ReasonNear
		}
		weight := 1 - (1-p.cfg.MinWeight)*min(max(e.Load, 0), 1)
		e.rank = weight / -math.Log(rendezvousHash(req.Caller, e.ID))
	}
	sortByRank(entries)
	return Verdict{Validity: p.cfg.Validity, Reason: reason}
}

// orderByRotation sorts the entries of the caller's region into an order of the caller and
// rotates it by one entry per validity window and client. Load is ignored: a large caller
// causes much of it, and weights that follow its own last choice would make it oscillate.
func (p *Picker) orderByRotation(req Request, entries []rankedEntry) Verdict {
	inRegion := 0
	for i := range entries {
		e := &entries[i]
		e.group = min(groupOf(req, e.Entry), groupRemote)
		if e.group == groupZone {
			e.group = groupRegion
		}
		e.rank = rendezvousHash(req.Caller, e.ID)
		if e.group == groupRegion {
			inRegion++
		}
	}
	sortByRank(entries)
	if inRegion == 0 {
		inRegion = len(entries)
	}
	window := uint64(req.Now.UnixNano() / int64(p.cfg.HeavyValidity))
	offset := int((window + req.Client) % uint64(inRegion))
	rotateLeft(entries[:inRegion], offset)
	return Verdict{Validity: p.cfg.HeavyValidity, Reason: ReasonRotated}
}

// rotateLeft moves the first n entries behind the others.
func rotateLeft(entries []rankedEntry, n int) {
	slices.Reverse(entries[:n])
	slices.Reverse(entries[n:])
	slices.Reverse(entries)
}

// Groups of entries by distance from the caller. orderByWeight also puts overloaded
// entries of the caller's zone into groupRegion.
const (
	groupZone = iota
	groupRegion
	groupRemote
)

// groupOf returns the group of an entry by its distance from the caller.
func groupOf(req Request, e Entry) int {
	switch {
	case req.Region != "" && e.Region != req.Region:
		return groupRemote
	case req.Zone != "" && e.Zone == req.Zone:
		return groupZone
	default:
		return groupRegion
	}
}

// meanLoad returns the mean load over the caller's region. Idle entries of other regions
// must not make callers leave the zone.
func meanLoad(req Request, entries []rankedEntry) float64 {
	sum, count := 0.0, 0
	for _, e := range entries {
		if groupOf(req, e.Entry) != groupRemote {
			sum += e.Load
			count++
		}
	}
	return sum / float64(max(count, 1))
}

// rendezvousHash hashes a caller and an entry to (0, 1).
func rendezvousHash(caller, entry string) float64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(caller) // writes to a Digest never fail
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(entry)
	return (float64(digest.Sum64()>>11) + 0.5) / (1 << 53)
}
