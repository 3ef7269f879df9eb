package limit

import (
	"fmt"
	"time"

	"savoryreel.example/savoryreel/policy/quorum"
)

// Reply is what a control replica replies to an entry on its share.
type Reply struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Grant   Grant `msgpack:"grant"` // of the entry, unless the replica does not confirm it
	Entries int   `msgpack:"n"`     // number of entries that have or want a share
	// Applied reports that the replica has applied all changes of grants in its log.
	Applied bool        `msgpack:"applied"`
	View    quorum.View `msgpack:"view"` // read after Grant
}

// Holder is this entry's share of every limit.
//
// The share may be used while a majority of the voters has confirmed a grant lately. An entry with fewer
// may be partitioned together with them, while the others divide its share: a voter that takes an entry
// for gone promises not to confirm its grant, and with the promises of a majority the grant is removed.
//
// An entry that has just started takes over the grant of its earlier incarnation. It may be an old one by
// the reply of a replica that lags; a committed change is in the log of at least one voter of any majority,
// so that the latest is among the replies of a majority that has applied all of its logs.
type Holder struct {
	incarnation uint64
	start       time.Time       // of this incarnation
	returned    map[string]bool // entries that have returned the previous incarnation's share
	unusedSince time.Time       // final once ShareRecovered returns true
	replies     map[string]receivedReply
	confirming  map[string]receivedReply // the last of each replica that confirmed a grant
	held        Grant                    // the latest that was received; zero: none
	current     bool                     // held was the latest when a majority replied
	entryCount  int                      // entries that have or want a share, by the replies
	stopsAt     time.Time                // when this entry gave its share up; zero: it has not

	divisor      int       // the share is 1/divisor; 0: no share
	divisorSince time.Time // when divisor last changed
	divisorInUse int       // the smallest divisor that may still be in use
}

// receivedReply is a replica's reply.
type receivedReply struct {
	Reply
	requestedAt time.Time // start of the call
}

// replyTTL is how long a replica's reply confirms a grant. It is shorter than ShareTTL by more than a
// lease and a call take, so that an entry stops using its share before others get it.
const replyTTL = ShareTTL - 10*time.Second

// NewHolder returns a Holder without a share, for an incarnation of an entry that starts at start.
func NewHolder(incarnation uint64, start time.Time) *Holder {
	return &Holder{
		incarnation: incarnation, start: start, unusedSince: start, returned: make(map[string]bool),
		replies: make(map[string]receivedReply), confirming: make(map[string]receivedReply),
	}
}

// Record stores a replica's reply to a call made at requestedAt.
func (h *Holder) Record(replica string, r Reply, requestedAt time.Time) {
	received := receivedReply{Reply: r, requestedAt: requestedAt}
	h.replies[replica] = received
	if r.Grant.Index > 0 {
		h.confirming[replica] = received
	}
	if r.Grant.Index > h.held.Index {
		h.held = r.Grant
	}
}

// returnTimeout is how long a restarted entry waits, after the end of all leases, for the
// remaining entries to return its share. Once all have answered, the share's tokens count
// from an earlier time.
const returnTimeout = 200 * time.Millisecond

// RecordReturn records that an entry, running for uptime, has returned the share that this
// entry's previous incarnation had lent it; held says whether it had one. The entry's own
// previous incarnation may have used the share until that entry started.
func (h *Holder) RecordReturn(entry string, held bool, uptime time.Duration, now time.Time) {
	unusedSince := now.Add(-uptime)
	if held {
		unusedSince = now
	}
	if !h.returned[entry] && unusedSince.After(h.unusedSince) {
		h.unusedSince = unusedSince
	}
	h.returned[entry] = true
}

// HasReturned reports whether an entry has returned the share lent by this entry's previous
// incarnation.
func (h *Holder) HasReturned(entry string) bool { return h.returned[entry] }

// ReturnsNeeded reports whether other entries have to be asked for the share that the previous
// incarnation may have lent. It is false until a grant shows whether there was one: when
// hundreds of entries start for the first time, none has to ask the others.
func (h *Holder) ReturnsNeeded(now time.Time) bool { return h.held.Index > 0 && !h.ShareRecovered(now) }

// ShareRecovered reports whether the share that the previous incarnation may have lent is
// back: there was none, all other entries have returned it, or the lease has expired.
func (h *Holder) ShareRecovered(now time.Time) bool {
	if h.held.Index > 0 && h.held.First == h.incarnation {
		return true
	}
	if h.entryCount > 0 && len(h.returned) >= h.entryCount-1 {
		return true
	}
	leaseEnd := h.start.Add(LeaseDuration(h.entryCount) + leaseMargin)
	if now.Before(leaseEnd.Add(returnTimeout)) {
		return false
	}
	if h.unusedSince.Before(leaseEnd) {
		h.unusedSince = leaseEnd
	}
	return true
}

// UnusedSince returns the time since which nobody has used this entry's share. It is final
// once ShareRecovered returns true.
func (h *Holder) UnusedSince() time.Time { return h.unusedSince }

// Share returns this entry's share of every limit, or 0 while it may use none.
func (h *Holder) Share(now time.Time) float64 {
	h.dropOldReplies(now)
	confirmed := h.isConfirmed(now)
	h.current = confirmed && (h.current || h.hasLatest())
	divisor := 0
	if h.current && h.stopsAt.IsZero() && h.ShareRecovered(now) {
		divisor = h.held.Divisor
	}
	h.setDivisor(divisor, now)
	if divisor == 0 {
		return 0
	}
	return 1 / float64(divisor)
}

// dropOldReplies drops replies that confirm nothing any more. Without any, the grant that is held may have
// been removed.
func (h *Holder) dropOldReplies(now time.Time) {
	h.entryCount = 0
	for replica, r := range h.replies {
		if now.Sub(r.requestedAt) > replyTTL {
			delete(h.replies, replica)
			continue
		}
		h.entryCount = max(h.entryCount, r.Entries)
	}
	for replica, r := range h.confirming {
		if now.Sub(r.requestedAt) > replyTTL {
			delete(h.confirming, replica)
		}
	}
	if len(h.confirming) == 0 {
		h.held = Grant{}
	}
}

// views returns the views of the replicas that have replied lately.
func (h *Holder) views() (views []quorum.View) {
	for _, r := range h.replies {
		views = append(views, r.View)
	}
	return views
}

// isConfirmed reports whether a majority of the voters has confirmed a grant lately.
func (h *Holder) isConfirmed(now time.Time) bool {
	var confirming []quorum.Reply
	for _, r := range h.confirming {
		confirming = append(confirming, quorum.Reply{View: r.View, At: r.requestedAt})
	}
	return now.Sub(quorum.ConfirmedAt(confirming, h.views())) <= replyTTL
}

// hasLatest reports whether the latest grant is known: a majority of the voters has applied its logs.
func (h *Holder) hasLatest() bool {
	var applied []quorum.View
	for _, r := range h.replies {
		if r.Applied {
			applied = append(applied, r.View)
		}
	}
	return quorum.Majority(applied, h.views())
}

// setDivisor sets the divisor of this entry's share. A larger share that was lent under the
// previous divisor may be in use until its lease expires, so divisorInUse grows only then.
func (h *Holder) setDivisor(divisor int, now time.Time) {
	if divisor != h.divisor {
		h.divisor, h.divisorSince = divisor, now
	}
	shareGrew := divisor > 0 && (h.divisorInUse == 0 || divisor < h.divisorInUse)
	if shareGrew || now.Sub(h.divisorSince) > LeaseDuration(max(divisor, h.divisorInUse)) {
		h.divisorInUse = divisor
	}
}

// GiveUp ends the use of the share, since this entry stops. Leases that it has granted expire by themselves.
func (h *Holder) GiveUp(now time.Time) {
	if h.stopsAt.IsZero() {
		h.stopsAt = now
	}
}

// Report returns what this entry reports to the control replicas.
func (h *Holder) Report(now time.Time) Report {
	r := Report{Held: h.held.Index, Divisor: h.held.Divisor}
	if h.current {
		r.Index = h.held.Index
	}
	if !h.ShareRecovered(now) {
		r.Divisor = h.held.Reserved // the previous incarnation may have lent as much
	}
	if h.divisorInUse > 0 {
		r.Divisor = min(r.Divisor, h.divisorInUse)
	}
	if !h.stopsAt.IsZero() {
		leaseEnd := h.stopsAt.Add(LeaseDuration(max(h.entryCount, h.divisorInUse)) + leaseMargin)
		r.Ends = max(leaseEnd.Sub(now), time.Millisecond)
	}
	return r
}

// EntryCount returns the number of entries that have or want a share.
func (h *Holder) EntryCount() int { return h.entryCount }

// HasGrant reports whether this entry knows its latest grant, which it may not use yet.
func (h *Holder) HasGrant() bool { return h.current }

// String returns what the share is based on in short, for logs.
func (h *Holder) String() string {
	voters, confirming := 0, 0
	for _, r := range h.replies {
		voters = max(voters, len(r.View.Voters))
	}
	for _, r := range h.confirming {
		if r.View.IsVoter() {
			confirming++
		}
	}
	return fmt.Sprintf("granted 1/%d at index %d, confirmed by %d of %d voters, %d entries, %d gave shares back",
		h.held.Divisor, h.held.Index, confirming, voters, h.entryCount, len(h.returned))
}
