package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"savoryreel.example/savoryreel/instance"
)

// settleTime is virtual time enough for suspicion, timeouts and a full round of
// digest comparisons.
const settleTime = 60 * time.Second

func startCluster(seed uint64, nodes int) *cluster {
	c := newCluster(seed)
	for range nodes {
		c.add("region-0", "zone-0")
	}
	c.run(10 * time.Second)
	return c
}

func (n *simNode) serverState(id string) instance.State {
	s, ok := n.view.Server(id)
	if !ok {
		return ""
	}
	return s.State
}

func (n *simNode) memberState(id string) instance.State {
	m, ok := n.view.Member(id)
	if !ok {
		return ""
	}
	return m.State
}

// requireState checks the state of one server at every live node.
func (c *cluster) requireState(t require.TestingT, id string, want instance.State) {
	for _, n := range c.nodes {
		if !n.dead {
			require.Equal(t, want, n.serverState(id), "%s at %s", id, n.id)
		}
	}
}

// A server that begins to leave must be leaving at every entry within the bound, with
// a tenth of the messages lost and a tenth duplicated. Otherwise an entry sends
// requests to a server that is about to stop.
func TestLeavingReachesEveryEntryWithinBound(t *testing.T) {
	for seed := range uint64(10) {
		c := startCluster(seed, 30)
		s := c.addServer("s", 1, "region-0", "zone-0", c.randomEntryIn("region-0"))
		c.run(5 * time.Second)
		c.requireState(t, "s", instance.StateServing)
		c.loss, c.duplication = 0.1, 0.1
		s.setState(instance.StateLeaving)
		c.run(maxLeavingTime)
		c.requireState(t, "s", instance.StateLeaving)
	}
}

// A delayed announcement from before a server began to leave, received by another
// entry, must not make it serving again: it would get requests until it stops.
func TestLeavingNeverReverts(t *testing.T) {
	c := startCluster(1, 3)
	s := c.addServer("s", 1, "region-0", "zone-0", func() *simNode { return c.nodes[0] })
	c.run(3 * time.Second)
	s.stopped = true
	s.setState(instance.StateLeaving)
	delayed := s.announcement
	delayed.State, delayed.Sequence = instance.StateServing, delayed.Sequence+5
	c.nodes[1].step(func(now time.Time) { require.NoError(t, c.nodes[1].core.announce(delayed, now)) })
	c.run(2 * time.Second)
	c.requireState(t, "s", instance.StateLeaving)
}

// A process that replaces another at the same address, under a new incarnation or id,
// must replace its record, and a delayed record of the old one must not return.
// Otherwise requests meant for the old process reach the new one.
func TestNewIncarnationReplacesOldAtSameAddress(t *testing.T) {
	c := startCluster(2, 4)
	old := c.addServer("s", 5, "region-0", "zone-0", func() *simNode { return c.nodes[0] })
	old.announcement.Address = "10.0.0.9:9000"
	c.run(3 * time.Second)
	old.stopped = true
	successor := c.addServer("t", 6, "region-0", "zone-0", func() *simNode { return c.nodes[1] })
	successor.announcement.Address = old.announcement.Address
	c.run(2 * time.Second)
	c.requireState(t, "s", instance.StateGone)
	c.requireState(t, "t", instance.StateServing)

	restarted := c.addServer("t", 7, "region-0", "zone-0", func() *simNode { return c.nodes[2] })
	restarted.announcement.Address = old.announcement.Address
	successor.stopped = true
	c.run(2 * time.Second)
	successor.announcement.Sequence += 1000
	successor.announce()
	delayed := c.nodes[1].core.lookup(recordServer, "s").full()
	delayed.ID, delayed.Inc, delayed.Status.Seq = "t", 6, 2000
	c.nodes[3].step(func(now time.Time) { c.nodes[3].core.applyFull(delayed, now) })
	c.run(2 * time.Second)
	for _, n := range c.nodes {
		got, _ := n.view.Server("t")
		require.EqualValues(t, 7, got.Incarnation, n.id)
		require.Equal(t, instance.StateServing, got.State, n.id)
	}
}

// A backend server that stops without notice must be gone at every entry, though only
// its home receives its heartbeats.
func TestServerWithoutHeartbeatIsGone(t *testing.T) {
	c := startCluster(3, 8)
	s := c.addServer("s", 1, "region-0", "zone-0", c.randomEntryIn("region-0"))
	c.run(5 * time.Second)
	s.stopped = true
	c.run(c.cfg.ServerTimeout + 2*time.Second)
	c.requireState(t, "s", instance.StateGone)
	s.stopped = false
	s.heartbeat()
	c.run(2 * time.Second)
	c.requireState(t, "s", instance.StateServing)
}

// When the home of a server fails and the server moves to another entry, no entry may
// see it gone in between: without servers, requests are refused.
func TestServerStaysServingWhenItsHomeFails(t *testing.T) {
	c := startCluster(4, 8)
	s := c.addServer("s", 1, "region-0", "zone-0", c.randomEntryIn("region-0"))
	c.run(5 * time.Second)
	for _, n := range c.nodes {
		n.onEvent = func(e Event) { require.NotEqual(t, ServerGone, e.Kind, "at %s", n.id) }
	}
	failed := s.home
	failed.dead = true
	c.run(settleTime)
	for _, n := range c.nodes {
		if n != failed {
			require.Equal(t, instance.StateGone, n.memberState(failed.id), "at %s", n.id)
		}
	}
	c.requireState(t, "s", instance.StateServing)
}

// When a server fails together with its home, no entry is left to miss its heartbeats;
// the others must still see it gone.
func TestServerIsGoneWhenItFailsWithItsHome(t *testing.T) {
	c := startCluster(5, 8)
	s := c.addServer("s", 1, "region-0", "zone-0", c.randomEntryIn("region-0"))
	c.run(5 * time.Second)
	s.stopped = true
	s.home.dead = true
	c.run(settleTime)
	c.requireState(t, "s", instance.StateGone)
}

// An entry that was stopped for half a minute (SIGSTOP, CPU starvation) must not mark
// the instances gone that seem silent to it. Otherwise all servers and entries would
// be gone everywhere for a moment, and requests refused.
func TestFrozenEntryMarksNoInstanceGone(t *testing.T) {
	for _, keep := range []bool{true, false} {
		t.Run(fmt.Sprintf("keep inbox %v", keep), func(t *testing.T) { testFreezeAndResume(t, keep) })
	}
}

func testFreezeAndResume(t *testing.T, keepInbox bool) {
	c := startCluster(6, 6)
	frozen := c.nodes[2]
	for i := range 4 {
		c.addServer(fmt.Sprintf("s%d", i), 1, "region-0", "zone-0", func() *simNode {
			if frozen.frozen {
				return c.nodes[3]
			}
			return frozen
		})
	}
	c.run(5 * time.Second)
	frozen.freeze()
	c.run(30 * time.Second)
	require.Equal(t, instance.StateGone, c.nodes[0].memberState(frozen.id))
	for _, n := range c.nodes {
		n.onEvent = func(e Event) {
			require.NotEqual(t, ServerGone, e.Kind, "at %s", n.id)
			require.NotEqual(t, MemberGone, e.Kind, "at %s", n.id)
		}
	}
	frozen.resume(keepInbox)
	c.run(settleTime)
	for _, n := range c.nodes {
		require.Len(t, n.view.Members(instance.RoleEntry), 6, "at %s", n.id)
		require.Len(t, n.view.AllServers(), 4, "at %s", n.id)
	}
}

// Two entries that can't reach each other, but are reached by all others, must not
// mark each other gone: a healthy entry would be dropped everywhere.
func TestPartitionOfTwoMembersMarksNeitherGone(t *testing.T) {
	c := startCluster(7, 5)
	a, b := c.nodes[1], c.nodes[3]
	c.cut = func(x, y *simNode) bool { return (x == a && y == b) || (x == b && y == a) }
	for _, n := range c.nodes {
		n.onEvent = func(e Event) { require.NotEqual(t, MemberGone, e.Kind, "at %s", n.id) }
	}
	c.run(2 * settleTime)
}

// After a partition of minutes between two regions, no instance may be seen gone when
// they reconnect, though each region receives gone marks for its own members. Otherwise
// every entry would drop its peers at that moment.
func TestRegionPartitionHealsWithoutGoneInstances(t *testing.T) {
	c := newCluster(8)
	for i := range 12 {
		region := fmt.Sprintf("region-%d", i%2)
		c.add(region, region)
		c.addServer(fmt.Sprintf("s%02d", i), 1, region, region, c.randomEntryIn(region))
		c.run(time.Second)
	}
	c.run(20 * time.Second)
	c.cut = func(x, y *simNode) bool { return x.region != y.region }
	c.run(5 * time.Minute)
	for _, n := range c.nodes {
		require.Len(t, n.view.AllServers(), 6, "the own region's at %s", n.id)
		require.Len(t, n.view.Members(""), 6, "at %s", n.id)
		n.onEvent = func(e Event) {
			require.NotEqual(t, ServerGone, e.Kind, "at %s", n.id)
			require.NotEqual(t, MemberGone, e.Kind, "at %s", n.id)
		}
	}
	c.cut = func(_, _ *simNode) bool { return false }
	c.run(settleTime)
	for _, n := range c.nodes {
		require.Len(t, n.view.AllServers(), 12, "at %s", n.id)
		require.Len(t, n.view.Members(""), 12, "at %s", n.id)
	}
}

// An entry that restarts under the same or a lower incarnation, as after a change of
// its clock, must be serving again: the others hold a newer record of its old process.
func TestRestartWithOldIncarnationIsServing(t *testing.T) {
	for _, inc := range []uint64{1, 9} {
		c := startCluster(9, 3)
		first := c.addAs("entry-x", 9, "region-0", "zone-0")
		c.run(5 * time.Second)
		first.step(func(now time.Time) { first.core.setSelf(instance.Member{State: instance.StateGone}, now) })
		c.run(time.Second)
		first.dead = true
		c.run(time.Second)
		require.Equal(t, instance.StateGone, c.nodes[0].memberState("entry-x"))
		c.addAs("entry-x", inc, "region-0", "zone-0")
		c.run(settleTime)
		for _, n := range c.nodes[:3] {
			require.Equal(t, instance.StateServing, n.memberState("entry-x"), "incarnation %d at %s", inc, n.id)
		}
	}
}

// After a lost connection, digests must be compared at once: the sender can't know
// which messages arrived, and the receiver would lack them until the next round.
func TestLostConnectionStartsDigestComparison(t *testing.T) {
	c := startCluster(11, 2)
	n := c.nodes[0].core
	n.nextDigest = c.now.Add(time.Hour)
	n.connectionLost(c.nodes[1].addr)
	c.now = c.now.Add(n.cfg.Tick)
	n.tick(c.now)
	require.NotEmpty(t, n.out)
	m, err := decodeMessage(n.out[0].Message)
	require.NoError(t, err)
	require.Equal(t, kindDigest, m.Kind)
	require.Equal(t, c.nodes[1].addr, n.out[0].To)
}

// Load reports must stay in their region and under the rate limit. Otherwise those of
// 600 servers would exceed a node's bandwidth budget.
func TestLoadReportsStayInRegionAndAreRateLimited(t *testing.T) {
	c := newCluster(12)
	for i := range 6 {
		c.add(fmt.Sprintf("region-%d", i%2), "zone")
	}
	c.run(5 * time.Second)
	s := c.addServer("s", 1, "region-0", "zone", func() *simNode { return c.nodes[0] })
	c.run(5 * time.Second)
	s.announcement.Load.Waiting = 40
	c.run(10 * time.Second)
	for _, n := range c.nodes {
		got, _ := n.view.Server("s")
		want := 40
		if n.region != "region-0" {
			want = 0
		}
		require.Equal(t, want, got.Load.Waiting, "at %s", n.id)
	}
	n := c.nodes[0].core
	require.Equal(t, n.cfg.MinLoadInterval, n.loadInterval())
	for i := range 600 {
		a := s.announcement
		a.ID, a.Address = fmt.Sprintf("x%d", i), fmt.Sprintf("x%d:1", i)
		require.NoError(t, n.announce(a, c.now))
	}
	n.scan(c.now)
	require.InDelta(t, 604/n.cfg.LoadReportsPerSecond, n.loadInterval().Seconds(), 0.01)
}

func TestSharedRecordsMerge(t *testing.T) {
	c := newCluster(10)
	c.cfg.Merge = func(_ string, a, b []byte) []byte { return []byte{a[0] | b[0]} }
	for range 4 {
		c.add("region-0", "zone-0")
	}
	c.run(10 * time.Second)
	for i, n := range c.nodes {
		n.step(func(now time.Time) { n.core.put("quarantine/f1", 1, []byte{1 << i}, now) })
	}
	c.run(15 * time.Second)
	for _, n := range c.nodes {
		r, ok := n.view.Record("quarantine/f1")
		require.True(t, ok)
		require.Equal(t, []byte{0b1111}, r.Body, "at %s", n.id)
	}
}

// faultRun is one random run: entries freeze and resume, the network is partitioned,
// servers leave, stop and restart, and messages are lost and duplicated.
type faultRun struct {
	*cluster
	t        *rapid.T
	servers  []*simServer
	observed map[string]observation // by node and server
}

// observation is the latest state of a server that a node has seen.
type observation struct {
	inc     uint64
	leaving bool
}

// checkEvents checks at each event that no server of node n goes back to an earlier
// state.
func (c *faultRun) checkEvents(n *simNode) {
	n.onEvent = func(e Event) {
		if e.Server == nil {
			return
		}
		key := n.id + "/" + e.Server.ID
		last := c.observed[key]
		require.GreaterOrEqual(c.t, e.Server.Incarnation, last.inc, "incarnation of %s", key)
		if e.Server.Incarnation == last.inc && last.leaving {
			require.NotEqual(c.t, instance.StateServing, e.Server.State, "%s reverted", key)
		}
		c.observed[key] = observation{inc: e.Server.Incarnation, leaving: e.Server.State == instance.StateLeaving ||
			(last.inc == e.Server.Incarnation && last.leaving)}
	}
}

func (c *faultRun) injectFault() {
	n := c.nodes[rapid.IntRange(0, len(c.nodes)-1).Draw(c.t, "node")]
	s := c.servers[rapid.IntRange(0, len(c.servers)-1).Draw(c.t, "server")]
	switch rapid.SampledFrom([]string{"freeze", "thaw", "cut", "heal", "leave", "die", "restart", "put"}).Draw(c.t, "action") {
	case "freeze":
		n.freeze()
	case "thaw":
		n.resume(rapid.Bool().Draw(c.t, "keep"))
	case "cut":
		side := rapid.SliceOfN(rapid.Bool(), len(c.nodes), len(c.nodes)).Draw(c.t, "sides")
		c.cut = func(x, y *simNode) bool { return side[c.index(x)] != side[c.index(y)] }
	case "heal":
		c.cut = func(_, _ *simNode) bool { return false }
	case "leave":
		s.setState(instance.StateLeaving)
	case "die":
		s.stopped = true
	case "restart":
		s.announcement.Incarnation, s.announcement.Sequence, s.announcement.State = s.announcement.Incarnation+1, 0, instance.StateServing
		if s.stopped {
			s.stopped = false
			s.heartbeat()
		}
	case "put":
		version := rapid.Uint64Range(1, 9).Draw(c.t, "version")
		n.step(func(now time.Time) { n.core.put("k", version, []byte(n.id), now) })
	}
}

func (c *cluster) index(n *simNode) int {
	for i, other := range c.nodes {
		if n == other {
			return i
		}
	}
	return -1
}

// After lost and duplicated messages, freezes and partitions, all entries must hold the
// same records: every announcing server under its latest incarnation, and every silent
// one gone. A leaving server must never be serving again under the same incarnation.
func TestConvergenceAfterFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := &faultRun{cluster: startCluster(rapid.Uint64().Draw(rt, "seed"), 5), t: rt, observed: make(map[string]observation)}
		c.loss, c.duplication = 0.1, 0.1
		for _, n := range c.nodes {
			c.checkEvents(n)
		}
		home := func() *simNode { return c.nodes[c.rng.IntN(len(c.nodes))] }
		for i := range 3 {
			c.servers = append(c.servers, c.addServer(fmt.Sprintf("s%d", i), 1, "region-0", "zone-0", home))
		}
		for range rapid.IntRange(3, 12).Draw(rt, "actions") {
			c.injectFault()
			c.run(time.Duration(rapid.IntRange(0, 4000).Draw(rt, "pause")) * time.Millisecond)
		}
		c.loss, c.duplication = 0, 0
		c.cut = func(_, _ *simNode) bool { return false }
		for _, n := range c.nodes {
			n.resume(true)
		}
		c.run(2 * settleTime)
		c.requireConverged(rt)
	})
}

func (c *faultRun) requireConverged(t *rapid.T) {
	for _, s := range c.servers {
		want := s.announcement.State
		if s.stopped {
			want = instance.StateGone
		}
		for _, n := range c.nodes {
			got, ok := n.view.Server(s.announcement.ID)
			if !ok && s.stopped {
				continue
			}
			require.True(t, ok, "%s at %s", s.announcement.ID, n.id)
			require.Equal(t, want, got.State, "%s at %s", s.announcement.ID, n.id)
			if !s.stopped { // a stopped one may not have announced its last incarnation
				require.Equal(t, s.announcement.Incarnation, got.Incarnation, "%s at %s", s.announcement.ID, n.id)
			}
		}
	}
	for _, n := range c.nodes {
		require.Len(t, n.view.Members(""), len(c.nodes), "members at %s", n.id)
		require.Equal(t, c.nodes[0].core.digest(), n.core.digest(), "digest at %s", n.id)
	}
}
