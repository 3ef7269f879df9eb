package zone

import (
	"fmt"
	"slices"
)

// Market is how an instance is paid for.
type Market string

// The markets.
const (
	Reclaimable Market = "reclaimable" // cheap, and taken away on seconds of notice
	OnDemand    Market = "on-demand"   // kept until it is given back
)

// Price is what one instance of a machine class costs in a zone. A price of 0
// says that the class is not offered in that market.
type Price struct {
	Class       string  `json:"machineClass"`
	Reclaimable float64 `json:"reclaimable"` // currency units an hour
	OnDemand    float64 `json:"onDemand"`    // currency units an hour
}

// Zone is a part of a data centre that the cloud reclaims and prices as one. All
// zones of a data centre can be lost together.
type Zone struct {
	Name       string  `json:"name"`
	Region     string  `json:"region"`
	DataCentre string  `json:"dataCentre"`
	Prices     []Price `json:"prices"`
}

// Price returns the price of a class in the zone, and whether it is offered in
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

// Distance is how far apart two zones are.
type Distance uint8

// The distances, with the one-way times of the sites this was built for.
const (
	SameZone    Distance = iota
	SameRegion           // another zone or data centre of the region: 0.5 ms
	OtherRegion          // tens of milliseconds, and cut off at times
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

// FieldError names the zone and field that are not as they must be.
type FieldError struct {
	Zone  string
	Field string
	Want  string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("zone %q: %s must be %s", e.Zone, e.Field, e.Want)
}

// Validate returns a *FieldError for the first fault in the zones: a missing or
// doubled name, a missing region or data centre, a data centre in two regions,
// a class that is priced twice or below 0.
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
