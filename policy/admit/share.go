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
	cfg           ShareConfig
	term          uint64
	started       time.Time
	lastNumber    uint64           // of the last lease
	noPredecessor bool             // no leader came before
	pools         map[string]*pool // by workspace
	lastSequences map[string]uint64
}

// NewShares returns the shares of a leader that begins term at now, or the
// *policy.ConfigError of an invalid cfg. Follow it with SetLimits for each workspace of
// the catalogue, at the same now.
func NewShares(cfg ShareConfig, term uint64, now time.Time) (*Shares, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Shares{
		cfg:           cfg,
		term:          term,
		started:       now,
		pools:         make(map[string]*pool),
		lastSequences: make(map[string]uint64),
	}, nil
}

// NoPredecessor says that no leader has given out leases before: in a new
// deployment, and where control and entries start together in one process. Call
// it before SetLimits. Called wrongly, it lets entries use up to twice the limits
// until the earlier leases have ended.
func (s *Shares) NoPredecessor() { s.noPredecessor = true }

// SetLimits sets the limits of a workspace. Lowered limits hold at all entries
// that the leader reaches once they have reported again, and at others within
// ShareConfig.TTL, but for their floors.
func (s *Shares) SetLimits(now time.Time, workspace string, limits contract.Limits) {
	p, ok := s.pools[workspace]
	if !ok {
		p = &pool{cfg: &s.cfg, workspace: workspace}
		if !s.noPredecessor && !now.After(s.started) {
			p.expectPriorLeases(s.started)
		}
		s.pools[workspace] = p
	}
	p.setLimits(limits)
}

// RemoveWorkspace forgets a workspace that the catalogue no longer has.
func (s *Shares) RemoveWorkspace(workspace string) { delete(s.pools, workspace) }

// EntryEnded frees what an entry holds. Call it only for an entry whose process
// is known to have ended, never for one that is merely silent: a silent entry
// may still admit, and the limit would be exceeded.
func (s *Shares) EntryEnded(entry string) {
	delete(s.lastSequences, entry)
	for _, p := range s.pools {
		p.holders = slices.DeleteFunc(p.holders, func(h *holder) bool { return h.entry == entry })
		p.lastRebalance = time.Time{}
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
	if r.Sequence <= s.lastSequences[r.Entry] {
		return Reply{Term: s.term, Status: OldReport}
	}
	s.lastSequences[r.Entry] = r.Sequence
	reply := Reply{Term: s.term, Status: Leased}
	for _, d := range r.Demands {
		p, ok := s.pools[d.Workspace]
		if !ok {
			continue
		}
		s.lastNumber++
		lease := p.lease(now, s.lastNumber, r.Entry, d)
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

// rebalanceInterval is how often a pool looks at all its holders. In between, a
// report costs the same however many entries there are.
const rebalanceInterval = time.Second

// pool is one workspace's limits and who holds parts of them.
type pool struct {
	cfg       *ShareConfig
	workspace string
	leasable  Amount    // the limits without the floors
	floor     Amount    // one floor
	holders   []*holder // by entry

	// heldTotal is the sum of what was counted for each holder when it was last
	// looked at. What is held only falls as time goes by, so heldTotal is never too
	// small.
	heldTotal        Amount
	priorConcurrency int // sum of holder.claimed
	lastRebalance    time.Time

	// Of leases that an earlier leader gave out; zero if there was none.
	priorLeasesEnd   time.Time // all of them have ended or been reported
	priorFloorsEnd   time.Time // the same for floors
	priorRequestsEnd time.Time // the same for requests that they let in
}

func (p *pool) expectPriorLeases(started time.Time) {
	p.priorLeasesEnd = started.Add(p.cfg.TTL + p.cfg.Margin)
	p.priorFloorsEnd = started.Add(p.cfg.FloorTTL + p.cfg.Margin + p.cfg.LongestAnswer)
	p.priorRequestsEnd = p.priorLeasesEnd.Add(p.cfg.Settle)
}

func (p *pool) setLimits(limits contract.Limits) {
	total, entries := amountOf(limits), float64(p.cfg.Entries)
	p.floor = Amount{
		RequestsPerSecond: total.RequestsPerSecond * p.cfg.FloorShare / entries,
		Concurrency:       int(float64(total.Concurrency) * p.cfg.FloorShare / entries),
		TokensPerSecond:   total.TokensPerSecond * p.cfg.FloorShare / entries,
	}
	p.leasable = Amount{
		RequestsPerSecond: total.RequestsPerSecond * (1 - p.cfg.FloorShare),
		Concurrency:       total.Concurrency - p.floor.Concurrency*p.cfg.Entries,
		TokensPerSecond:   total.TokensPerSecond * (1 - p.cfg.FloorShare),
	}
}

func (p *pool) lease(now time.Time, number uint64, entry string, d Demand) Lease {
	h := p.holder(entry)
	h.recordDemand(now, p, d)
	if now.Sub(p.lastRebalance) >= rebalanceInterval || !h.hasTarget {
		p.rebalance(now)
	}
	p.recount(now, h)
	lease := Lease{Workspace: p.workspace, Number: number, TTL: p.cfg.TTL}
	lease.Grant = p.grantFor(now, h)
	h.grants = append(h.grants, grant{number: number, amount: lease.Grant, ends: now.Add(p.cfg.TTL + p.cfg.Margin)})
	p.recount(now, h)
	if p.grantFloor(now, h, d) {
		lease.Grant = lease.Grant.plus(p.floor)
		lease.Floor, lease.FloorTTL = p.floor, p.cfg.FloorTTL
	}
	return lease
}

// rebalance drops holders that can hold nothing any more, sums up what the
// others hold, and sets their targets.
func (p *pool) rebalance(now time.Time) {
	p.lastRebalance = now
	p.holders = slices.DeleteFunc(p.holders, func(h *holder) bool {
		return h.held(now, p) == Amount{} && !now.Before(h.floorEnds) && !h.live(now, p)
	})
	p.heldTotal, p.priorConcurrency = Amount{}, 0
	for _, h := range p.holders {
		h.heldCounted = h.held(now, p)
		p.heldTotal = p.heldTotal.plus(h.heldCounted)
		p.priorConcurrency += h.priorConcurrency
	}
	p.setTargets(now)
}

// recount brings what is counted for h up to date.
func (p *pool) recount(now time.Time, h *holder) {
	held := h.held(now, p)
	p.heldTotal = p.heldTotal.minus(h.heldCounted).plus(held)
	h.heldCounted = held
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

// grantFor is what h gets beyond its floor: its target, as far as others have let
// go of it.
func (p *pool) grantFor(now time.Time, h *holder) Amount {
	others := p.heldTotal.minus(h.heldCounted)
	others.Concurrency += p.unreportedConcurrency(now)
	free := p.leasable.minus(others).larger(Amount{})
	if now.Before(p.priorLeasesEnd) {
		return h.priorLease.smaller(free)
	}
	return h.target.smaller(free)
}

// unreportedConcurrency is the concurrency that entries which have not reported to this
// leader may have got from an earlier one: its requests may run on.
func (p *pool) unreportedConcurrency(now time.Time) int {
	if !now.Before(p.priorRequestsEnd) {
		return 0
	}
	return max(0, p.leasable.Concurrency-p.priorConcurrency)
}

// grantFloor reports whether h gets a floor and notes it. While an earlier
// leader's floors may be in force, only who has one keeps it.
func (p *pool) grantFloor(now time.Time, h *holder, d Demand) bool {
	hasFloor := d.HasFloor || now.Before(h.floorEnds)
	if !hasFloor && (now.Before(p.priorFloorsEnd) || p.floorCount(now) >= p.cfg.Entries) {
		return false
	}
	h.floorEnds = now.Add(p.cfg.FloorTTL + p.cfg.Margin + p.cfg.LongestAnswer)
	return true
}

func (p *pool) floorCount(now time.Time) int {
	n := 0
	for _, h := range p.holders {
		if now.Before(h.floorEnds) {
			n++
		}
	}
	return n
}

func (p *pool) outstanding(now time.Time) Amount {
	total := Amount{Concurrency: p.unreportedConcurrency(now)}
	for _, h := range p.holders {
		total = total.plus(h.held(now, p))
	}
	for range p.floorCount(now) {
		total = total.plus(p.floor)
	}
	return total
}

// holder is what one entry may hold of a pool.
type holder struct {
	entry            string
	wanted           Amount
	target           Amount
	hasTarget        bool   // target has been set
	heldCounted      Amount // its part of pool.used
	lastReport       time.Time
	grants           []grant
	running          int // beyond the floor, as last reported
	priorConcurrency int // concurrency of its last lease by an earlier leader
	priorLease       Amount
	floorEnds        time.Time // its floor's last request has ended by then
}

// grant is a lease, without the floor, that may be in force at an entry.
type grant struct {
	number uint64
	amount Amount
	ends   time.Time
}

// recordDemand takes in what an entry reports.
func (h *holder) recordDemand(now time.Time, p *pool, d Demand) {
	h.wanted, h.lastReport = d.Wanted, now
	h.running = max(0, d.Running-p.floor.Concurrency)
	// The entry ignores leases older than the one it has applied, so what it
	// was given by them is free. Until it says so it may use the larger one.
	h.grants = slices.DeleteFunc(h.grants, func(g grant) bool {
		return g.number < d.Applied || !now.Before(g.ends.Add(p.cfg.LongestAnswer))
	})
	if d.Applied == 0 {
		h.recordPriorLease(now, p, d)
	}
}

func (h *holder) recordPriorLease(now time.Time, p *pool, d Demand) {
	concurrency := max(h.priorConcurrency, d.LastLeaseConcurrency)
	p.priorConcurrency += concurrency - h.priorConcurrency
	h.priorConcurrency = concurrency
	h.priorLease = d.Held
	if d.HasFloor {
		h.priorLease = h.priorLease.minus(p.floor).larger(Amount{})
	}
	if h.priorLease != (Amount{}) {
		h.grants = append(h.grants, grant{amount: h.priorLease, ends: now.Add(p.cfg.TTL + p.cfg.Margin)})
	}
}

// held is the most that the entry may use at now, without its floor. Requests
// run on after the lease that let them in has ended.
func (h *holder) held(now time.Time, p *pool) Amount {
	var amount Amount
	for _, g := range h.grants {
		if now.Before(g.ends) {
			amount = amount.larger(g.amount)
		}
		if now.Before(g.ends.Add(p.cfg.LongestAnswer)) {
			amount.Concurrency = max(amount.Concurrency, g.amount.Concurrency)
		}
	}
	if now.Before(h.lastReport.Add(p.cfg.LongestAnswer)) {
		amount.Concurrency = max(amount.Concurrency, h.running)
	}
	return amount
}

// live reports whether the entry has reported lately.
func (h *holder) live(now time.Time, p *pool) bool {
	return now.Before(h.lastReport.Add(p.cfg.TTL))
}
