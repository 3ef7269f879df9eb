package admit

import (
	"slices"
	"strings"
	"time"

	"savoryreel.example/savoryreel/contract"
)

// Shares splits each workspace's limits among the entries and gives the parts
// out as leases. It answers a workspace whose callers do not spread evenly over
// entries, and an entry that is cut off. With equal fixed parts instead, a
// caller that sticks to one of seven entries gets a seventh of its limit.
//
// At every instant, what all entries may use together is at most the limit. So
// it counts as used: every lease that an entry may still hold, because a newer
// one may not have reached it; every floor; and the requests that run on.
//
// Only the control leader may use it, while it holds its leader lease, under
// the term of that lease. A new leader starts with NewShares and learns what
// its predecessor gave out from the entries' reports; until the predecessor's
// leases have ended, it renews and raises nothing. It is not safe for
// concurrent use.
type Shares struct {
	cfg     ShareConfig
	term    uint64
	started time.Time
	number  uint64           // of the last lease
	first   bool             // no leader came before
	pools   map[string]*pool // by workspace
	reports map[string]uint64
}

// NewShares returns the shares of a leader that begins term at now, or the
// *policy.ConfigError of an invalid cfg. Follow it with SetLimits for each workspace of
// the catalogue, at the same now.
func NewShares(cfg ShareConfig, term uint64, now time.Time) (*Shares, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Shares{
		cfg:     cfg,
		term:    term,
		started: now,
		pools:   make(map[string]*pool),
		reports: make(map[string]uint64),
	}, nil
}

// NoPredecessor says that no leader has given out leases before: in a new
// deployment, and where control and entries start together in one process. Call
// it before SetLimits. Called wrongly, it lets entries use up to twice the limits
// until the earlier leases have ended.
func (s *Shares) NoPredecessor() { s.first = true }

// SetLimits sets the limits of a workspace. Lowered limits hold at all entries
// that the leader reaches once they have reported again, and at others within
// ShareConfig.TTL, but for their floors.
func (s *Shares) SetLimits(now time.Time, workspace string, limits contract.Limits) {
	p, ok := s.pools[workspace]
	if !ok {
		p = &pool{cfg: &s.cfg, workspace: workspace}
		if !s.first && !now.After(s.started) {
			p.inherit(s.started)
		}
		s.pools[workspace] = p
	}
	p.setLimits(limits)
}

// Drop forgets a workspace that the catalogue no longer has.
func (s *Shares) Drop(workspace string) { delete(s.pools, workspace) }

// EntryEnded frees what an entry holds. Call it only for an entry whose process
// is known to have ended, never for one that is merely silent: a silent entry
// may still admit, and the limit would be exceeded.
func (s *Shares) EntryEnded(entry string) {
	delete(s.reports, entry)
	for _, p := range s.pools {
		p.holders = slices.DeleteFunc(p.holders, func(h *holder) bool { return h.entry == entry })
		p.rebalanced = time.Time{}
	}
}

// ReplyStatus says what became of a report.
type ReplyStatus uint8

// The statuses of a Reply.
const (
	Leased    ReplyStatus = iota
	OtherTerm             // the report was meant for another leader; repeat it under Reply.Term
	OldReport             // a newer report of the same entry came before
)

var replyNames = [...]string{Leased: "leased", OtherTerm: "other_term", OldReport: "old_report"}

// String returns the status as it stands in logs.
func (r ReplyStatus) String() string {
	if int(r) >= len(replyNames) {
		return "unknown"
	}
	return replyNames[r]
}

// Reply answers a Report.
type Reply struct {
	Term   uint64      `msgpack:"term"`
	Status ReplyStatus `msgpack:"status"`
	Leases []Lease     `msgpack:"leases"`
}

// Lease answers one entry's report with new leases for all workspaces in it
// that have limits.
//
// A report that was sent before this leader began may name a lease that has
// ended since and was given to another entry by the predecessor. Renewing it
// would put the limit's part in two hands; hence the term, which an entry
// learns only from this leader's own replies.
func (s *Shares) Lease(now time.Time, r Report) Reply {
	if r.Term != s.term {
		return Reply{Term: s.term, Status: OtherTerm}
	}
	if r.Sequence <= s.reports[r.Entry] {
		return Reply{Term: s.term, Status: OldReport}
	}
	s.reports[r.Entry] = r.Sequence
	reply := Reply{Term: s.term, Status: Leased}
	for _, d := range r.Demands {
		p, ok := s.pools[d.Workspace]
		if !ok {
			continue
		}
		s.number++
		lease := p.lease(now, s.number, r.Entry, d)
		lease.Term = s.term
		reply.Leases = append(reply.Leases, lease)
	}
	return reply
}

// Outstanding returns the most that all entries may use of a workspace's limits
// together at now, as far as this leader knows.
func (s *Shares) Outstanding(now time.Time, workspace string) Amount {
	p, ok := s.pools[workspace]
	if !ok {
		return Amount{}
	}
	return p.outstanding(now)
}

// rebalanceEvery is how often a pool looks at all its holders. In between, a
// report costs the same however many entries there are.
const rebalanceEvery = time.Second

// pool is one workspace's limits and who holds parts of them.
type pool struct {
	cfg       *ShareConfig
	workspace string
	shared    Amount    // the limits without the floors
	floor     Amount    // one floor
	holders   []*holder // by entry

	// used is the sum of what was counted for each holder when it was last
	// looked at. What is held only falls as time goes by, so used is never too
	// small.
	used       Amount
	claimed    int // sum of holder.claimed
	rebalanced time.Time

	// Of leases that an earlier leader gave out; zero if there was none.
	learnt     time.Time // all of them have ended or been reported
	floorsFree time.Time // the same for floors
	settled    time.Time // the same for requests that they let in
}

func (p *pool) inherit(started time.Time) {
	p.learnt = started.Add(p.cfg.TTL + p.cfg.Margin)
	p.floorsFree = started.Add(p.cfg.FloorTTL + p.cfg.Margin + p.cfg.LongestAnswer)
	p.settled = p.learnt.Add(p.cfg.Settle)
}

func (p *pool) setLimits(limits contract.Limits) {
	all, entries := whole(limits), float64(p.cfg.Entries)
	p.floor = Amount{
		RequestsPerSecond: all.RequestsPerSecond * p.cfg.FloorShare / entries,
		Concurrency:       int(float64(all.Concurrency) * p.cfg.FloorShare / entries),
		TokensPerSecond:   all.TokensPerSecond * p.cfg.FloorShare / entries,
	}
	p.shared = Amount{
		RequestsPerSecond: all.RequestsPerSecond * (1 - p.cfg.FloorShare),
		Concurrency:       all.Concurrency - p.floor.Concurrency*p.cfg.Entries,
		TokensPerSecond:   all.TokensPerSecond * (1 - p.cfg.FloorShare),
	}
}

func (p *pool) lease(now time.Time, number uint64, entry string, d Demand) Lease {
	h := p.holder(entry)
	h.learn(now, p, d)
	if now.Sub(p.rebalanced) >= rebalanceEvery || !h.balanced {
		p.rebalance(now)
	}
	p.count(now, h)
	lease := Lease{Workspace: p.workspace, Number: number, TTL: p.cfg.TTL}
	lease.Grant = p.part(now, h)
	h.grants = append(h.grants, grant{number: number, amount: lease.Grant, ends: now.Add(p.cfg.TTL + p.cfg.Margin)})
	p.count(now, h)
	if p.grantFloor(now, h, d) {
		lease.Grant = lease.Grant.plus(p.floor)
		lease.Floor, lease.FloorTTL = p.floor, p.cfg.FloorTTL
	}
	return lease
}

// rebalance drops holders that can hold nothing any more, sums up what the
// others hold, and sets their targets.
func (p *pool) rebalance(now time.Time) {
	p.rebalanced = now
	p.holders = slices.DeleteFunc(p.holders, func(h *holder) bool {
		return h.held(now, p) == Amount{} && !now.Before(h.floorEnds) && !h.live(now, p)
	})
	p.used, p.claimed = Amount{}, 0
	for _, h := range p.holders {
		h.counted = h.held(now, p)
		p.used = p.used.plus(h.counted)
		p.claimed += h.claimed
	}
	p.setTargets(now)
}

// count brings what is counted for h up to date.
func (p *pool) count(now time.Time, h *holder) {
	held := h.held(now, p)
	p.used = p.used.minus(h.counted).plus(held)
	h.counted = held
}

func (p *pool) holder(entry string) *holder {
	i, found := slices.BinarySearchFunc(p.holders, entry, func(h *holder, name string) int {
		return strings.Compare(h.entry, name)
	})
	if !found {
		p.holders = slices.Insert(p.holders, i, &holder{entry: entry})
	}
	return p.holders[i]
}

// part is what h gets beyond its floor: its target, as far as others have let
// go of it.
func (p *pool) part(now time.Time, h *holder) Amount {
	others := p.used.minus(h.counted)
	others.Concurrency += p.unknown(now)
	free := p.shared.minus(others).larger(Amount{})
	if now.Before(p.learnt) {
		return h.inherited.smaller(free)
	}
	return h.target.smaller(free)
}

// unknown is the concurrency that entries which have not reported to this
// leader may have got from an earlier one: its requests may run on.
func (p *pool) unknown(now time.Time) int {
	if !now.Before(p.settled) {
		return 0
	}
	return max(0, p.shared.Concurrency-p.claimed)
}

// grantFloor reports whether h gets a floor and notes it. While an earlier
// leader's floors may be in force, only who has one keeps it.
func (p *pool) grantFloor(now time.Time, h *holder, d Demand) bool {
	has := d.HasFloor || now.Before(h.floorEnds)
	if !has && (now.Before(p.floorsFree) || p.floors(now) >= p.cfg.Entries) {
		return false
	}
	h.floorEnds = now.Add(p.cfg.FloorTTL + p.cfg.Margin + p.cfg.LongestAnswer)
	return true
}

func (p *pool) floors(now time.Time) int {
	n := 0
	for _, h := range p.holders {
		if now.Before(h.floorEnds) {
			n++
		}
	}
	return n
}

func (p *pool) outstanding(now time.Time) Amount {
	total := Amount{Concurrency: p.unknown(now)}
	for _, h := range p.holders {
		total = total.plus(h.held(now, p))
	}
	for range p.floors(now) {
		total = total.plus(p.floor)
	}
	return total
}

// holder is what one entry may hold of a pool.
type holder struct {
	entry     string
	wanted    Amount
	target    Amount
	balanced  bool   // target has been set
	counted   Amount // its part of pool.used
	seen      time.Time
	grants    []grant
	running   int // beyond the floor, as last reported
	claimed   int // concurrency of its last lease by an earlier leader
	inherited Amount
	floorEnds time.Time // its floor's last request has ended by then
}

// grant is a lease, without the floor, that may be in force at an entry.
type grant struct {
	number uint64
	amount Amount
	ends   time.Time
}

// learn takes in what an entry reports.
func (h *holder) learn(now time.Time, p *pool, d Demand) {
	h.wanted, h.seen = d.Wanted, now
	h.running = max(0, d.Running-p.floor.Concurrency)
	// The entry ignores leases older than the one it has applied, so what it
	// was given by them is free. Until it says so it may use the larger one.
	h.grants = slices.DeleteFunc(h.grants, func(g grant) bool {
		return g.number < d.Applied || !now.Before(g.ends.Add(p.cfg.LongestAnswer))
	})
	if d.Applied == 0 {
		h.learnInherited(now, p, d)
	}
}

func (h *holder) learnInherited(now time.Time, p *pool, d Demand) {
	claimed := max(h.claimed, d.LastConcurrency)
	p.claimed += claimed - h.claimed
	h.claimed = claimed
	h.inherited = d.Held
	if d.HasFloor {
		h.inherited = h.inherited.minus(p.floor).larger(Amount{})
	}
	if h.inherited != (Amount{}) {
		h.grants = append(h.grants, grant{amount: h.inherited, ends: now.Add(p.cfg.TTL + p.cfg.Margin)})
	}
}

// held is the most that the entry may use at now, without its floor. Requests
// run on after the lease that let them in has ended.
func (h *holder) held(now time.Time, p *pool) Amount {
	var a Amount
	for _, g := range h.grants {
		if now.Before(g.ends) {
			a = a.larger(g.amount)
		}
		if now.Before(g.ends.Add(p.cfg.LongestAnswer)) {
			a.Concurrency = max(a.Concurrency, g.amount.Concurrency)
		}
	}
	if now.Before(h.seen.Add(p.cfg.LongestAnswer)) {
		a.Concurrency = max(a.Concurrency, h.running)
	}
	return a
}

// live reports whether the entry has reported lately.
func (h *holder) live(now time.Time, p *pool) bool {
	return now.Before(h.seen.Add(p.cfg.TTL))
}
