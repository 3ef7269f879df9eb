package limit

import (
	"math"
	"time"
)

const (
	// An owner requests one entry's share every renewPeriodPerEntry, and the same entry's
	// at most every minRenewPeriod. This bounds its datagrams per second.
	minRenewPeriod      = 200 * time.Millisecond
	renewPeriodPerEntry = 8 * time.Millisecond
	// leaseMargin is added to two renew periods, so that a lease survives one lost request.
	leaseMargin = 100 * time.Millisecond
	// maxLease bounds how long nobody can use a share whose borrower has failed.
	maxLease = 8 * time.Second
	// MaxSavedAge bounds the age of unused tokens that arrive with a share. Tokens in
	// transit are not bounded by the burst: in any window the pools may admit what the rate
	// adds in MaxSavedAge beyond it.
	MaxSavedAge = 100 * time.Millisecond
)

// RenewPeriod returns how often an owner requests each entry's share, given the number of entries.
func RenewPeriod(entries int) time.Duration {
	return max(minRenewPeriod, time.Duration(entries)*renewPeriodPerEntry)
}

// LeaseDuration returns how long an entry lends its share, given the number of entries.
func LeaseDuration(entries int) time.Duration {
	return min(2*RenewPeriod(entries)+leaseMargin, maxLease)
}

// EntriesForShare returns the number of entries that a share implies; 0 if share is 0.
func EntriesForShare(share float64) int {
	if share <= 0 {
		return 0
	}
	return int(math.Round(1 / share))
}
