package instance

import (
	"net"
	"strconv"

	"github.com/gravitational/trace"
)

// Bounds of an announcement. They limit the memory that one faulty server can use on
// every entry.
const (
	maxID       = 128
	maxSlots    = 100_000
	maxAdapters = 1024
	maxServices = 256
)

// Validate returns a trace.BadParameter error that describes the first invalid field, or
// nil.
func (a *Announcement) Validate() error {
	switch {
	case a.ID == "" || len(a.ID) > maxID:
		return trace.BadParameter("id must have 1 to %d bytes", maxID)
	case a.Incarnation == 0:
		return trace.BadParameter("incarnation is missing")
	case a.Zone == "" || a.Region == "":
		return trace.BadParameter("zone and region are needed")
	case a.Slots < 1 || a.Slots > maxSlots:
		return trace.BadParameter("slots %d is out of range 1..%d", a.Slots, maxSlots)
	case len(a.Adapters) > maxAdapters:
		return trace.BadParameter("%d adapters, at most %d", len(a.Adapters), maxAdapters)
	case len(a.Services) > maxServices:
		return trace.BadParameter("%d services, at most %d", len(a.Services), maxServices)
	case a.Model == "" && len(a.Services) == 0 && a.State == StateServing:
		return trace.BadParameter("names neither a model nor a service")
	}
	if a.Load.Running < 0 || a.Load.Waiting < 0 {
		return trace.BadParameter("load has a negative count")
	}
	switch a.State {
	case StateServing, StateLeaving, StateGone:
	default:
		return trace.BadParameter("state %q is not one of serving, leaving, gone", a.State)
	}
	return a.validateAddress()
}

func (a *Announcement) validateAddress() error {
	host, port, err := net.SplitHostPort(a.Address)
	number, portErr := strconv.ParseUint(port, 10, 16)
	if err != nil || portErr != nil || number == 0 || net.ParseIP(host) == nil {
		return trace.BadParameter("address %q is not an IP number and a port", a.Address)
	}
	return nil
}
