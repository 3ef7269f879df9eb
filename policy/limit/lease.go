package limit

import (
	"math"
	"time"
)

const (
	// askLeast and askEach say how often a keeper asks each entry for its share: one entry
	// every askEach, so that with hundreds of them it exchanges some hundred datagrams a
	// second, and none more often than askLeast.
	askLeast = 200 * time.Millisecond
	askEach  = 8 * time.Millisecond
	// lendSlack is what a lease outlasts two questions by, so that one may be lost.
	lendSlack = 100 * time.Millisecond
	// lendMost bounds a lease: for so long a share is of no use when its keeper is lost.
	lendMost = 8 * time.Second
	// MaxSavedAge is how old what a share had saved may be when it arrives with the share.
	// For so long it may be here and, brought anew, there.
	MaxSavedAge = 100 * time.Millisecond
)

// RenewPeriod is how often a keeper asks each of so many entries.
func RenewPeriod(entries int) time.Duration { return max(askLeast, time.Duration(entries)*askEach) }

// LeaseDuration is for how long each of so many entries lends its shares.
func LeaseDuration(entries int) time.Duration { return min(2*RenewPeriod(entries)+lendSlack, lendMost) }

// EntriesForShare returns how many entries there are by the share of one; 0 where it has none.
func EntriesForShare(part float64) int {
	if part <= 0 {
		return 0
	}
	return int(math.Round(1 / part))
}
