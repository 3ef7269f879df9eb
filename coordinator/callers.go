package coordinator

import (
	"time"
)

// directoryTTL is how long callers may cache a list of entries. They may use it for up
// to three times as long, so an entry that leaves has to keep serving until then.
const directoryTTL = 2 * time.Second

// Entries returns the addresses of the live entries for a caller in a zone: first those
// of its zone, then those of its region, then all others. ttl is how long the caller may
// cache the list.
func (c *Coordinator) Entries(region, zone string) (addresses []string, ttl time.Duration) {
	entries := c.directory.LiveEntries(c.now())
	for rank := range 3 {
		for i := range entries {
			e := &entries[i]
			if distance(e.Region == region, e.Zone == zone) == rank {
				addresses = append(addresses, e.Address)
			}
		}
	}
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
