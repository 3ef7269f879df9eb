package limit

import (
	"fmt"
	"time"
)

// ShareVotes is what the control replicas say of this entry's share of every limit: how
// many entries there may be that use one, and whether this one may.
//
// An entry that took its share by the word of a few replicas might be one of those that
// are cut off with them, while the others have given its share to the rest. So most
// replicas must have said it, and not too long ago: they count an entry for
// ShareTTL after its last call.
type ShareVotes struct {
	start     time.Time            // of this life
	returned  map[string]bool      // entries that have given back what the life before lent
	freeSince time.Time            // since when nobody uses what that life lent, once it is settled
	words     map[string]heardWord // by replica
	counted   int                  // entries that share, as the replicas say
	divisor   int                  // entries that share, as last taken; 0: this one has no share
	changedAt time.Time            // when divisor was taken
	told      int                  // the smallest divisor that may still be in use
}

// heardWord is one replica's last word.
type heardWord struct {
	ShareVote
	replicas int       // that it knows
	at       time.Time // when it was asked
}

// shareFor is how long a replica's word counts: shorter than it counts this entry, by more
// than a lease and a call take.
const shareFor = ShareTTL - 10*time.Second

// NewShareVotes returns ShareVotes of no replica, for an entry that starts.
func NewShareVotes(start time.Time) *ShareVotes {
	return &ShareVotes{start: start, freeSince: start, returned: make(map[string]bool), words: make(map[string]heardWord)}
}

// Record takes a replica's answer to a call that was made at a time. replicas is how many it
// knows, itself among them.
func (w *ShareVotes) Record(replica string, word ShareVote, replicas int, asked time.Time) {
	w.words[replica] = heardWord{ShareVote: word, replicas: replicas, at: asked}
}

// answersFor is for how long an entry that starts waits for the others' answers beyond the
// end of all leases. With all of them it has what its share has brought since the start.
const answersFor = 200 * time.Millisecond

// RecordReturn takes that an entry, which started so long ago, has given back what the life
// before this one had lent it, if it held anything. Its own life before may have held it
// until it ended.
func (w *ShareVotes) RecordReturn(entry string, held bool, up time.Duration, now time.Time) {
	free := now.Add(-up)
	if held {
		free = now
	}
	if !w.returned[entry] && free.After(w.freeSince) {
		w.freeSince = free
	}
	w.returned[entry] = true
}

// HasReturned reports whether an entry has given back what the life before this one had lent
// it.
func (w *ShareVotes) HasReturned(entry string) bool { return w.returned[entry] }

// Settled reports whether the share that the life before this one may have lent in its last
// moment is back: all others have said so, or the lease has run out.
func (w *ShareVotes) Settled(now time.Time) bool {
	if w.counted > 0 && len(w.returned) >= w.counted-1 {
		return true
	}
	end := w.start.Add(LeaseDuration(w.counted) + lendSlack)
	if now.Before(end.Add(answersFor)) {
		return false
	}
	if w.freeSince.Before(end) {
		w.freeSince = end
	}
	return true
}

// UnusedSince is since when nobody has used this entry's share, when it gets one first.
func (w *ShareVotes) UnusedSince() time.Time { return w.freeSince }

// Share returns this entry's share of every limit.
func (w *ShareVotes) Share(now time.Time) float64 {
	allowed, replicas, entries := 0, 0, 0
	for replica, said := range w.words {
		if now.Sub(said.at) > shareFor {
			delete(w.words, replica)
			continue
		}
		replicas = max(replicas, said.replicas)
		entries = max(entries, said.Entries)
		if said.Allowed {
			allowed++
		}
	}
	w.counted = entries
	if 2*allowed <= replicas || !w.Settled(now) {
		entries = 0
	}
	w.use(entries, now)
	if entries == 0 {
		return 0
	}
	return 1 / float64(entries)
}

// use takes a divisor into use. A larger share that was lent under the one before may be
// in use until the lease runs out.
func (w *ShareVotes) use(divisor int, now time.Time) {
	if divisor != w.divisor {
		w.divisor, w.changedAt = divisor, now
	}
	grew := divisor > 0 && (w.told == 0 || divisor < w.told)
	if grew || now.Sub(w.changedAt) > LeaseDuration(max(divisor, w.told)) {
		w.told = divisor
	}
}

// DivisorInUse returns the divisor of the largest share of this entry that may be in use, or of
// the one that would be; 0 if no replica has said.
func (w *ShareVotes) DivisorInUse() int {
	if w.told > 0 {
		return w.told
	}
	return w.counted
}

// String tells for a log what the share is taken from.
func (w *ShareVotes) String() string {
	allowed, replicas := 0, 0
	for _, said := range w.words {
		replicas = max(replicas, said.replicas)
		if said.Allowed {
			allowed++
		}
	}
	return fmt.Sprintf("allowed by %d of %d replicas, %d entries, %d gave shares back", allowed, replicas, w.counted, len(w.returned))
}
