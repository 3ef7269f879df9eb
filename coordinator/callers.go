package coordinator

import (
	"time"

	"savoryreel.example/savoryreel/policy/referral"
)

// directoryTTL is how long callers may cache a list of entries. They may use it for up
// to three times as long, so an entry that leaves has to keep serving until then.
const directoryTTL = 2 * time.Second

// Entries returns the addresses of at most limit live entries for a caller in a zone:
// first those of its zone, then those of its region, then all others. caller is stable for
// a caller. ttl is how long the caller may cache the list.
func (c *Coordinator) Entries(caller, region, zone string, limit int) (addresses []string, ttl time.Duration) {
	live := c.live.current(c.now())
	addresses = referral.Choose(len(live.entries), func(i int) (referral.Entry, referral.Distance) {
		e := &live.entries[i]
		return referral.Entry{Address: e.Address, Hash: live.hashes[i]}, distance(e.Region == region, e.Zone == zone)
	}, caller, limit)
	ttl = directoryTTL
	if bound := c.cfg.Node.Bounds.DirectoryTTL; bound > 0 {
		ttl = min(ttl, bound)
	}
	return addresses, ttl
}

// distance returns the distance of an entry to a caller.
func distance(sameRegion, sameZone bool) referral.Distance {
	switch {
	case sameRegion && sameZone:
		return referral.SameZone
	case sameRegion:
		return referral.SameRegion
	default:
		return referral.Elsewhere
	}
}
