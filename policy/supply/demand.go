package supply

import (
	"math"
	"time"
)

const (
	// beginPart is the part of the servers that the operators began with which the
	// load is taken to need before it is known: they size a service for its peaks.
	beginPart = 0.65
	// learnTime is how long the load is watched before it counts.
	learnTime = 5 * time.Second
	// averageTime is the time constant of the average load. Bursts last seconds, a
	// boot takes as long: to follow each one would come too late.
	averageTime = 3 * time.Second
	// holdTime is how long a higher need stands. Load that falls and rises again
	// within it costs no boot.
	holdTime = 15 * time.Second
	// slotsPerRequest: a server with so many slots for each request that runs on it
	// answers within its objective. An engine with three or four requests of its 64
	// has one long prompt before a new one at most; plain arrivals vary as their
	// square root.
	slotsPerRequest = 18
)

// Demand tells how many servers a load takes, from how many requests run at a
// time. It is fed by the reports of the entries and not by the servers, whose word
// is late.
type Demand struct {
	begin   int
	first   time.Time
	last    time.Time
	average float64
	peaks   []peak // of the need, newest last, falling
}

type peak struct {
	at   time.Time
	need int
}

// NewDemand returns the demand on a service that begins with so many servers.
func NewDemand(servers int) *Demand {
	return &Demand{begin: int(math.Ceil(beginPart * float64(servers)))}
}

// Note takes the requests that run now on servers of so many slots, and returns
// how many servers the load takes.
func (d *Demand) Note(now time.Time, running, slots int) int {
	if running > 0 && d.first.IsZero() {
		d.first, d.average = now, float64(running)
	}
	if !d.last.IsZero() && !d.first.IsZero() {
		weight := 1 - math.Exp(-now.Sub(d.last).Seconds()/averageTime.Seconds())
		d.average += weight * (float64(running) - d.average)
	}
	d.last = now
	if d.first.IsZero() || now.Sub(d.first) < learnTime {
		return d.begin
	}
	perServer := math.Max(float64(slots)/slotsPerRequest, 1)
	return d.hold(now, int(math.Ceil(d.average/perServer)))
}

// hold returns the highest need of the last holdTime.
func (d *Demand) hold(now time.Time, need int) int {
	for len(d.peaks) > 0 && now.Sub(d.peaks[0].at) > holdTime {
		d.peaks = d.peaks[1:]
	}
	for len(d.peaks) > 0 && d.peaks[len(d.peaks)-1].need <= need {
		d.peaks = d.peaks[:len(d.peaks)-1]
	}
	d.peaks = append(d.peaks, peak{now, need})
	return d.peaks[0].need
}
