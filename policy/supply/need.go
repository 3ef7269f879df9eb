package supply

import (
	"math"
	"time"
)

// Usage is what the load makes of a service's servers at a moment.
type Usage struct {
	Tokens  float64 // prompt tokens a second that arrive to be read
	Running float64 // requests that run
	Slots   int     // requests that a server runs at once
}

const (
	// targetUse is the part of its time that a server should be reading prompts, by what
	// the entries count: they also count parts that a server caches unknown to them. A
	// prompt that finds another one in front waits for all of it, and the longest take
	// as long as a whole objective. On played days with waves, servers for a use of 0.57
	// answered as many in time as half as many again did, and those for 0.8 a sixth fewer.
	targetUse = 0.57
	// fullUse is the use at which a server still serves, with many answers late. Beyond
	// what a service began with, servers are only added for this.
	fullUse = 0.7
	// fullSlots is the part of their slots that servers may use: answers slow down as
	// slots fill up, and a surge takes the rest.
	fullSlots = 0.5
	// leastPart is the part of the servers that a service began with that is kept
	// whatever the load: the operators sized it for more than has been seen.
	leastPart = 0.5

	// followTime is the time constant with which the load is followed: longer than a
	// single burst of arrivals, shorter than a server takes to boot.
	followTime = 2 * time.Second
	// holdTime is the time constant with which a past peak is forgotten. Loads swing
	// within tens of seconds, and servers that are given up lose their caches.
	holdTime = 20 * time.Second
	// warmTime is for how long a load is watched before it is believed.
	warmTime = 8 * time.Second
	// lowerBy is by how many servers the need must lie below the one in force before
	// that is lowered. Without it servers would come and go with each breath of load.
	lowerBy = 0.5
)

// Demand learns from the load how many servers a service needs.
//
// Load pattern answered: a load well below, or above, the one that the operators
// sized the service for, which swings and surges.
//
// Without it as many servers are paid as the service began with, at all loads.
type Demand struct {
	since, at time.Time // when the load was known first, and last
	reading   level     // prompt tokens a second
	running   level     // servers whose slots are all in use
	need      int       // in force
}

// level is a figure of the load.
type level struct {
	now  float64 // smoothed
	peak float64 // the most of late
}

func (l *level) follow(x float64, elapsed time.Duration) {
	l.now += (x - l.now) * (1 - math.Exp(-elapsed.Seconds()/followTime.Seconds()))
	l.peak = max(l.now, l.now+(l.peak-l.now)*math.Exp(-elapsed.Seconds()/holdTime.Seconds()))
}

// Observe takes the load of a moment.
func (d *Demand) Observe(u Usage, now time.Time) {
	full := u.Running / float64(max(u.Slots, 1))
	if d.since.IsZero() {
		if u.Tokens == 0 && u.Running == 0 {
			return // nobody calls yet
		}
		d.since = now
		d.reading = level{u.Tokens, u.Tokens}
		d.running = level{full, full}
	}
	d.reading.follow(u.Tokens, now.Sub(d.at))
	d.running.follow(full, now.Sub(d.at))
	d.at = now
}

// ServersNeeded returns how many servers serve the load in time. began is how many the service
// began with, and rate how many tokens a server reads in a second; 0: it is not known.
// Until the load is known the service needs what it began with.
func (d *Demand) ServersNeeded(began int, rate float64) int {
	if d.since.IsZero() || d.at.Sub(d.since) < warmTime || d.reading.peak > 0 && rate <= 0 {
		return began
	}
	use := d.reading.servers(rate).peak
	inTime := min(use/targetUse, float64(began))
	want := max(inTime, use/fullUse, d.running.peak/fullSlots, leastPart*float64(began))
	if want > float64(d.need) || want < float64(d.need)-1-lowerBy {
		d.need = int(math.Ceil(want))
	}
	return d.need
}

// ServersForCurrentLoad returns how many servers serve the load of the moment, 0 where it is not known.
// It lies below ServersNeeded, which goes by the peak of late. A smaller number, with which most
// answers are late, cost more on days with three waves than it saved on those with two.
func (d *Demand) ServersForCurrentLoad(rate float64) int {
	if d.reading.now > 0 && rate <= 0 {
		return 0
	}
	return int(math.Ceil(max(d.reading.servers(rate).now/targetUse, d.running.now/fullSlots)))
}

// servers returns how many servers are busy with reading so many tokens a second.
func (l level) servers(rate float64) level {
	if rate <= 0 {
		return level{}
	}
	return level{l.now / rate, l.peak / rate}
}
