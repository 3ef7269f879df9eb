package zone

import (
	"slices"
	"time"
)

// NoticeScope is the set of instances that a reclaim notice covers.
type NoticeScope string

// The scopes.
const (
	NoticeInstances  NoticeScope = "instances"   // those in Notice.Instances
	NoticeZone       NoticeScope = "zone"        // all reclaimable instances of the zone
	NoticeDataCentre NoticeScope = "data-centre" // all reclaimable instances of the zones of the data centre
)

// Notice is the cloud provider's announcement that it reclaims instances. It cannot be
// refused. A notice with the ID of an earlier one replaces it.
type Notice struct {
	ID         string      `json:"id"`
	Scope      NoticeScope `json:"scope"`
	Instances  []string    `json:"instances,omitempty"`  // ids, with NoticeInstances
	Zone       string      `json:"zone,omitempty"`       // with NoticeZone
	DataCentre string      `json:"dataCentre,omitempty"` // with NoticeDataCentre
	Given      time.Time   `json:"given"`
	Ends       time.Time   `json:"ends"` // when the instances are stopped
}

// Location identifies an instance, its zone and its market, for Notice.Covers.
type Location struct {
	Instance string
	Zone     *Zone
	Market   Market
}

// Covers reports whether the notice reclaims the instance. On-demand instances are
// covered only if they are listed.
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

// Remaining returns the time until the instances are stopped, 0 if it has passed.
func (n *Notice) Remaining(now time.Time) time.Duration {
	return max(n.Ends.Sub(now), 0)
}
