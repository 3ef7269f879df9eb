package admit

import (
	"slices"
	"strings"
	"time"

	"savoryreel.example/savoryreel/contract"
)

// Shares divides each workspace's limits among the entries by demand and
// grants the shares as leases. With equal fixed shares instead, a caller that
// uses only one of seven entries would get a seventh of its limit.
//
// At every instant, all entries together may use at most the limit. Therefore
// Shares counts as used: every lease that an entry may still hold because it
// may not have received a newer one; every floor; and all requests that may
// still be running.
//
// Only the control leader may use Shares, while it holds its leader lease and
// under the term of that lease. A new leader calls NewShares and learns from
// the entries' reports which leases its predecessor granted; until these have
// expired, it only renews them and increases none. Shares is not safe for
// concurrent use.
type Shares struct {
	cfg           ShareConfig
	term          uint64
	started       time.Time         // when this leader began
	lastNumber    uint64            // number of the last lease granted
	noPredecessor bool              // no earlier leader has granted leases
	pools         map[string]*pool  // by workspace
	lastSequences map[string]uint64 // sequence of each entry's last report
}

// NewShares returns the Shares of a leader whose term begins at now, or a
// *policy.ConfigError if cfg is invalid. The caller must then call SetLimits,
// with the same now, for each workspace of the catalogue.
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

// NoPredecessor declares that no earlier leader has granted leases, as in a
// new deployment or where control and entries start together in one process.
// Call it before SetLimits. If an earlier leader has granted leases, entries
// may use up to twice the limits until these have expired.
func (s *Shares) NoPredecessor() { s.noPredecessor = true }

// SetLimits sets the limits of a workspace. Lowered limits apply to an entry
// from its next report. An entry that cannot reach the leader uses its lease
// for at most ShareConfig.TTL, and then its floor by the old limits.
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

// RemoveWorkspace deletes a workspace that is no longer in the catalogue.
func (s *Shares) RemoveWorkspace(workspace string) { delete(s.pools, workspace) }

// EntryEnded releases everything that an entry holds. Call it only if the
// entry's process is known to have ended: an unreachable entry may still admit
// requests, and the limit would be exceeded.
func (s *Shares) EntryEnded(entry string) {
	delete(s.lastSequences, entry)
	for _, p := range s.pools {
		p.holders = slices.DeleteFunc(p.holders, func(h *holder) bool { return h.entry == entry })
		p.lastRebalance = time.Time{}
	}
}

// ReplyStatus is the outcome of a Report.
type ReplyStatus uint8

// The statuses of a Reply.
const (
	Leased    ReplyStatus = iota
	OtherTerm             // the report was for another leader; repeat it under Reply.Term
	OldReport             // a report of the same entry with the same or a higher sequence has been processed
)

var replyNames = [...]string{Leased: "leased", OtherTerm: "other_term", OldReport: "old_report"}

// String returns the name of the status in logs.
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

// Lease processes an entry's report and returns new leases for all workspaces
// in it that have limits.
//
// A report sent before this leader began may name a lease that has expired
// since and whose grant the predecessor gave to another entry. Renewing it
// would grant the same share twice, so a report must carry this leader's term,
// which an entry learns only from this leader's replies.
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

// Outstanding returns the maximum that all entries together may use of a
// workspace's limits at now, as far as this leader can derive.
func (s *Shares) Outstanding(now time.Time, workspace string) Amount {
	p, ok := s.pools[workspace]
	if !ok {
		return Amount{}
	}
	return p.outstanding(now)
}

// rebalanceInterval is how often a pool recomputes the targets of all holders.
// Between these times, the cost of a report does not depend on the number of
// entries.
const rebalanceInterval = time.Second

// pool holds one workspace's limits and the entries that hold shares of them.
type pool struct {
	cfg       *ShareConfig
	workspace string
	leasable  Amount    // the limits without the floors
	floor     Amount    // size of one floor
	holders   []*holder // sorted by entry

	// heldTotal is the sum of holder.heldCounted. What a holder holds only
	// decreases until its next report, so the sum is never too small.
	heldTotal        Amount
	priorConcurrency int // sum of holder.priorConcurrency
	lastRebalance    time.Time

	// Bounds on what an earlier leader granted; zero if there was none.
	priorLeasesEnd   time.Time // each of its leases has been reported or has expired
	priorFloorsEnd   time.Time // each of its floors has been reported, or has expired and its requests have ended
	priorRequestsEnd time.Time // requests admitted under its leases no longer count as running
}

// expectPriorLeases sets the bounds on what an earlier leader granted before
// started.
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

// rebalance removes holders that can no longer hold anything, sums what the
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

// recount updates heldCounted of h and the pool's sum.
func (p *pool) recount(now time.Time, h *holder) {
	held := h.held(now, p)
	p.heldTotal = p.heldTotal.minus(h.heldCounted).plus(held)
	h.heldCounted = held
}

// holder returns the holder of the named entry and creates it if missing.
func (p *pool) holder(entry string) *holder {
	i, found := slices.BinarySearchFunc(p.holders, entry, func(h *holder, name string) int {
		return strings.Compare(h.entry, name)
	})
	if !found {
		p.holders = slices.Insert(p.holders, i, &holder{entry: entry})
	}
	return p.holders[i]
}

// grantFor returns what to grant h in addition to its floor: its target, or as
// much of it as other holders have released. While leases of an earlier leader
// may be in force, it renews only what h held under that leader.
func (p *pool) grantFor(now time.Time, h *holder) Amount {
	others := p.heldTotal.minus(h.heldCounted)
	others.Concurrency += p.unreportedConcurrency(now)
	free := p.leasable.minus(others).larger(Amount{})
	if now.Before(p.priorLeasesEnd) {
		return h.priorLease.smaller(free)
	}
	return h.target.smaller(free)
}

// unreportedConcurrency returns the concurrency that an earlier leader may
// have granted to entries that have not reported to this one: requests
// admitted under those leases may still be running.
func (p *pool) unreportedConcurrency(now time.Time) int {
	if !now.Before(p.priorRequestsEnd) {
		return 0
	}
	return max(0, p.leasable.Concurrency-p.priorConcurrency)
}

// grantFloor reports whether to grant h a floor and, if so, extends floorEnds.
// While floors of an earlier leader may be in force, only entries that already
// have one get one.
func (p *pool) grantFloor(now time.Time, h *holder, d Demand) bool {
	hasFloor := d.HasFloor || now.Before(h.floorEnds)
	if !hasFloor && (now.Before(p.priorFloorsEnd) || p.floorCount(now) >= p.cfg.Entries) {
		return false
	}
	h.floorEnds = now.Add(p.cfg.FloorTTL + p.cfg.Margin + p.cfg.LongestAnswer)
	return true
}

// floorCount returns the number of floors that may be in use at now.
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

// holder records what one entry may hold of a pool.
type holder struct {
	entry            string
	wanted           Amount    // demand as last reported
	target           Amount    // share by the demands of all entries
	hasTarget        bool      // target has been set
	heldCounted      Amount    // what pool.heldTotal includes for this holder
	lastReport       time.Time // when it last reported
	grants           []grant
	running          int       // requests in excess of the floor, as last reported
	priorConcurrency int       // concurrency of its last lease by an earlier leader
	priorLease       Amount    // what it holds of that lease, without the floor
	floorEnds        time.Time // by then its floor has expired and the requests under it have ended
}

// grant is a lease, without its floor, that may be in force at an entry.
type grant struct {
	number uint64
	amount Amount
	ends   time.Time
}

// recordDemand records an entry's reported demand and drops the grants that
// this report or their age has released.
func (h *holder) recordDemand(now time.Time, p *pool, d Demand) {
	h.wanted, h.lastReport = d.Wanted, now
	h.running = max(0, d.Running-p.floor.Concurrency)
	// The entry ignores leases older than the one it has applied, so older
	// grants are free. Until it reports a newer lease as applied, it may use
	// the larger of both.
	h.grants = slices.DeleteFunc(h.grants, func(g grant) bool {
		return g.number < d.Applied || !now.Before(g.ends.Add(p.cfg.LongestAnswer))
	})
	if d.Applied == 0 {
		h.recordPriorLease(now, p, d)
	}
}

// recordPriorLease records what the entry reports to hold under an earlier
// leader.
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

// held returns the maximum that the entry may use at now, without its floor.
// Requests may continue to run after the lease that admitted them has expired.
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

// live reports whether the entry has reported within the last TTL.
func (h *holder) live(now time.Time, p *pool) bool {
	return now.Before(h.lastReport.Add(p.cfg.TTL))
}
