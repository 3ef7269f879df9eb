package limit

import (
	"math"
	"time"
)

const (
	// An owner requests one entry's share every renewPeriodPerEntry, and the same entry's
	// at most every minRenewPeriod. This bounds its datagrams per second, up to the number of
	// entries from which maxRenewPeriod applies.
	minRenewPeriod      = 200 * time.Millisecond
	renewPeriodPerEntry = 8 * time.Millisecond
	// maxRenewPeriod lets the longest lease survive one lost request.
	maxRenewPeriod = (maxLease - leaseMargin) / 2
	// An owner that has just started requests shares at these intervals.
	minFirstRenewPeriod      = 100 * time.Millisecond
	firstRenewPeriodPerEntry = time.Millisecond
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
	return min(max(minRenewPeriod, time.Duration(entries)*renewPeriodPerEntry), maxRenewPeriod)
}

// FirstRenewPeriod returns how often an owner that has just started requests each entry's
// share: if all entries restart at once, each gets its share at another moment.
func FirstRenewPeriod(entries int) time.Duration {
	period := max(minFirstRenewPeriod, time.Duration(entries)*firstRenewPeriodPerEntry)
	return min(period, RenewPeriod(entries))
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
