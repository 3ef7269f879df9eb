package coordinator

import (
	"log/slog"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/replica"
	"savoryreel.example/savoryreel/replica/host"
	"savoryreel.example/savoryreel/replica/roster"
)

// fixedReplies holds when replicas have replied, by address.
type fixedReplies struct{ first, last map[string]time.Time }

func (f fixedReplies) FirstReply(addr string) time.Time { return f.first[addr] }
func (f fixedReplies) LastReply(addr string) time.Time  { return f.last[addr] }

// membershipRig is a leader of five voters, 1 to 5, with learner 6. All reply but those in gone, which have
// not replied since a time.
type membershipRig struct {
	*reconciler
	replies fixedReplies
	member  *member
	status  host.Status
	now     time.Time
}

func newMembershipRig() *membershipRig {
	rig := &membershipRig{
		now:     time.Unix(1_700_000_000, 0),
		replies: fixedReplies{first: make(map[string]time.Time), last: make(map[string]time.Time)},
		status:  host.Status{ID: 1, Role: replica.Leader, Term: 3, Voters: []uint64{1, 2, 3, 4, 5}, Learners: []uint64{6}},
	}
	addresses := make(map[uint64]string)
	for id := range uint64(6) {
		addr := strconv.FormatUint(id+1, 10)
		addresses[id+1] = addr
		rig.replies.first[addr], rig.replies.last[addr] = rig.now, rig.now
	}
	rig.member = &member{addresses: roster.NewAddressBook(addresses)}
	rig.reconciler = newReconciler(slog.New(slog.DiscardHandler), func() time.Time { return rig.now }, rig.replies)
	return rig
}

// advance lets all reply but those named.
func (rig *membershipRig) advance(d time.Duration, but ...string) {
	rig.now = rig.now.Add(d)
	for addr := range rig.replies.last {
		gone := false
		for _, name := range but {
			gone = gone || name == addr
		}
		if !gone {
			rig.replies.last[addr] = rig.now
		}
	}
}

// replaced returns the voter that is replaced, 0 for none.
func (rig *membershipRig) replaced() uint64 {
	rig.recordTerm(rig.status.Term)
	id, _ := rig.unreachableVoter(rig.member, rig.status)
	return id
}

// Guards against a group that loses its majority for good since each leader ends before a voter that is
// gone has been out of reach for long enough under that leader alone.
func TestVoterIsReplacedHoweverShortTheLeaderHasLed(t *testing.T) {
	rig := newMembershipRig()
	rig.advance(voterReplaceDelay+time.Second, "4")
	require.Zero(t, rig.replaced(), "it has just been elected, and may lack replies")
	rig.advance(minLead, "4")
	require.Equal(t, uint64(4), rig.replaced())
}

// Guards against a voter that is replaced while it restarts, and one that keeps its place while its
// successor is there.
func TestVoterIsReplacedSoonerOnceItsSuccessorIsThere(t *testing.T) {
	rig := newMembershipRig()
	require.Zero(t, rig.replaced())
	rig.advance(successorReplaceDelay+time.Second, "4")
	require.Zero(t, rig.replaced(), "the learner was there before")
	rig.replies.first["6"] = rig.now
	require.Equal(t, uint64(4), rig.replaced())
	rig.replies.last["4"] = rig.now
	require.Zero(t, rig.replaced())
}

// Guards against a leader that replaces voters which it has not called yet since its start.
func TestVoterIsNotReplacedRightAfterAStart(t *testing.T) {
	rig := newMembershipRig()
	delete(rig.replies.last, "4")
	require.Zero(t, rig.replaced())
	rig.advance(successorReplaceDelay+time.Second, "4")
	delete(rig.replies.last, "4")
	require.Zero(t, rig.replaced())
}

// Guards against addresses of replicas that are gone and stay in every list for longer with each new
// leader, and against an id that is retired before its replica has joined.
func TestUnusedRegistrationIsRetiredUnderALaterLeader(t *testing.T) {
	rig := newMembershipRig()
	gone := roster.Member{ID: 9, Address: "4"}
	rig.advance(unusedRegistrationTTL+time.Second, "4")
	require.False(t, rig.isUnused(gone), "it may have been issued just now")
	rig.advance(minUnused+time.Second, "4")
	require.True(t, rig.isUnused(gone))
	require.False(t, rig.isUnused(roster.Member{ID: 10, Address: "5"}), "it replies")
}

// Guards against a group that accepts no change any more once each leader in turn was replaced by another
// instance, one at a time, each some seconds after the successor of the one before has started.
func TestGroupOutlivesLeadersThatAreReplaced(t *testing.T) {
	c := newCluster(t, 3)
	c.startFirst(5)
	c.replaceCatalogue(c.replicas[address(0)], 1)
	c.waitForVoters()
	for i := range 4 {
		ip := c.leader()
		c.kill(ip)
		c.seeds = nil
		for live := range c.replicas {
			c.seeds = append(c.seeds, net.JoinHostPort(live, "1"))
		}
		c.start(address(5+i), false)
		time.Sleep(4200 * time.Millisecond) // after which the next instance may be lost
	}
	c.replaceCatalogue(c.replicas[address(8)], 2)
	c.requireCatalogue(c.replicas[address(7)], 2)
}

// leader returns the replica that leads.
func (c *cluster) leader() (leader string) {
	c.t.Helper()
	require.Eventually(c.t, func() bool {
		for ip, r := range c.replicas {
			if m := r.group.current.Load(); m != nil && m.leading() {
				leader = ip
				return true
			}
		}
		return false
	}, testWait, 10*time.Millisecond)
	return leader
}
