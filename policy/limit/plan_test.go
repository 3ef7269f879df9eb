package limit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/policy/quorum"
)

// plan applies a plan to a table, at the next index.
func plan(t *Table, c *Calls, revoked []Grant, now time.Time) *Table {
	change := Plan(t, c, revoked, now)
	if change.IsEmpty() {
		return t
	}
	next, _ := t.Apply(&change, t.Index+1)
	return next
}

// obey records a call of an entry that holds its grant.
func obey(t *Table, c *Calls, name string, now time.Time) {
	g := t.Get(name)
	c.Record(name, 1, Report{Index: g.Index, Divisor: g.Divisor}, now)
}

// divisors returns the divisors of all grants.
func divisors(t *Table) map[string]int {
	out := make(map[string]int)
	for _, g := range t.All() {
		out[g.Name] = g.Divisor
	}
	return out
}

func grantOf(name string, divisor int, index uint64) Grant {
	return Grant{Name: name, Divisor: divisor, Reserved: divisor, Index: index, First: 1}
}

// Guards against a new entry that uses a share before the other entries have reported that
// theirs are small enough: the shares would sum to more than 1.
func TestNewEntryWaitsForSmallerShares(t *testing.T) {
	c, table := NewCalls(), NewTable(0, nil)
	c.Record("a", 1, Report{}, start)
	table = plan(table, c, nil, start)
	require.Equal(t, map[string]int{"a": 1}, divisors(table))
	c.Record("b", 1, Report{}, start)
	table = plan(table, c, nil, start)
	require.Equal(t, map[string]int{"a": 2}, divisors(table))
	for _, report := range []Report{
		{Index: table.Index - 1, Divisor: 2}, // of an earlier grant
		{Index: table.Index, Divisor: 1},     // a lease of the larger share is in use
		{Divisor: 2},                         // has restarted, and does not know its latest grant
	} {
		c.Record("a", 1, report, start)
		require.Equal(t, table, plan(table, c, nil, start), "%v", report)
	}
	obey(table, c, "a", start)
	table = plan(table, c, nil, start)
	require.Equal(t, map[string]int{"a": 2, "b": 2}, divisors(table))
	require.Equal(t, uint64(1), table.Get("b").First)
}

// Guards against entries that may use nothing of what a lost entry leaves, and against one that
// gets the lost entry's share before it has been revoked.
func TestShareOfLostEntryIsWithheld(t *testing.T) {
	c := NewCalls()
	table := NewTable(1, []Grant{grantOf("a", 3, 1), grantOf("b", 3, 1), grantOf("c", 3, 1)})
	for range 4 {
		for _, name := range []string{"b", "c", "d"} {
			obey(table, c, name, start)
		}
		table = plan(table, c, nil, start)
	}
	require.Equal(t, map[string]int{"a": 3, "b": 5, "c": 5, "d": 5}, divisors(table), "2/3 for three entries")
	live, withheld := c.Divided(table, start)
	require.InDelta(t, 0.6, live, 1e-9)
	require.InDelta(t, 1.0/3, withheld, 1e-9)
	table = plan(table, c, []Grant{grantOf("a", 3, 0)}, start)
	require.Equal(t, 3, divisors(table)["a"], "an earlier grant was revoked")
	table = plan(table, c, []Grant{table.Get("a")}, start)
	require.Equal(t, map[string]int{"b": 3, "c": 3, "d": 3}, divisors(table))
}

// Guards against a share that is removed although its entry has called a voter, and against one that a
// replica revokes which was no voter for as long.
func TestOnlyVotersWithoutACallRevoke(t *testing.T) {
	g := grantOf("a", 2, 3)
	c := NewCalls()
	c.SetVoter(true, start)
	require.Empty(t, c.Revoke([]Grant{g}, start.Add(ShareTTL)), "it may have called another voter before")
	c.Record("a", 1, Report{}, start.Add(time.Second))
	require.Empty(t, c.Revoke([]Grant{g}, start.Add(ShareTTL+time.Second)))
	require.Equal(t, g, c.Confirmed(g))
	require.Equal(t, []Grant{g}, c.Revoke([]Grant{g}, start.Add(ShareTTL+2*time.Second)))
	c.Record("a", 1, Report{}, start.Add(ShareTTL+3*time.Second))
	require.Zero(t, c.Confirmed(g), "it has promised")
	later := g
	later.Index = 4
	require.Equal(t, later, c.Confirmed(later))
	c.SetVoter(false, start)
	require.Empty(t, c.Revoke([]Grant{g}, start.Add(time.Hour)))
}

// Guards against two leaders' changes that are both made on the same table: the shares would sum to
// more than 1.
func TestChangeOfAnEarlierTableIsVoid(t *testing.T) {
	table, ok := NewTable(0, nil).Apply(&Change{Set: []Grant{{Name: "a", Divisor: 1}}}, 7)
	require.True(t, ok)
	_, ok = table.Apply(&Change{Set: []Grant{{Name: "b", Divisor: 1}}}, 8)
	require.False(t, ok)
	require.Equal(t, NewTable(7, table.All()), table, "a snapshot holds all")
}

// Guards against a share that is taken from an entry which has been started again, and against one that is
// kept from the others for an entry that has stopped.
func TestStoppedEntryIsGoneUnlessItReturns(t *testing.T) {
	g := grantOf("a", 2, 3)
	c := NewCalls()
	c.SetVoter(true, start)
	c.Record("a", 1, Report{Ends: time.Second}, start)
	require.Empty(t, c.Revoke([]Grant{g}, start.Add(returnDelay)))
	later := start.Add(returnDelay + 2*time.Second)
	other := NewCalls()
	other.Record("a", 1, Report{Ends: time.Second}, start)
	other.Record("a", 2, Report{}, later)
	require.Empty(t, other.Revoke([]Grant{g}, later))
	require.Equal(t, []Grant{g}, c.Revoke([]Grant{g}, later))
}

// replyOf returns the reply of one of n voters, with a grant unless divisor is 0.
func replyOf(voter uint64, n, divisor int) Reply {
	r := Reply{Entries: divisor, Applied: true, View: quorum.View{Self: voter}}
	for id := range uint64(n) {
		r.View.Voters = append(r.View.Voters, id+1)
	}
	if divisor > 0 {
		r.Grant = grantOf("a", divisor, 5)
	}
	return r
}

// recoveredHolder returns the Holder of an entry that started a minute before now.
func recoveredHolder(now time.Time) *Holder { return NewHolder(2, now.Add(-time.Minute)) }

// Guards against an entry, partitioned with a minority of the replicas, that uses a share
// which the other replicas may have given to others.
func TestShareNeedsMajorityOfVoters(t *testing.T) {
	h := recoveredHolder(start)
	h.Record("c1", replyOf(1, 5, 4), start)
	h.Record("c2", replyOf(2, 5, 4), start)
	require.Zero(t, h.Share(start))
	h.Record("c3", replyOf(3, 5, 0), start)
	require.Zero(t, h.Share(start), "it does not confirm the grant")
	h.Record("c6", replyOf(6, 5, 4), start)
	require.Zero(t, h.Share(start), "it is no voter")
	h.Record("c4", replyOf(4, 5, 4), start)
	require.Equal(t, 0.25, h.Share(start))
}

// Guards against an entry that has restarted and takes over an old grant, which was larger, from replicas
// that lag.
func TestRestartedEntryWaitsForItsLatestGrant(t *testing.T) {
	h := recoveredHolder(start)
	for id := range uint64(4) {
		r := replyOf(id+1, 5, 2)
		r.Applied = id > 1 // the others have a change in their logs that may be committed
		h.Record(string(rune('a'+id)), r, start)
	}
	require.Zero(t, h.Share(start))
	require.Zero(t, h.Report(start).Index)
	latest := replyOf(1, 5, 4)
	latest.Grant.Index = 6
	h.Record("a", latest, start)
	require.Equal(t, 0.25, h.Share(start))
	require.Equal(t, Report{Index: 6, Held: 6, Divisor: 4}, h.Report(start))
}

// Guards against a replica that lags, whose reply enlarges an entry's share.
func TestEarlierGrantDoesNotEnlargeShare(t *testing.T) {
	h := recoveredHolder(start)
	h.Record("c1", replyOf(1, 1, 6), start)
	require.Equal(t, 1.0/6, h.Share(start))
	earlier := replyOf(1, 1, 1)
	earlier.Grant.Index = 4
	h.Record("c1", earlier, start)
	require.Equal(t, 1.0/6, h.Share(start))
}

// All control replicas are unreachable. Guards against an entry that gives up its share at
// once, that still uses it when they may have given it to others, or that uses it again later.
func TestShareExpiresWithoutReplicas(t *testing.T) {
	h := recoveredHolder(start)
	h.Record("c1", replyOf(1, 1, 2), start)
	require.Equal(t, 0.5, h.Share(start.Add(replyTTL)))
	require.Zero(t, h.Share(start.Add(replyTTL+time.Second)))
	require.Less(t, replyTTL+LeaseDuration(1000), ShareTTL)
	h.Record("c1", replyOf(1, 1, 0), start.Add(ShareTTL))
	require.Zero(t, h.Share(start.Add(ShareTTL)), "the grant was removed")
	h.Record("c1", replyOf(1, 1, 2), start.Add(ShareTTL))
	require.Equal(t, 0.5, h.Share(start.Add(ShareTTL)), "it was not")
}

// A share shrinks while the larger one is lent. Guards against an entry that reports the
// smaller one before the lease has expired: a new entry would get its share too early.
func TestLargerShareIsInUseUntilLeaseExpires(t *testing.T) {
	h := recoveredHolder(start)
	reported := func(divisor int, index uint64, after time.Duration) int {
		r := replyOf(1, 1, divisor)
		r.Grant.Index = index
		h.Record("c1", r, start.Add(after))
		h.Share(start.Add(after))
		return h.Report(start.Add(after)).Divisor
	}
	require.Equal(t, 2, reported(2, 5, 0))
	require.Equal(t, 2, reported(3, 6, time.Second))
	require.Equal(t, 2, reported(3, 6, time.Second+LeaseDuration(3)))
	require.Equal(t, 3, reported(3, 6, time.Second+LeaseDuration(3)+time.Millisecond))
	require.Equal(t, 2, reported(2, 7, time.Minute), "a larger share is in use at once")
}

// Guards against a share that goes to others while a lease of it is in use.
func TestShareIsGivenUpOnceLeasesHaveExpired(t *testing.T) {
	h := recoveredHolder(start)
	h.Record("c1", replyOf(1, 1, 3), start)
	require.Equal(t, 1.0/3, h.Share(start))
	h.GiveUp(start)
	require.Zero(t, h.Share(start))
	require.GreaterOrEqual(t, h.Report(start).Ends, LeaseDuration(3))
	require.Positive(t, h.Report(start.Add(time.Minute)).Ends)
}

// An entry crashes after it has lent its share, and restarts. Guards against using the share
// before the borrower has returned it or the lease has expired: both would use it.
func TestRestartedEntryWaitsForLentShare(t *testing.T) {
	h := NewHolder(2, start)
	h.Record("c1", replyOf(1, 1, 3), start)
	require.Zero(t, h.Share(start))
	h.RecordReturn("b", false, time.Hour, start)
	require.Zero(t, h.Share(start))
	h.RecordReturn("c", true, time.Hour, start.Add(50*time.Millisecond))
	require.Equal(t, 1.0/3, h.Share(start.Add(60*time.Millisecond)))
	require.Equal(t, start.Add(50*time.Millisecond), h.UnusedSince(), "in use until then")

	h = NewHolder(2, start)
	r := replyOf(1, 1, 9)
	r.Grant.Reserved, r.Entries = 3, 3
	h.Record("c1", r, start)
	h.Share(start)
	require.Equal(t, 3, h.Report(start).Divisor, "the larger share may be lent")
	h.RecordReturn("b", false, time.Hour, start)
	end := LeaseDuration(3) + leaseMargin
	require.Zero(t, h.Share(start.Add(end+returnTimeout-time.Millisecond)))
	require.Equal(t, 1.0/9, h.Share(start.Add(end+returnTimeout)))
	require.Equal(t, 9, h.Report(start.Add(end+returnTimeout)).Divisor)
	require.Equal(t, start.Add(end), h.UnusedSince())
}

// All entries restart together. Guards against a share that brings tokens from before the last
// restart: that entry's previous incarnation may have used the share until then.
func TestShareIsUnusedSinceLastStart(t *testing.T) {
	h := NewHolder(2, start)
	now := start.Add(300 * time.Millisecond)
	h.Record("c1", replyOf(1, 1, 3), now)
	h.Share(now)
	h.RecordReturn("b", false, 350*time.Millisecond, now)
	h.RecordReturn("c", false, 200*time.Millisecond, now)
	require.Equal(t, 1.0/3, h.Share(now))
	require.Equal(t, start.Add(100*time.Millisecond), h.UnusedSince())
}

// Guards against an entry that starts for the first time and waits for all others to return
// a share that it never lent.
func TestFirstIncarnationUsesItsShareAtOnce(t *testing.T) {
	h := NewHolder(1, start)
	require.False(t, h.ReturnsNeeded(start), "no grant yet")
	h.Record("c1", replyOf(1, 1, 900), start)
	require.Equal(t, 1.0/900, h.Share(start))
	require.False(t, h.ReturnsNeeded(start))

	h = NewHolder(2, start)
	h.Record("c1", replyOf(1, 1, 900), start)
	require.Zero(t, h.Share(start))
	require.True(t, h.ReturnsNeeded(start), "an earlier incarnation may have lent it")
}
