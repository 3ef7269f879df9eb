package contract

import (
	"time"

	"github.com/gravitational/trace"
)

// Validate checks the values of a planned stop.
func (s *Stop) Validate() error {
	if !namePattern.MatchString(s.ID) || len(s.ID) > MaxNameLength {
		return trace.BadParameter("stop id %q is not a name", s.ID)
	}
	switch s.Scope {
	case StopInstance, StopZone, StopService:
	default:
		return trace.BadParameter("stop scope %q is not one of instance, zone, service", s.Scope)
	}
	if s.Name == "" {
		return trace.BadParameter("stop %q names no %s", s.ID, s.Scope)
	}
	return nil
}

// InForce reports whether the stop has started at time now.
func (s *Stop) InForce(now time.Time) bool {
	return !now.Before(s.From)
}

// Covers reports whether the stop covers the instance with the given id and zone.
// A stop of a service covers no instance.
func (s *Stop) Covers(id, zone string) bool {
	switch s.Scope {
	case StopInstance:
		return s.Name == id
	case StopZone:
		return s.Name == zone
	default:
		return false
	}
}
