package limit

import (
	"fmt"
	"time"
)

// ShareVotes collects the control replicas' votes on this entry's share of every limit:
// the number of entries that may use a share, and whether this one may.
//
// A share requires the recent votes of a majority of the replicas. An entry with fewer
// may be partitioned together with them, while the others divide its share among the
// remaining entries. Replicas count an entry for ShareTTL after its last call.
type ShareVotes struct {
	start        time.Time               // of this incarnation
	returned     map[string]bool         // entries that have returned the previous incarnation's share
	unusedSince  time.Time               // final once ShareRecovered returns true
	votes        map[string]receivedVote // by replica
	counted      bool                    // a majority of the replicas has voted or abstained
	first        bool                    // there was no previous incarnation that could have lent the share
	entryCount   int                     // entries that may use a share, by the votes
	divisor      int                     // the share is 1/divisor; 0: no share
	divisorSince time.Time               // when divisor last changed
	divisorInUse int                     // the smallest divisor that may still be in use
}

// receivedVote is one replica's latest vote.
type receivedVote struct {
	ShareVote
	replicas    int       // number of control replicas
	requestedAt time.Time // start of the call that returned the vote
}

// voteTTL is how long a replica's vote is valid. It is shorter than ShareTTL by more than a
// lease and a call take, so that an entry stops using its share before others get it.
const voteTTL = ShareTTL - 10*time.Second

// NewShareVotes returns a ShareVotes without votes, for an entry that starts at start.
func NewShareVotes(start time.Time) *ShareVotes {
	return &ShareVotes{start: start, unusedSince: start, returned: make(map[string]bool), votes: make(map[string]receivedVote)}
}

// Record stores a replica's answer to a call made at requestedAt. replicas is the number of
// control replicas by that answer, itself included.
func (v *ShareVotes) Record(replica string, vote ShareVote, replicas int, requestedAt time.Time) {
	v.votes[replica] = receivedVote{ShareVote: vote, replicas: replicas, requestedAt: requestedAt}
}

// returnTimeout is how long a restarted entry waits, after the end of all leases, for the
// remaining entries to return its share. Once all have answered, the share's tokens count
// from an earlier time.
const returnTimeout = 200 * time.Millisecond

// RecordReturn records that an entry, running for uptime, has returned the share that this
// entry's previous incarnation had lent it; held says whether it had one. The entry's own
// previous incarnation may have used the share until that entry started.
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

// HasReturned reports whether an entry has returned the share lent by this entry's previous
// incarnation.
func (v *ShareVotes) HasReturned(entry string) bool { return v.returned[entry] }

// ReturnsNeeded reports whether other entries have to be asked for the share that the previous
// incarnation may have lent. It is false until the votes show whether there was one: when
// hundreds of entries start for the first time, none has to ask the others.
func (v *ShareVotes) ReturnsNeeded(now time.Time) bool { return v.counted && !v.ShareRecovered(now) }

// ShareRecovered reports whether the share that the previous incarnation may have lent is
// back: there was none, all other entries have returned it, or the lease has expired.
func (v *ShareVotes) ShareRecovered(now time.Time) bool {
	if v.first {
		return true
	}
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

// UnusedSince returns the time since which nobody has used this entry's share. It is final
// once ShareRecovered returns true.
func (v *ShareVotes) UnusedSince() time.Time { return v.unusedSince }

// Share returns this entry's share of every limit, or 0 while it may use none.
func (v *ShareVotes) Share(now time.Time) float64 {
	allowed, first, replicas, entries := 0, 0, 0, 0
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
		if vote.First {
			first++
		}
	}
	v.entryCount = entries
	v.counted = 2*len(v.votes) > replicas
	// Each replica of a majority that allowed the previous incarnation its share knows of it
	// for longer than the share may be lent.
	v.first = v.first || 2*first > replicas
	if 2*allowed <= replicas || !v.ShareRecovered(now) {
		entries = 0
	}
	v.setDivisor(entries, now)
	if entries == 0 {
		return 0
	}
	return 1 / float64(entries)
}

// setDivisor sets the divisor of this entry's share. A larger share that was lent under the
// previous divisor may be in use until its lease expires, so divisorInUse grows only then.
func (v *ShareVotes) setDivisor(divisor int, now time.Time) {
	if divisor != v.divisor {
		v.divisor, v.divisorSince = divisor, now
	}
	shareGrew := divisor > 0 && (v.divisorInUse == 0 || divisor < v.divisorInUse)
	if shareGrew || now.Sub(v.divisorSince) > LeaseDuration(max(divisor, v.divisorInUse)) {
		v.divisorInUse = divisor
	}
}

// DivisorInUse returns the divisor of this entry's largest share that may be in use; if none
// is, the number of entries by the votes, or 0 without votes.
func (v *ShareVotes) DivisorInUse() int {
	if v.divisorInUse > 0 {
		return v.divisorInUse
	}
	return v.entryCount
}

// String returns the votes in short, for logs.
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
