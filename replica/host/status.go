package host

import (
	"time"

	"savoryreel.example/savoryreel/replica"
)

// Status is a replica's state at one moment. Its slices must not be changed.
type Status struct {
	ID       uint64
	Term     uint64
	Leader   uint64 // 0: unknown
	Role     replica.Role
	Last     uint64 // index of the last synced entry
	Commit   uint64
	Applied  uint64
	Snapshot uint64 // index of the latest snapshot
	Voters   []uint64
	Learners []uint64
	Lost     []uint64 // at the leader: replicas that lost their disk and restarted under the same ID
}

// view is the part of the loop's state that other goroutines may read.
type view struct {
	status          Status
	leaseTerm       uint64 // of the lease
	leaseUntil      time.Time
	hasLease        bool
	lastIndexByKind [256]uint64
	voters          Voters
}

// Voters is the latest set of voters in a replica's log.
type Voters struct {
	Index uint64 // of the membership entry; 0 for the initial membership
	Term  uint64 // of the last entry of the log
	IDs   []uint64
}

// Voters returns the latest set of voters in this replica's log, committed or not.
// Like LastIndexOf it includes a change before this replica acknowledges it.
// Therefore, once the set that follows a set S is committed, at least one replica of
// any majority of S returns it.
func (h *Host) Voters() Voters {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.view.voters
}

// Status returns the replica's state after the loop's last round.
func (h *Host) Status() Status {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.view.status
}

// HoldsLease reports whether this replica is the leader and no other replica can
// become leader before until, on this process's monotonic clock. Call it right
// before the action that needs the lease; the caller must ensure that the action
// ends before until.
func (h *Host) HoldsLease() (term uint64, until time.Time, ok bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	ok = h.view.hasLease && h.deps.Now().Before(h.view.leaseUntil)
	return h.view.leaseTerm, h.view.leaseUntil, ok
}

// LastIndexOf returns the highest index of a synced entry of this kind in this
// replica's log, committed or not; 0 if there is none. A committed entry is in the
// log of at least one replica of any majority, so the highest result of a majority
// is at least the index of the last committed entry of the kind.
func (h *Host) LastIndexOf(kind uint8) uint64 {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.view.lastIndexByKind[kind]
}

// publishStatus updates Status and HoldsLease at the end of a round.
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

// publishLogState updates LastIndexOf and Voters after entries were synced. It must
// run before the entries are acknowledged to the leader. Otherwise an entry could be
// committed while a majority still returns a lower index, and a caller that queries
// a majority would take an old catalogue for the latest.
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
