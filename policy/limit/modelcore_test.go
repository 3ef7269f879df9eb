package limit

import (
	"fmt"
	"slices"
	"time"

	"savoryreel.example/savoryreel/policy/quorum"
)

// modelCore simulates the control replicas. Their replicated log is taken to be correct: it holds tables
// that follow each other, and sets of voters that do.
type modelCore struct {
	m         *model
	replicas  []*modelReplica
	tables    []*Table
	voters    []quorum.View // Self is not set
	leader    *modelReplica // nil: none
	electAt   time.Time
	pending   *pendingChange
	updatedAt time.Time // of the replicas' calls
	nextID    uint64
}

type modelReplica struct {
	name      string
	id        uint64
	group     int
	calls     *Calls
	logged    int       // index in modelCore.tables of the last that is in its log
	table     int       // of the last that it has applied
	saved     int       // of the last that it has on disk as applied
	view      int       // index in modelCore.voters
	resumesAt time.Time // end of a pause
	joinedAt  time.Time
}

// pendingChange is a change that the leader has proposed.
type pendingChange struct {
	change   Change
	leader   *modelReplica
	commitAt time.Time
}

func newModelCore(m *model, replicas int) *modelCore {
	c := &modelCore{m: m, tables: []*Table{NewTable(0, nil)}, electAt: m.now}
	var ids []uint64
	for i := range replicas {
		c.nextID++
		c.replicas = append(c.replicas, &modelReplica{name: fmt.Sprint("c", i), id: c.nextID, calls: NewCalls(), joinedAt: m.now})
		ids = append(ids, c.nextID)
	}
	c.voters = []quorum.View{{Voters: ids}}
	return c
}

// viewOf returns a replica's view of the voters.
func (c *modelCore) viewOf(r *modelReplica) quorum.View {
	v := c.voters[r.view]
	v.Self = r.id
	return v
}

// reply returns what a replica replies to an entry.
func (c *modelCore) reply(r *modelReplica, name string) Reply {
	t := c.tables[r.table]
	return Reply{Grant: r.calls.Confirmed(t.Get(name)), Entries: r.calls.Entries(t), Applied: r.table == r.logged, View: c.viewOf(r)}
}

// reachable returns the replicas that a replica reaches, itself included.
func (c *modelCore) reachable(from *modelReplica) (list []*modelReplica) {
	for _, r := range c.replicas {
		if r.group == from.group && !c.m.now.Before(r.resumesAt) {
			list = append(list, r)
		}
	}
	return list
}

// hasMajority reports whether a replica reaches a majority of the voters.
func (c *modelCore) hasMajority(r *modelReplica) bool {
	var views []quorum.View
	for _, o := range c.reachable(r) {
		views = append(views, quorum.View{Self: o.id})
	}
	return !c.m.now.Before(r.resumesAt) && quorum.Majority(views, c.voters[len(c.voters)-1:])
}

// step has the replicas do what is due.
func (c *modelCore) step() {
	if c.m.now.Sub(c.updatedAt) >= 100*time.Millisecond {
		c.updatedAt = c.m.now
		for _, r := range c.replicas {
			r.calls.SetVoter(c.viewOf(r).IsVoter(), c.m.now)
			r.calls.Expire(c.tables[r.table], c.m.now)
		}
	}
	c.commit()
	c.elect()
	if c.leader == nil {
		return
	}
	for _, r := range c.reachable(c.leader) {
		if r == c.leader || c.m.rng.Float64() < 0.15 {
			r.logged, r.table, r.view = len(c.tables)-1, len(c.tables)-1, len(c.voters)-1
		}
		if c.m.rng.Float64() < 0.02 {
			r.saved = r.table
		}
	}
	c.replaceVoter()
	if c.pending == nil && c.m.rng.Float64() < 0.2 {
		c.plan()
	}
}

// elect replaces a leader that does not reach a majority.
func (c *modelCore) elect() {
	if c.leader != nil && c.hasMajority(c.leader) {
		return
	}
	if c.leader != nil {
		c.leader, c.electAt = nil, c.m.now.Add(time.Second)
	}
	for _, i := range c.m.rng.Perm(len(c.replicas)) {
		r := c.replicas[i]
		voter := slices.Contains(c.voters[len(c.voters)-1].Voters, r.id)
		if voter && r.logged == len(c.tables)-1 && c.hasMajority(r) && !c.m.now.Before(c.electAt) {
			c.leader = r
			return
		}
	}
}

// plan has the leader propose a change.
func (c *modelCore) plan() {
	t := c.tables[len(c.tables)-1]
	change := Plan(t, c.leader.calls, c.revoke(c.leader.calls.Gone(t, c.m.now)), c.m.now)
	if !change.IsEmpty() {
		delay := time.Duration(c.m.rng.IntN(300)) * time.Millisecond
		c.pending = &pendingChange{change: change, leader: c.leader, commitAt: c.m.now.Add(delay)}
	}
}

// revoke returns the grants that a majority promises not to confirm any more.
func (c *modelCore) revoke(grants []Grant) (revoked []Grant) {
	promises := make(map[Grant][]quorum.View)
	for _, r := range c.reachable(c.leader) {
		if r != c.leader && c.m.rng.Float64() < 0.1 {
			continue
		}
		for _, g := range r.calls.Revoke(grants, c.m.now) {
			promises[g] = append(promises[g], c.viewOf(r))
		}
	}
	for _, g := range grants {
		if quorum.Majority(promises[g], []quorum.View{c.viewOf(c.leader)}) {
			revoked = append(revoked, g)
		}
	}
	return revoked
}

// commit commits a proposed change, mostly also where its leader has been replaced meanwhile.
func (c *modelCore) commit() {
	p := c.pending
	if p == nil || c.m.now.Before(p.commitAt) {
		return
	}
	c.pending = nil
	if p.leader != c.leader && c.m.rng.Float64() < 0.3 {
		return
	}
	last := c.tables[len(c.tables)-1]
	if next, ok := last.Apply(&p.change, last.Index+1); ok && c.logAtMajority(p.leader) {
		c.tables = append(c.tables, next)
	}
}

// logAtMajority has a majority of the voters, the leader among them, and no more than that log the next
// table. It reports whether there is one.
func (c *modelCore) logAtMajority(leader *modelReplica) bool {
	var views []quorum.View
	var holders []*modelReplica
	reached := c.reachable(leader)
	c.m.rng.Shuffle(len(reached), func(i, j int) { reached[i], reached[j] = reached[j], reached[i] })
	for _, r := range append([]*modelReplica{leader}, reached...) {
		if r.logged != len(c.tables)-1 || quorum.Majority(views, c.voters[len(c.voters)-1:]) {
			continue
		}
		views, holders = append(views, quorum.View{Self: r.id}), append(holders, r)
	}
	if !quorum.Majority(views, c.voters[len(c.voters)-1:]) {
		return false
	}
	for _, r := range holders {
		r.logged = len(c.tables)
	}
	return true
}

// replaceVoter makes one change of the voters: it removes one that is gone, or adds a replica that has
// caught up.
func (c *modelCore) replaceVoter() {
	last := c.voters[len(c.voters)-1]
	next := quorum.View{Index: last.Index + 1, Voters: slices.Clone(last.Voters)}
	for _, id := range last.Voters {
		if !slices.ContainsFunc(c.replicas, func(r *modelReplica) bool { return r.id == id }) {
			next.Voters = slices.DeleteFunc(next.Voters, func(o uint64) bool { return o == id })
			c.voters = append(c.voters, next)
			return
		}
	}
	for _, r := range c.reachable(c.leader) {
		caughtUp := r.logged == len(c.tables)-1 && c.m.now.Sub(r.joinedAt) > 2*time.Second
		if !slices.Contains(last.Voters, r.id) && caughtUp {
			next.Voters = append(next.Voters, r.id)
			c.voters = append(c.voters, next)
			return
		}
	}
}

// injectFaults restarts, pauses and replaces replicas at random.
func (c *modelCore) injectFaults() {
	chance := func(perSecond float64) bool { return c.m.rng.Float64() < perSecond*modelStep.Seconds() }
	r := c.replicas[c.m.rng.IntN(len(c.replicas))]
	switch {
	case chance(0.1):
		c.restart(r)
	case chance(0.1):
		r.resumesAt = c.m.now.Add(time.Duration(c.m.rng.IntN(8000)) * time.Millisecond)
	case chance(0.1) && c.isWhole():
		c.replace(r)
	}
}

// restart restarts a replica, which applies its log up to the last commit that it has on disk.
func (c *modelCore) restart(r *modelReplica) {
	r.table = r.saved
	r.calls, r.resumesAt = NewCalls(), c.m.now.Add(time.Second)
	if c.leader == r {
		c.leader, c.electAt = nil, c.m.now.Add(time.Second)
	}
}

// isWhole reports whether all replicas are voters.
func (c *modelCore) isWhole() bool {
	last := c.voters[len(c.voters)-1].Voters
	for _, r := range c.replicas {
		if !slices.Contains(last, r.id) {
			return false
		}
	}
	return len(last) == len(c.replicas)
}

// replace loses a replica with its disk, and starts another in its place.
func (c *modelCore) replace(r *modelReplica) {
	c.restart(r)
	c.nextID++
	r.id, r.logged, r.table, r.saved, r.view, r.joinedAt = c.nextID, 0, 0, 0, 0, c.m.now
}
