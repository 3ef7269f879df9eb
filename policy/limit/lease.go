package limit

import (
	"math"
	"time"
)

const (
	// minRenewPeriod and askEach say how often a keeper asks each entry for its share: one entry
	// every askEach, so that with hundreds of them it exchanges some hundred datagrams a
	// second, and none more often than minRenewPeriod.
	minRenewPeriod      = 200 * time.Millisecond
	renewPeriodPerEntry = 8 * time.Millisecond
	// leaseMargin is what a lease outlasts two questions by, so that one may be lost.
	leaseMargin = 100 * time.Millisecond
	// maxLease bounds a lease: for so long a share is of no use when its keeper is lost.
	maxLease = 8 * time.Second
	// MaxSavedAge is how old what a share had saved may be when it arrives with the share.
	// For so long it may be here and, brought anew, there.
	MaxSavedAge = 100 * time.Millisecond
)

// RenewPeriod is how often a keeper asks each of so many entries.
func RenewPeriod(entries int) time.Duration {
	return max(minRenewPeriod, time.Duration(entries)*renewPeriodPerEntry)
}

// LeaseDuration is for how long each of so many entries lends its shares.
func LeaseDuration(entries int) time.Duration {
	return min(2*RenewPeriod(entries)+leaseMargin, maxLease)
}

// EntriesForShare returns how many entries there are by the share of one; 0 where it has none.
func EntriesForShare(share float64) int {
	if share <= 0 {
		return 0
	}
	return int(math.Round(1 / share))
}
