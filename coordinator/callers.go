package coordinator

import (
	"time"
)

// directoryValidity is how long callers are told to use a list of entries. They
// may keep it three times as long, and an entry that leaves has to go on until
// then; a shorter time costs a question per caller and validity.
const directoryValidity = 2 * time.Second

// Entries returns the addresses of the entries for a caller in a zone: those of
// its zone first, then those of its region, then all others.
func (c *Coordinator) Entries(region, zone string) (addresses []string, valid time.Duration) {
	entries := c.directory.LiveEntries(c.now())
	for rank := range 3 {
		for i := range entries {
			e := &entries[i]
			if distance(e.Region == region, e.Zone == zone) == rank {
				addresses = append(addresses, e.Address)
			}
		}
	}
	valid = directoryValidity
	if limit := c.cfg.Node.Bounds.DirectoryTTL; limit > 0 {
		valid = min(valid, limit)
	}
	return addresses, valid
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
