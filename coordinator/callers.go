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
	live := c.live.current(c.now()).entries
	candidates := make([]referral.Entry, len(live))
	for i := range live {
		e := &live[i]
		candidates[i] = referral.Entry{Name: e.Name, Address: e.Address, Distance: distance(e.Region == region, e.Zone == zone)}
	}
	addresses = referral.Choose(candidates, caller, limit)
	ttl = directoryTTL
	if bound := c.cfg.Node.Bounds.DirectoryTTL; bound > 0 {
		ttl = min(ttl, bound)
	}
	return addresses, ttl
}

// distance ranks an entry for a caller: 0 in the same zone, 1 in the same region, 2
// elsewhere.
func distance(sameRegion, sameZone bool) int {
	switch {
	case sameRegion && sameZone:
		return 0
	case sameRegion:
		return 1
	default:
		return 2
	}
}
