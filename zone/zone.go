package zone

import (
	"fmt"
	"slices"
)

// Market is the purchase option of an instance.
type Market string

// The purchase options.
const (
	Reclaimable Market = "reclaimable" // cheaper; the provider may stop it on short notice
	OnDemand    Market = "on-demand"   // runs until it is released
)

// Price is the price of one instance of a machine class in a zone. A price of 0 means
// that the class is not offered in that market.
type Price struct {
	Class       string  `json:"machineClass"`
	Reclaimable float64 `json:"reclaimable"` // currency units per hour
	OnDemand    float64 `json:"onDemand"`    // currency units per hour
}

// Zone is a part of a data centre with common prices that is reclaimed as a unit. All
// zones of a data centre can fail together.
type Zone struct {
	Name       string  `json:"name"`
	Region     string  `json:"region"`
	DataCentre string  `json:"dataCentre"`
	Prices     []Price `json:"prices"`
}

// Price returns the price of a class in the zone, and whether the class is offered in
// that market.
func (z *Zone) Price(class string, market Market) (float64, bool) {
	for _, p := range z.Prices {
		if p.Class != class {
			continue
		}
		if market == OnDemand {
			return p.OnDemand, p.OnDemand > 0
		}
		return p.Reclaimable, p.Reclaimable > 0
	}
	return 0, false
}

// Distance is the network distance between two zones.
type Distance uint8

// The distances, from nearest to farthest.
const (
	SameZone    Distance = iota
	SameRegion           // another zone or data centre of the region: about 0.5 ms one way
	OtherRegion          // tens of milliseconds, occasionally partitioned
)

// DistanceTo returns the distance between z and other.
func (z *Zone) DistanceTo(other *Zone) Distance {
	switch {
	case z.Region != other.Region:
		return OtherRegion
	case z.Name != other.Name:
		return SameRegion
	default:
		return SameZone
	}
}

// FieldError reports an invalid field of a zone.
type FieldError struct {
	Zone  string
	Field string
	Want  string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("zone %q: %s must be %s", e.Zone, e.Field, e.Want)
}

// Validate returns a *FieldError for the first invalid field: a missing or duplicate
// name, a missing region or data centre, a data centre in two regions, a class with a
// negative price or priced twice.
func Validate(zones []Zone) error {
	for i := range zones {
		z := &zones[i]
		switch {
		case z.Name == "":
			return &FieldError{z.Name, "name", "given"}
		case z.Region == "":
			return &FieldError{z.Name, "region", "given"}
		case z.DataCentre == "":
			return &FieldError{z.Name, "dataCentre", "given"}
		}
		for _, earlier := range zones[:i] {
			if earlier.Name == z.Name {
				return &FieldError{z.Name, "name", "unique"}
			}
			if earlier.DataCentre == z.DataCentre && earlier.Region != z.Region {
				return &FieldError{z.Name, "dataCentre", "in one region"}
			}
		}
		if err := z.validatePrices(); err != nil {
			return err
		}
	}
	return nil
}

func (z *Zone) validatePrices() error {
	for i, p := range z.Prices {
		if p.Class == "" {
			return &FieldError{z.Name, "prices.machineClass", "given"}
		}
		if p.Reclaimable < 0 || p.OnDemand < 0 {
			return &FieldError{z.Name, "prices." + p.Class, "at least 0"}
		}
		twice := func(q Price) bool { return q.Class == p.Class }
		if slices.ContainsFunc(z.Prices[:i], twice) {
			return &FieldError{z.Name, "prices." + p.Class, "given once"}
		}
	}
	return nil
}
