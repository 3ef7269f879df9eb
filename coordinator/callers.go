package coordinator

import (
	"time"
)

// directoryTTL is how long callers are told to use a list of entries. They
// may keep it three times as long, and an entry that leaves has to go on until
// then; a shorter time costs a question per caller and validity.
const directoryTTL = 2 * time.Second

// Entries returns the addresses of the entries for a caller in a zone: those of
// its zone first, then those of its region, then all others.
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
