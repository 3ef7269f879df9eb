package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"savoryreel.example/savoryreel/instance"
)

// sender identifies the member that sent a message.
type sender struct {
	ID      string
	Address string
}

// outgoing is a message that the caller of the core has to send.
type outgoing struct {
	To      string // link address
	ID      string // member id of the receiver; empty if unknown
	Message []byte
	Urgent  bool
}

// core is the state machine of one member. Every method takes the current time and
// leaves messages in out and changed records in changed; Node collects them. It is
// not safe for concurrent use.
type core struct {
	cfg        Config
	rng        *rand.Rand
	self       *record
	selfMember instance.Member

	records          map[uint64]*record
	byID             map[recordKey]*record
	serversByAddress map[string]*record // backend servers that are neither left nor gone, by address

	topology      topology
	topologyDirty bool
	reporterCount int                  // instances of this region that report load, as of the last scan
	outboxes      map[string]*outbox   // by member id
	pushDeadlines map[string]time.Time // by member id: when its next push is overdue
	probes        map[string]*probe
	relayedProbes map[uint32]relayedProbe // by the nonce of the relayed ping
	nonce         uint32
	joined        bool
	lastTick      time.Time
	nextScan      time.Time
	nextDigest    time.Time
	nextJoin      time.Time
	digestTargets map[string]bool // link addresses to compare digests with at the next tick
	nextPush      time.Time
	nextLoad      time.Time
	digestRounds  int
	budgetBytes   float64 // bandwidth token bucket; negative after urgent pushes

	compressor compressor
	out        []outgoing
	changed    map[uint64]*record
	sent       sentTotals
}

type recordKey struct {
	kind recordKind
	id   string
}

// sentTotals counts what this core has sent, before framing.
type sentTotals struct {
	Messages uint64
	Bytes    uint64
}

func newCore(cfg Config, rng *rand.Rand, now time.Time) (*core, error) {
	c := &core{
		cfg:              cfg,
		rng:              rng,
		selfMember:       cfg.Self,
		records:          make(map[uint64]*record),
		byID:             make(map[recordKey]*record),
		serversByAddress: make(map[string]*record),
		outboxes:         make(map[string]*outbox),
		pushDeadlines:    make(map[string]time.Time),
		probes:           make(map[string]*probe),
		relayedProbes:    make(map[uint32]relayedProbe),
		changed:          make(map[uint64]*record),
		digestTargets:    make(map[string]bool),
		lastTick:         now,
		budgetBytes:      cfg.BudgetBurstBytes,
	}
	c.nextDigest = now.Add(c.jittered(cfg.AntiEntropyInterval))
	body, err := encode(memberBody{
		Role: cfg.Self.Role, Region: cfg.Self.Region, Zone: cfg.Self.Zone,
		Caller: cfg.Self.CallerAddress, Link: cfg.Self.LinkAddress,
	})
	if err != nil {
		return nil, err
	}
	c.self = newRecord(recordMember, cfg.Self.ID, cfg.Self.Incarnation)
	if err := c.self.setBody(1, body); err != nil {
		return nil, err
	}
	c.self.status.Seq = 1
	c.self.load = quantizeMemberLoad(1, c.selfMember)
	c.self.load.Ref = c.self.ref
	c.insert(c.self, now)
	c.rebuildTopology(now)
	c.nextJoin = now
	return c, nil
}

// jittered returns d varied by up to a quarter, so that members don't synchronise.
func (c *core) jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + 0.5*c.rng.Float64()))
}

func (c *core) lookup(k recordKind, id string) *record { return c.byID[recordKey{k, id}] }

// insert adds r as the current record of its id.
func (c *core) insert(r *record, now time.Time) {
	c.records[r.ref] = r
	c.byID[recordKey{r.kind, r.id}] = r
	c.updateDerived(r, now)
}

func (c *core) remove(r *record) {
	delete(c.records, r.ref)
	if c.byID[recordKey{r.kind, r.id}] == r {
		delete(c.byID, recordKey{r.kind, r.id})
	}
	if r.server != nil && c.serversByAddress[r.server.Address] == r {
		delete(c.serversByAddress, r.server.Address)
	}
	for _, b := range c.outboxes {
		delete(b.refs, r.ref)
	}
}

// updateDerived updates the state derived from r after r has changed, and marks r as
// changed.
func (c *core) updateDerived(r *record, now time.Time) {
	c.changed[r.ref] = r
	switch r.kind {
	case recordMember:
		c.topologyDirty = true
		trackSince(&r.suspectedAt, r.suspected(), now)
		trackSince(&r.goneAt, r.markedGone(), now)
	case recordServer:
		c.resolveAddressConflict(r)
	}
}

// trackSince sets at to the time since which a condition holds, zero if it doesn't.
func trackSince(at *time.Time, holds bool, now time.Time) {
	switch {
	case !holds:
		*at = time.Time{}
	case at.IsZero():
		*at = now
	}
}

// resolveAddressConflict keeps one live backend server at each address and marks the
// other left. A replaced machine keeps its address and gets a new id or incarnation;
// with both records live, requests meant for the old process would reach the new
// one. The choice depends on the two records alone, so all replicas agree.
func (c *core) resolveAddressConflict(r *record) {
	other := c.serversByAddress[r.server.Address]
	if r.left() || r.markedGone() {
		if other == r {
			delete(c.serversByAddress, r.server.Address)
		}
		return
	}
	if other == nil || other == r || c.records[other.ref] != other || other.server.Address != r.server.Address {
		c.serversByAddress[r.server.Address] = r
		return
	}
	winner, loser := r, other
	if other.inc > r.inc || (other.inc == r.inc && other.id > r.id) {
		winner, loser = other, r
	}
	c.serversByAddress[r.server.Address] = winner
	loser.mergeStatus(statusDelta{Flags: flagLeaving | flagLeft})
	c.changed[loser.ref] = loser
}

// applyFull applies a full delta. It returns the current record, or nil if the delta
// was rejected, and what has changed.
func (c *core) applyFull(f fullDelta, now time.Time) (*record, change) {
	r := c.lookup(f.Kind, f.ID)
	if r != nil && r.inc > f.Inc {
		return r, 0
	}
	if r == nil || r.inc < f.Inc {
		return c.applyNew(f, r, now)
	}
	if r == c.self && c.fromEarlierProcess(f.Status) {
		c.raiseIncarnation(f.Inc, now)
		return c.self, 0
	}
	ch := c.mergeFull(r, f)
	if ch&(changedBody|changedStatus) != 0 {
		c.updateDerived(r, now)
		c.refute(r, now)
	} else if ch != 0 {
		c.changed[r.ref] = r
	}
	return r, ch
}

// applyNew applies a full delta of a new id or incarnation. A record of an unknown id
// that is already gone is rejected: otherwise members would keep returning it to
// each other after it has expired.
func (c *core) applyNew(f fullDelta, old *record, now time.Time) (*record, change) {
	r := recordOf(f)
	if r == nil || old == nil && (r.left() || r.markedGone()) {
		return nil, 0
	}
	if f.Kind == recordMember && f.ID == c.self.id {
		c.raiseIncarnation(f.Inc, now)
		return c.self, 0
	}
	c.replace(old, r, now)
	return r, changedBody | changedStatus
}

// replace replaces old, an earlier incarnation or nil, by r.
func (c *core) replace(old, r *record, now time.Time) {
	if old != nil {
		r.published = old.published
		c.remove(old)
	}
	c.insert(r, now)
}

// mergeFull merges a full delta of the same incarnation.
func (c *core) mergeFull(r *record, f fullDelta) change {
	if r.kind == recordShared {
		return c.mergeShared(r, f.BodySeq, f.Body)
	}
	ch, err := r.mergeBody(f.BodySeq, f.Body)
	if err != nil {
		return 0
	}
	return ch | r.mergeStatus(f.Status) | r.mergeLoad(f.Load)
}

func (c *core) mergeShared(r *record, version uint64, body []byte) change {
	if c.cfg.Merge == nil {
		// The body of a shared record isn't decoded: setBody can't fail.
		ch, _ := r.mergeBody(version, body)
		return ch
	}
	merged := c.cfg.Merge(r.id, r.body, body)
	if version <= r.bodySeq && slices.Equal(merged, r.body) {
		return 0
	}
	r.bodySeq, r.body = max(r.bodySeq, version), slices.Clone(merged)
	return changedBody
}

// announce applies an announcement that a backend server sent to this member.
func (c *core) announce(a instance.Announcement, now time.Time) error {
	body, err := encode(serverBody{
		Address: a.Address, Region: a.Region, Zone: a.Zone, Class: a.Class,
		Model: a.Model, Version: a.Version, Role: a.Role,
		Adapters: a.Adapters, Services: a.Services,
		Slots: a.Slots, ChecksFences: a.ChecksFences,
	})
	if err != nil {
		return err
	}
	if size := len(a.ID) + len(body); size > MaxSharedBytes {
		return trace.LimitExceeded("announcement of %d bytes exceeds %d bytes", size, MaxSharedBytes)
	}
	r := c.lookup(recordServer, a.ID)
	if r != nil && (r.inc > a.Incarnation || (r.inc == a.Incarnation && r.announcedSeq >= a.Sequence)) {
		return nil
	}
	status := statusDelta{Flags: flagsOf(a.State), Notice: uint32(max(0, a.LeavingIn))}
	if r == nil || r.inc < a.Incarnation {
		r, err = c.newServer(a, body, status, r, now)
		if err != nil {
			return err
		}
	} else {
		c.applyAnnouncement(r, a, body, status, now)
	}
	r.announcedSeq, r.announcedAt = a.Sequence, now
	c.reportLoad(r, a, now)
	return nil
}

func flagsOf(s instance.State) uint8 {
	switch s {
	case instance.StateLeaving:
		return flagLeaving
	case instance.StateGone:
		return flagLeaving | flagLeft
	default:
		return 0
	}
}

func (c *core) newServer(a instance.Announcement, body []byte, status statusDelta, old *record, now time.Time) (*record, error) {
	r := newRecord(recordServer, a.ID, a.Incarnation)
	if err := r.setBody(a.Sequence, body); err != nil {
		return nil, err
	}
	status.Seq, status.HomeSeq, status.Home = a.Sequence, a.Sequence, homeRef(c.self.id)
	r.mergeStatus(status)
	r.homeChangedAt = now
	c.replace(old, r, now)
	c.disseminate(r, changedBody|changedStatus, "")
	return r, nil
}

// applyAnnouncement merges an announcement and disseminates what it changes. The
// sequence of a plain heartbeat is not disseminated: see the package comment.
func (c *core) applyAnnouncement(r *record, a instance.Announcement, body []byte, status statusDelta, now time.Time) {
	var ch change
	if !slices.Equal(body, r.body) {
		bodyChange, err := r.mergeBody(a.Sequence, body)
		if err == nil {
			ch |= bodyChange
		}
	}
	if c.shouldBecomeHome(r, now) {
		status.HomeSeq, status.Home = a.Sequence, homeRef(c.self.id)
		r.homeChangedAt = now
	}
	hasChanged := status.Home != 0 || ch != 0 || status.Flags&^r.status.Flags != 0
	if hasChanged || (r.markedGone() && a.Sequence > r.status.Gone) {
		status.Seq = a.Sequence
	}
	ch |= r.mergeStatus(status)
	if ch != 0 {
		c.updateDerived(r, now)
		c.disseminate(r, ch, "")
	}
}

// shouldBecomeHome reports whether this member should replace another one as home of
// a server. A server that alternates between entries would otherwise cause a change
// per heartbeat, so the home changes at most once per two thirds of ServerTimeout.
// That lets a new home take over before the old one marks the server gone.
func (c *core) shouldBecomeHome(r *record, now time.Time) bool {
	return r.status.Home != homeRef(c.self.id) && now.Sub(r.homeChangedAt) >= c.cfg.ServerTimeout*2/3
}

func (c *core) reportLoad(r *record, a instance.Announcement, now time.Time) {
	next := quantizeLoad(a.Sequence, a.Load)
	next.Ref = r.ref
	r.exactLoad = a.Load
	c.changed[r.ref] = r
	if now.Sub(r.loadSentAt) < c.loadInterval() || !loadChanged(r.load, next, a.Slots) {
		return
	}
	r.loadSentAt = now
	if ch := r.mergeLoad(next); ch != 0 {
		c.disseminate(r, ch, "")
	}
}

// loadInterval returns the interval of load reports of one instance. It grows with
// the number of instances of the region, to stay under LoadReportsPerSecond.
func (c *core) loadInterval() time.Duration {
	paced := time.Duration(float64(c.reporterCount) / c.cfg.LoadReportsPerSecond * float64(time.Second))
	return max(c.cfg.MinLoadInterval, paced)
}

// setSelf sets this member's state, load and catalogue version to those of m.
func (c *core) setSelf(m instance.Member, now time.Time) {
	c.selfMember.State, c.selfMember.Load, c.selfMember.Catalogue = m.State, m.Load, m.Catalogue
	status := statusDelta{Flags: flagsOf(m.State)}
	if status.Flags&^c.self.status.Flags != 0 {
		status.Seq = c.self.status.Seq + 1
	}
	if ch := c.self.mergeStatus(status); ch != 0 {
		c.updateDerived(c.self, now)
		c.disseminate(c.self, ch, "")
	}
	c.reportSelf(now)
}

func (c *core) reportSelf(now time.Time) {
	next := quantizeMemberLoad(c.self.load.Seq+1, c.selfMember)
	if now.Sub(c.self.loadSentAt) < c.loadInterval() || !memberLoadChanged(c.self.load, next) {
		return
	}
	catalogueChanged := next.Catalogue != c.self.load.Catalogue
	c.self.loadSentAt = now
	ch := c.self.mergeLoad(next)
	c.changed[c.self.ref] = c.self
	c.disseminate(c.self, ch, "")
	if catalogueChanged {
		c.disseminateLoadGlobally(c.self, "")
	}
}

// put applies and disseminates a shared record of this process.
func (c *core) put(key string, version uint64, body []byte, now time.Time) {
	r, ch := c.applyFull(fullDelta{Kind: recordShared, ID: key, BodySeq: version, Body: body}, now)
	if ch != 0 {
		c.disseminate(r, ch, "")
	}
}

// refute raises this member's sequence if it is suspected or marked gone, as after a
// freeze or a partition. The higher sequence overrides the claim at every member.
func (c *core) refute(r *record, now time.Time) {
	if r != c.self || r.left() || !(r.markedGone() || r.suspected()) {
		return
	}
	r.mergeStatus(statusDelta{Seq: max(r.status.Gone, r.status.Suspect) + 1})
	c.updateDerived(r, now)
	c.disseminate(r, changedStatus, "")
}

// fromEarlierProcess reports whether a status of this member was disseminated by an
// earlier process with the same incarnation. This process alone raises its sequence
// and sets its flags, so a status ahead of its own can't be its own.
func (c *core) fromEarlierProcess(d statusDelta) bool {
	return d.Seq > c.self.status.Seq || d.Flags&^c.self.status.Flags != 0
}

// raiseIncarnation raises this member's incarnation above inc, that of an earlier
// process whose clock was ahead. Otherwise the earlier record would replace this one.
func (c *core) raiseIncarnation(inc uint64, now time.Time) {
	old := c.self
	r := newRecord(recordMember, old.id, inc+1)
	r.bodySeq, r.body, r.member = old.bodySeq, old.body, old.member
	r.status.Seq, r.status.Flags = 1, old.status.Flags
	r.load = old.load
	r.load.Ref = r.ref
	c.self, c.selfMember.Incarnation = r, inc+1
	c.replace(old, r, now)
	c.disseminate(r, changedBody|changedStatus, "")
}
