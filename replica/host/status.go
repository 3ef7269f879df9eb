package host

import (
	"time"

	"savoryreel.example/savoryreel/replica"
)

// Status is what a replica knows of itself at one moment. Its slices must not be
// changed.
type Status struct {
	ID       uint64
	Term     uint64
	Leader   uint64 // 0: unknown
	Role     replica.Role
	Last     uint64 // index of the last entry, synced
	Commit   uint64
	Applied  uint64
	Snapshot uint64 // index of the latest snapshot
	Voters   []uint64
	Learners []uint64
	Lost     []uint64 // at the leader: replicas that lost their disk and kept their id
}

// view is what other goroutines may read of the loop's state.
type view struct {
	status          Status
	leaseTerm       uint64 // of the lease
	leaseUntil      time.Time
	hasLease        bool
	lastIndexByKind [256]uint64
	voters          Voters
}

// Voters is the set of voters that a replica's log holds.
type Voters struct {
	Index uint64 // of the entry that made this set, 0 for the founding one
	Term  uint64 // of the last entry of the log
	IDs   []uint64
}

// Voters returns the set of voters in this replica's log, committed or not. Like
// LastIndexOf it tells of a change before this replica acknowledges it: among any
// majority of a set, one replica names the set that was committed after it.
func (h *Host) Voters() Voters {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.view.voters
}

// Status returns the replica's state as of the loop's last round.
func (h *Host) Status() Status {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.view.status
}

// HoldsLease reports whether this replica is the leader and no other can be until
// the given time, on this process's monotonic clock. Ask right before the act
// that needs it, and act only if it ends before until: the time between is the
// caller's to judge.
func (h *Host) HoldsLease() (term uint64, until time.Time, ok bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	ok = h.view.hasLease && h.deps.Now().Before(h.view.leaseUntil)
	return h.view.leaseTerm, h.view.leaseUntil, ok
}

// LastIndexOf returns the highest index of an entry of this kind in this
// replica's log, synced, committed or not; 0 if there is none. An entry that a
// majority has committed is in the log of at least one of any majority, so the
// highest answer of a majority is at least the highest committed one.
func (h *Host) LastIndexOf(kind uint8) uint64 {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.view.lastIndexByKind[kind]
}

// publish makes the loop's state visible at the end of a round.
func (h *Host) publishStatus() {
	c := h.core
	members := c.Members()
	term, until, leased := c.Lease()
	status := Status{
		ID: c.ID(), Term: c.Term(), Leader: c.Leader(), Role: c.Role(),
		Last: c.LastIndex(), Commit: c.CommitIndex(), Applied: c.AppliedIndex(),
		Snapshot: c.SnapshotIndex(),
		Voters:   members.Voters, Learners: members.Learners, Lost: c.ReplicasWithLostLog(),
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.view.status = status
	h.view.leaseTerm = term
	h.view.leaseUntil = h.startTime.Add(until)
	h.view.hasLease = leased
}

// publishLast makes LastIndexOf tell of the entries just synced. It must run
// before they are acknowledged to the leader: otherwise an entry could be
// committed while a majority still denies that it is there, and whoever asks a
// majority for the highest index would take an old catalogue for the latest.
func (h *Host) publishLogState() {
	voters := Voters{
		Index: h.core.LastIndexOf(replica.KindMembership), Term: h.core.LastTerm(), IDs: h.core.Members().Voters,
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.view.voters = voters
	for kind := range h.view.lastIndexByKind {
		h.view.lastIndexByKind[kind] = h.core.LastIndexOf(uint8(kind))
	}
}
