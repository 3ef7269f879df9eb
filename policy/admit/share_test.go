package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"savoryreel.example/savoryreel/contract"
	"savoryreel.example/savoryreel/policy"
)

var epoch = time.Unix(1_700_000_000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

var testLimits = contract.Limits{RequestsPerSecond: 70, Concurrency: 70, TokensPerSecond: 7_000}

// siteEntry is one entry of a site: its Admitter and its state towards the
// leader.
type siteEntry struct {
	name     string
	admitter *Admitter
	term     uint64
	sequence uint64
}

// pendingReply is a reply that has not been delivered yet.
type pendingReply struct {
	to         *siteEntry
	reportSent time.Time
	reply      Reply
}

// site simulates a leader and its entries, which exchange reports by direct
// calls.
type site struct {
	cfg     ShareConfig
	shares  *Shares
	term    uint64
	now     time.Time
	entries []*siteEntry
}

func newSite(t require.TestingT, cfg ShareConfig, entries int) *site {
	s := &site{cfg: cfg, now: epoch}
	for i := range entries {
		a, err := New(DefaultConfig())
		require.NoError(t, err)
		a.SetLimits(s.now, "w", testLimits)
		s.entries = append(s.entries, &siteEntry{name: fmt.Sprint("entry-", i), admitter: a})
	}
	s.changeLeader(t)
	s.shares.RemoveWorkspace("w")
	s.shares.NoPredecessor()
	s.shares.SetLimits(s.now, "w", testLimits)
	return s
}

// changeLeader replaces the leader by a new one without state.
func (s *site) changeLeader(t require.TestingT) {
	s.term++
	shares, err := NewShares(s.cfg, s.term, s.now)
	require.NoError(t, err)
	shares.SetLimits(s.now, "w", testLimits)
	s.shares = shares
}

// report sends an entry's report to the leader and returns the undelivered
// reply.
func (s *site) report(m *siteEntry) pendingReply {
	m.sequence++
	r := Report{Entry: m.name, Term: m.term, Sequence: m.sequence, Demands: m.admitter.Demands(s.now, m.term)}
	return pendingReply{to: m, reportSent: s.now, reply: s.shares.Lease(s.now, r)}
}

// deliver applies a reply at its entry.
func (s *site) deliver(a pendingReply) {
	a.to.term = max(a.to.term, a.reply.Term)
	for _, lease := range a.reply.Leases {
		a.to.admitter.Apply(s.now, a.reportSent, lease)
	}
}

// exchangeFor advances time by d; all entries except the disconnected ones
// report and get their replies once a second.
func (s *site) exchangeFor(d time.Duration, disconnected ...*siteEntry) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(time.Second) {
		for _, m := range s.entries {
			if !contains(disconnected, m) {
				s.deliver(s.report(m))
			}
		}
	}
}

func contains(list []*siteEntry, m *siteEntry) bool {
	for _, x := range list {
		if x == m {
			return true
		}
	}
	return false
}

// allowed returns what the entry may use at now.
func (m *siteEntry) allowed(now time.Time) Amount {
	w := m.admitter.workspace("w")
	m.admitter.refreshAllowed(now, w)
	return w.allowed
}

// allowed returns what all entries together may use.
func (s *site) allowed() Amount {
	var total Amount
	for _, m := range s.entries {
		total = total.plus(m.allowed(s.now))
	}
	return total
}

// offer offers n requests and returns the number of admitted ones.
func (m *siteEntry) offer(now time.Time, n int) int {
	admitted := 0
	for range n {
		if m.admitter.Decide(now, Request{Workspace: "w", Class: contract.ClassStandard, Cost: 1}, 0.5).Admit {
			admitted++
		}
	}
	return admitted
}

// Guards against equal shares: a caller that uses only one of seven entries
// would be refused at a seventh of its limit.
//
// Fails if h.target in grantFor is replaced by an equal share.
func TestEntryWithAllDemandGetsMostOfTheLimit(t *testing.T) {
	s := newSite(t, DefaultShareConfig(7), 7)
	s.exchangeFor(8 * time.Second)
	equal := s.entries[0].allowed(s.now)
	assert.InDelta(t, 10, equal.RequestsPerSecond, 0.01)
	assert.Equal(t, 10, equal.Concurrency)
	for range 20 {
		s.entries[0].offer(s.now, 100)
		s.exchangeFor(time.Second)
	}
	got := s.entries[0].allowed(s.now)
	assert.Greater(t, got.RequestsPerSecond, 0.9*testLimits.RequestsPerSecond)
	assert.LessOrEqual(t, s.allowed().RequestsPerSecond, testLimits.RequestsPerSecond+1e-9)
}

// Guards against a disconnected entry that uses its lease after it has
// expired, so that the workspace exceeds its limit, or that stops admitting at
// once and refuses its callers.
//
// Fails if the check of w.leaseExpires in leasedAmount is removed.
func TestDisconnectedEntryFallsBackToFloorAfterLease(t *testing.T) {
	s := newSite(t, DefaultShareConfig(7), 7)
	s.exchangeFor(8 * time.Second)
	disconnected := s.entries[3]
	before := disconnected.allowed(s.now)
	s.exchangeFor(3*time.Second, disconnected)
	assert.Equal(t, before, disconnected.allowed(s.now), "its lease is in force")
	s.exchangeFor(3*time.Second, disconnected)
	assert.Equal(t, Amount{RequestsPerSecond: 1, Concurrency: 1, TokensPerSecond: 100}, round(disconnected.allowed(s.now)), "its floor")
	s.exchangeFor(10*time.Second, disconnected)
	others := s.allowed().minus(disconnected.allowed(s.now))
	assert.InDelta(t, 69, others.RequestsPerSecond, 0.01, "the others hold the rest")
	assert.LessOrEqual(t, s.allowed().RequestsPerSecond, testLimits.RequestsPerSecond+1e-9)
	s.exchangeFor(s.cfg.FloorTTL, disconnected)
	assert.Equal(t, Amount{}, disconnected.allowed(s.now), "nothing after its floor has expired")
	assert.Equal(t, NoLease, disconnected.admitter.Decide(s.now, Request{Workspace: "w"}, 0).Reason)
}

func round(a Amount) Amount {
	a.RequestsPerSecond = float64(int(a.RequestsPerSecond + 0.5))
	a.TokensPerSecond = float64(int(a.TokensPerSecond + 0.5))
	return a
}

// Guards against a new leader that grants the limit again while leases of its
// predecessor are in force.
//
// Without the check of p.priorLeasesEnd in grantFor,
// TestPropertyLeasesNeverExceedTheLimit fails.
func TestNewLeaderPreservesReportedLeases(t *testing.T) {
	s := newSite(t, DefaultShareConfig(7), 7)
	s.exchangeFor(8 * time.Second)
	for range 10 {
		s.entries[0].offer(s.now, 100)
		s.exchangeFor(time.Second)
	}
	before := s.entries[0].allowed(s.now)
	s.changeLeader(t)
	s.exchangeFor(2 * time.Second)
	assert.InDelta(t, before.RequestsPerSecond, s.entries[0].allowed(s.now).RequestsPerSecond, 0.01)
	assert.Equal(t, before.Concurrency, s.entries[0].allowed(s.now).Concurrency)
	s.exchangeFor(20 * time.Second)
	assert.InDelta(t, testLimits.RequestsPerSecond, s.allowed().RequestsPerSecond, 0.01)
}

// Guards against an entry that counts the TTL from the arrival of a delayed
// reply: it would use its share after the leader has granted it to others.
//
// Fails if w.leaseExpires in Apply counts from now.
func TestLeaseTimeCountsFromReportNotReply(t *testing.T) {
	s := newSite(t, DefaultShareConfig(2), 2)
	s.exchangeFor(8 * time.Second)
	late := s.report(s.entries[0])
	s.exchangeFor(10*time.Second, s.entries[0])
	s.deliver(late)
	assert.InDelta(t, 3.5, s.entries[0].allowed(s.now).RequestsPerSecond, 0.01, "its floor")
	assert.LessOrEqual(t, s.allowed().RequestsPerSecond, testLimits.RequestsPerSecond+1e-9)
}

// Guards against freeing the concurrency of a disconnected entry whose
// requests are still running: the workspace would exceed its concurrency
// limit.
//
// Fails if the check of g.ends and LongestAnswer in held is removed.
func TestRequestsOutlivingTheirLeaseCountAsUsed(t *testing.T) {
	s := newSite(t, DefaultShareConfig(7), 7)
	s.exchangeFor(8 * time.Second)
	disconnected := s.entries[0]
	require.Equal(t, 10, disconnected.offer(s.now, 100))
	s.exchangeFor(time.Minute, disconnected)
	others := s.allowed().minus(disconnected.allowed(s.now)).Concurrency
	assert.Equal(t, 60, others)
	s.exchangeFor(10*time.Minute, disconnected)
	assert.Equal(t, 69, s.allowed().Concurrency, "all but the unused floor")
}

// Guards against granting concurrency to a second entry while requests still
// use it at the first: the workspace would exceed its concurrency limit.
//
// Fails if the use of h.running in held is removed.
func TestRunningRequestsCountAfterLeaseShrinks(t *testing.T) {
	s := newSite(t, DefaultShareConfig(2), 2)
	s.exchangeFor(8 * time.Second)
	for range 10 {
		s.entries[0].offer(s.now, 100)
		s.exchangeFor(time.Second)
	}
	running := s.entries[0].admitter.workspace("w").running
	for range 20 {
		s.entries[1].offer(s.now, 100)
		s.exchangeFor(time.Second)
	}
	assert.LessOrEqual(t, running+s.entries[1].admitter.workspace("w").running, testLimits.Concurrency)
	assert.LessOrEqual(t, running+s.entries[1].allowed(s.now).Concurrency, testLimits.Concurrency)
}

// Guards against a new leader that grants the concurrency in use at an entry
// which has not reported to it.
//
// Fails if the use of unreportedConcurrency in grantFor is removed.
func TestNewLeaderReservesConcurrencyOfUnreportedEntries(t *testing.T) {
	s := newSite(t, DefaultShareConfig(7), 7)
	s.exchangeFor(8 * time.Second)
	disconnected := s.entries[0]
	require.Equal(t, 10, disconnected.offer(s.now, 100))
	s.changeLeader(t)
	s.exchangeFor(20*time.Second, disconnected)
	assert.LessOrEqual(t, s.allowed().minus(disconnected.allowed(s.now)).Concurrency, 60)
	s.exchangeFor(20*time.Second, disconnected)
	assert.Equal(t, 69, s.allowed().minus(disconnected.allowed(s.now)).Concurrency, "after Settle")
}

// Guards against leases for reports of an earlier term or out of order, which
// may name grants that others now hold.
func TestReportOfOtherTermOrOldSequenceGetsNoLease(t *testing.T) {
	s := newSite(t, DefaultShareConfig(2), 2)
	assert.Equal(t, Reply{Term: 1, Status: OtherTerm}, s.shares.Lease(s.now, Report{Entry: "e", Term: 0, Sequence: 1}))
	assert.Equal(t, Leased, s.shares.Lease(s.now, Report{Entry: "e", Term: 1, Sequence: 2}).Status)
	assert.Equal(t, OldReport, s.shares.Lease(s.now, Report{Entry: "e", Term: 1, Sequence: 2}).Status)
	assert.Equal(t, "old_report", OldReport.String())
}

// Guards against entries that continue to use a limit after it has been
// lowered.
func TestLoweredLimitAppliesAfterNextReport(t *testing.T) {
	s := newSite(t, DefaultShareConfig(7), 7)
	s.exchangeFor(8 * time.Second)
	s.shares.SetLimits(s.now, "w", contract.Limits{RequestsPerSecond: 7, Concurrency: 7, TokensPerSecond: 700})
	s.exchangeFor(6 * time.Second)
	assert.LessOrEqual(t, s.allowed().RequestsPerSecond, 7+1e-9)
	assert.LessOrEqual(t, s.allowed().Concurrency, 7)
}

// Guards against an ended entry's share staying unused until its lease
// expires.
func TestEndedEntryReleasesItsShareImmediately(t *testing.T) {
	s := newSite(t, DefaultShareConfig(7), 7)
	s.exchangeFor(8 * time.Second)
	s.shares.EntryEnded("entry-6")
	s.entries = s.entries[:6]
	s.exchangeFor(3 * time.Second)
	assert.InDelta(t, 69, s.allowed().RequestsPerSecond, 0.01, "all but the unused floor")
}

// Guards against shares that exceed the capacity, or an unfair division of it.
func TestSplitAddsUpAndIsMaxMinFair(t *testing.T) {
	assert.Equal(t, []float64{1, 4.5, 4.5}, demands{1, 9, 20}.split(10))
	assert.Equal(t, []float64{3, 4, 3}, demands{0, 1, 0}.split(10))
	assert.Equal(t, []int{0, 5, 0}, demands{0, 9, 0}.splitIntegers(5))
	rapid.Check(t, func(t *rapid.T) {
		wanted := demands(rapid.SliceOfN(rapid.Float64Range(0, 1_000), 1, 20).Draw(t, "wants"))
		capacity := rapid.IntRange(0, 500).Draw(t, "capacity")
		sum, whole := 0.0, 0
		for _, part := range wanted.split(float64(capacity)) {
			sum += part
		}
		for _, part := range wanted.splitIntegers(capacity) {
			whole += part
			if part < 0 {
				t.Fatalf("negative part %d", part)
			}
		}
		if sum > float64(capacity)*(1+1e-9) || whole > capacity {
			t.Fatalf("%f and %d of %d", sum, whole, capacity)
		}
	})
}

// faultySite simulates a site with lost, delayed and repeated messages,
// disconnected entries and changes of leader, under demand above the limit.
type faultySite struct {
	*site
	delayed     []pendingReply
	requestEnds [][]time.Time // end times of the running requests, by entry
	admissions  []time.Time   // times of the admissions within the window of checkRate
}

func (f *faultySite) tick(t *rapid.T) {
	f.now = f.now.Add(time.Duration(rapid.IntRange(0, 3_000).Draw(t, "ms")) * time.Millisecond)
	for i, m := range f.entries {
		running := f.requestEnds[i][:0]
		for _, end := range f.requestEnds[i] {
			if end.After(f.now) {
				running = append(running, end)
				continue
			}
			m.admitter.Done(f.now, "w", 1, 1)
		}
		f.requestEnds[i] = running
	}
}

func (f *faultySite) exchange(t *rapid.T) {
	a := f.report(rapid.SampledFrom(f.entries).Draw(t, "member"))
	switch rapid.IntRange(0, 4).Draw(t, "fate") {
	case 0: // the reply is lost
	case 1:
		f.delayed = append(f.delayed, a)
	default:
		f.deliver(a)
	}
}

func (f *faultySite) deliverDelayed(t *rapid.T) {
	if len(f.delayed) == 0 {
		t.Skip("no delayed reply")
	}
	i := rapid.IntRange(0, len(f.delayed)-1).Draw(t, "which")
	f.deliver(f.delayed[i]) // stays in the list, so it may be delivered again
}

func (f *faultySite) offerRequests(t *rapid.T) {
	i := rapid.IntRange(0, len(f.entries)-1).Draw(t, "member")
	for range f.entries[i].offer(f.now, rapid.IntRange(1, 60).Draw(t, "requests")) {
		runs := time.Duration(rapid.IntRange(0, int(f.cfg.LongestAnswer/time.Millisecond)).Draw(t, "runs")) * time.Millisecond
		f.requestEnds[i] = append(f.requestEnds[i], f.now.Add(runs))
		f.admissions = append(f.admissions, f.now)
	}
}

func (f *faultySite) check(t *rapid.T) {
	got := f.allowed()
	if got.RequestsPerSecond > testLimits.RequestsPerSecond*(1+1e-9) || got.TokensPerSecond > testLimits.TokensPerSecond*(1+1e-9) {
		t.Fatalf("entries may use %+v together", got)
	}
	running := 0
	for i := range f.entries {
		running += len(f.requestEnds[i])
	}
	if running > testLimits.Concurrency {
		t.Fatalf("%d requests run, limit %d", running, testLimits.Concurrency)
	}
	f.checkRate(t)
}

// checkRate checks that the admissions within the window do not exceed what
// the rate allows, plus the burst and one request of debt for each entry.
func (f *faultySite) checkRate(t *rapid.T) {
	const window = 10 * time.Second
	for len(f.admissions) > 0 && f.now.Sub(f.admissions[0]) > window {
		f.admissions = f.admissions[1:]
	}
	bound := testLimits.RequestsPerSecond*(window+DefaultConfig().Window).Seconds() + float64(len(f.entries))
	if float64(len(f.admissions)) > bound {
		t.Fatalf("%d requests in %v, bound %f", len(f.admissions), window, bound)
	}
}

// Guards against entries that together may use more than the limits, or run
// more requests, when messages are lost, delayed or repeated and leaders
// change.
func TestPropertyLeasesNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultShareConfig(3)
		cfg.LongestAnswer, cfg.Settle, cfg.FloorTTL = 10*time.Second, 10*time.Second, 15*time.Second
		f := &faultySite{site: newSite(t, cfg, 3), requestEnds: make([][]time.Time, 3)}
		f.exchangeFor(20 * time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"tick":     f.tick,
			"tick2":    f.tick,
			"exchange": f.exchange,
			"report":   f.exchange,
			"late":     f.deliverDelayed,
			"ask":      f.offerRequests,
			"lead": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "change") == 0 {
					f.changeLeader(t)
				}
			},
			"": f.check,
		})
	})
}

// newReporter returns a function that sends the next entry's report, in turn,
// such that each entry reports once a second for one workspace.
func newReporter(entries int) func() {
	shares, _ := NewShares(DefaultShareConfig(entries), 1, epoch)
	shares.NoPredecessor()
	shares.SetLimits(epoch, "w", testLimits)
	names := make([]string, entries)
	for i := range names {
		names[i] = fmt.Sprint("entry-", i)
	}
	demands := []Demand{{Workspace: "w", Wanted: Amount{RequestsPerSecond: 1, Concurrency: 1, TokensPerSecond: 100}}}
	n := 0
	return func() {
		now := epoch.Add(time.Duration(n) * time.Second / time.Duration(entries))
		demands[0].Applied = uint64(max(0, n-entries))
		shares.Lease(now, Report{Entry: names[n%entries], Term: 1, Sequence: uint64(n + 1), Demands: demands})
		n++
	}
}

// Measures whether the cost of a report grows with the number of entries; 370
// is the number to design for.
func BenchmarkLease(b *testing.B) {
	for _, entries := range []int{7, 370} {
		b.Run(fmt.Sprint(entries, " entries"), func(b *testing.B) {
			report := newReporter(entries)
			b.ReportAllocs()
			for b.Loop() {
				report()
			}
		})
	}
}

// Guards against allocations per report that grow with the number of entries.
func TestLeaseAllocationsDoNotGrowWithEntries(t *testing.T) {
	for _, entries := range []int{7, 370} {
		report := newReporter(entries)
		for range 5 * entries {
			report()
		}
		assert.LessOrEqual(t, testing.AllocsPerRun(2*entries, report), 4.0, "%d entries", entries)
	}
}

// Guards against an invalid configuration being accepted, or reported with the
// wrong field.
func TestShareConfigValidateReportsInvalidField(t *testing.T) {
	for field, invalidate := range map[string]func(*ShareConfig){
		"TTL":           func(c *ShareConfig) { c.TTL = 0 },
		"FloorTTL":      func(c *ShareConfig) { c.FloorTTL = 1 },
		"Margin":        func(c *ShareConfig) { c.Margin = -1 },
		"LongestAnswer": func(c *ShareConfig) { c.LongestAnswer = 0 },
		"Settle":        func(c *ShareConfig) { c.Settle = -1 },
		"FloorShare":    func(c *ShareConfig) { c.FloorShare = 1 },
		"Entries":       func(c *ShareConfig) { c.Entries = 0 },
	} {
		cfg := DefaultShareConfig(7)
		invalidate(&cfg)
		_, err := NewShares(cfg, 1, epoch)
		var fieldErr *policy.ConfigError
		require.ErrorAs(t, err, &fieldErr, field)
		assert.Equal(t, field, fieldErr.Field)
	}
}
