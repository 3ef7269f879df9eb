package zone

import (
	"slices"
	"time"
)

// NoticeScope says what a reclaim notice covers.
type NoticeScope string

// The scopes.
const (
	NoticeInstances  NoticeScope = "instances"   // those listed
	NoticeZone       NoticeScope = "zone"        // every reclaimable instance of the zone
	NoticeDataCentre NoticeScope = "data-centre" // every reclaimable instance of all its zones
)

// Notice is the cloud's announcement that it takes instances back. It cannot be
// refused; a notice with the same ID replaces an earlier one.
type Notice struct {
	ID         string      `json:"id"`
	Scope      NoticeScope `json:"scope"`
	Instances  []string    `json:"instances,omitempty"`  // ids, with NoticeInstances
	Zone       string      `json:"zone,omitempty"`       // with NoticeZone
	DataCentre string      `json:"dataCentre,omitempty"` // with NoticeDataCentre
	Given      time.Time   `json:"given"`
	Ends       time.Time   `json:"ends"` // when the instances are taken away
}

// Location is what a notice needs to know of an instance.
type Location struct {
	Instance string
	Zone     *Zone
	Market   Market
}

// Covers reports whether the notice takes the instance away. Instances paid for
// on demand are covered only by name.
func (n *Notice) Covers(l Location) bool {
	switch n.Scope {
	case NoticeInstances:
		return slices.Contains(n.Instances, l.Instance)
	case NoticeZone:
		return l.Market == Reclaimable && l.Zone.Name == n.Zone
	case NoticeDataCentre:
		return l.Market == Reclaimable && l.Zone.DataCentre == n.DataCentre
	default:
		return false
	}
}

// Remaining returns the time until the instances are taken away, 0 if it has passed.
func (n *Notice) Remaining(now time.Time) time.Duration {
	return max(n.Ends.Sub(now), 0)
}
