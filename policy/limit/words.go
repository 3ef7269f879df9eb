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
	start        time.Time               // of this life
	returned     map[string]bool         // entries that have given back what the life before lent
	unusedSince  time.Time               // since when nobody uses what that life lent, once it is settled
	votes        map[string]receivedVote // by replica
	entryCount   int                     // entries that share, as the replicas say
	divisor      int                     // entries that share, as last taken; 0: this one has no share
	divisorSince time.Time               // when divisor was taken
	divisorInUse int                     // the smallest divisor that may still be in use
}

// receivedVote is one replica's last word.
type receivedVote struct {
	ShareVote
	replicas    int       // that it knows
	requestedAt time.Time // when it was asked
}

// voteTTL is how long a replica's word counts: shorter than it counts this entry, by more
// than a lease and a call take.
const voteTTL = ShareTTL - 10*time.Second

// NewShareVotes returns ShareVotes of no replica, for an entry that starts.
func NewShareVotes(start time.Time) *ShareVotes {
	return &ShareVotes{start: start, unusedSince: start, returned: make(map[string]bool), votes: make(map[string]receivedVote)}
}

// Record takes a replica's answer to a call that was made at a time. replicas is how many it
// knows, itself among them.
func (v *ShareVotes) Record(replica string, vote ShareVote, replicas int, requestedAt time.Time) {
	v.votes[replica] = receivedVote{ShareVote: vote, replicas: replicas, requestedAt: requestedAt}
}

// returnTimeout is for how long an entry that starts waits for the others' answers beyond the
// end of all leases. With all of them it has what its share has brought since the start.
const returnTimeout = 200 * time.Millisecond

// RecordReturn takes that an entry, which started so long ago, has given back what the life
// before this one had lent it, if it held anything. Its own life before may have held it
// until it ended.
func (v *ShareVotes) RecordReturn(entry string, held bool, uptime time.Duration, now time.Time) {
	unusedSince := now.Add(-uptime)
	if held {
		unusedSince = now
	}
	if !v.returned[entry] && unusedSince.After(v.unusedSince) {
		v.unusedSince = unusedSince
	}
	v.returned[entry] = true
}

// HasReturned reports whether an entry has given back what the life before this one had lent
// it.
func (v *ShareVotes) HasReturned(entry string) bool { return v.returned[entry] }

// ShareRecovered reports whether the share that the life before this one may have lent in its last
// moment is back: all others have said so, or the lease has run out.
func (v *ShareVotes) ShareRecovered(now time.Time) bool {
	if v.entryCount > 0 && len(v.returned) >= v.entryCount-1 {
		return true
	}
	leaseEnd := v.start.Add(LeaseDuration(v.entryCount) + leaseMargin)
	if now.Before(leaseEnd.Add(returnTimeout)) {
		return false
	}
	if v.unusedSince.Before(leaseEnd) {
		v.unusedSince = leaseEnd
	}
	return true
}

// UnusedSince is since when nobody has used this entry's share, when it gets one first.
func (v *ShareVotes) UnusedSince() time.Time { return v.unusedSince }

// Share returns this entry's share of every limit.
func (v *ShareVotes) Share(now time.Time) float64 {
	allowed, replicas, entries := 0, 0, 0
	for replica, vote := range v.votes {
		if now.Sub(vote.requestedAt) > voteTTL {
			delete(v.votes, replica)
			continue
		}
		replicas = max(replicas, vote.replicas)
		entries = max(entries, vote.Entries)
		if vote.Allowed {
			allowed++
		}
	}
	v.entryCount = entries
	if 2*allowed <= replicas || !v.ShareRecovered(now) {
		entries = 0
	}
	v.setDivisor(entries, now)
	if entries == 0 {
		return 0
	}
	return 1 / float64(entries)
}

// setDivisor takes a divisor into setDivisor. A larger share that was lent under the one before may be
// in setDivisor until the lease runs out.
func (v *ShareVotes) setDivisor(divisor int, now time.Time) {
	if divisor != v.divisor {
		v.divisor, v.divisorSince = divisor, now
	}
	shareGrew := divisor > 0 && (v.divisorInUse == 0 || divisor < v.divisorInUse)
	if shareGrew || now.Sub(v.divisorSince) > LeaseDuration(max(divisor, v.divisorInUse)) {
		v.divisorInUse = divisor
	}
}

// DivisorInUse returns the divisor of the largest share of this entry that may be in use, or of
// the one that would be; 0 if no replica has said.
func (v *ShareVotes) DivisorInUse() int {
	if v.divisorInUse > 0 {
		return v.divisorInUse
	}
	return v.entryCount
}

// String tells for a log what the share is taken from.
func (v *ShareVotes) String() string {
	allowed, replicas := 0, 0
	for _, vote := range v.votes {
		replicas = max(replicas, vote.replicas)
		if vote.Allowed {
			allowed++
		}
	}
	return fmt.Sprintf("allowed by %d of %d replicas, %d entries, %d gave shares back", allowed, replicas, v.entryCount, len(v.returned))
}
