package supply

import (
	"math"
	"time"
)

// Use is what the load makes of a service's servers at a moment.
type Use struct {
	Tokens  float64 // prompt tokens a second that arrive to be read
	Running float64 // requests that run
	Slots   int     // requests that a server runs at once
}

const (
	// targetUtilization is the part of its time that a server should be reading prompts, by what
	// the entries count: they also count parts that a server caches unknown to them. A
	// prompt that finds another one in front waits for all of it, and the longest take
	// as long as a whole objective. On played days with waves, servers for a use of 0.57
	// answered as many in time as half as many again did, and those for 0.8 a sixth fewer.
	targetUtilization = 0.57
	// maxUtilization is the use at which a server still serves, with many answers late. Beyond
	// what a service began with, servers are only added for this.
	maxUtilization = 0.7
	// targetSlotFraction is the part of their slots that servers may use: answers slow down as
	// slots fill up, and a surge takes the rest.
	targetSlotFraction = 0.5
	// minSizeFraction is the part of the servers that a service began with that is kept
	// whatever the load: the operators sized it for more than has been seen.
	minSizeFraction = 0.5

	// smoothingTime is the time constant with which the load is followed: longer than a
	// single burst of arrivals, shorter than a server takes to boot.
	smoothingTime = 2 * time.Second
	// peakDecayTime is the time constant with which a past peak is forgotten. Loads swing
	// within tens of seconds, and servers that are given up lose their caches.
	peakDecayTime = 20 * time.Second
	// warmUpTime is for how long a load is watched before it is believed.
	warmUpTime = 8 * time.Second
	// lowerHysteresisServers is by how many servers the need must lie below the one in force before
	// that is lowered. Without it servers would come and go with each breath of load.
	lowerHysteresisServers = 0.5
)

// Demand learns from the load how many servers a service needs.
//
// Load pattern answered: a load well below, or above, the one that the operators
// sized the service for, which swings and surges.
//
// Without it as many servers are paid as the service began with, at all loads.
type Demand struct {
	firstSample, lastSample time.Time // when the load was known first, and last
	promptTokens            loadLevel // prompt tokens a second
	occupiedServers         loadLevel // servers whose slots are all in use
	lastNeed                int       // in force
}

// loadLevel is a figure of the load.
type loadLevel struct {
	current float64 // smoothed
	peak    float64 // the most of late
}

func (l *loadLevel) update(x float64, elapsed time.Duration) {
	l.current += (x - l.current) * (1 - math.Exp(-elapsed.Seconds()/smoothingTime.Seconds()))
	l.peak = max(l.current, l.current+(l.peak-l.current)*math.Exp(-elapsed.Seconds()/peakDecayTime.Seconds()))
}

// Note takes the load of a moment.
func (d *Demand) Note(u Use, now time.Time) {
	occupied := u.Running / float64(max(u.Slots, 1))
	if d.firstSample.IsZero() {
		if u.Tokens == 0 && u.Running == 0 {
			return // nobody calls yet
		}
		d.firstSample = now
		d.promptTokens = loadLevel{u.Tokens, u.Tokens}
		d.occupiedServers = loadLevel{occupied, occupied}
	}
	d.promptTokens.update(u.Tokens, now.Sub(d.lastSample))
	d.occupiedServers.update(occupied, now.Sub(d.lastSample))
	d.lastSample = now
}

// Need returns how many servers serve the load in time. began is how many the service
// began with, and rate how many tokens a server reads in a second; 0: it is not known.
// Until the load is known the service needs what it began with.
func (d *Demand) Need(initialServers int, tokensPerSecond float64) int {
	if d.firstSample.IsZero() || d.lastSample.Sub(d.firstSample) < warmUpTime || d.promptTokens.peak > 0 && tokensPerSecond <= 0 {
		return initialServers
	}
	busyServers := d.promptTokens.servers(tokensPerSecond).peak
	withinObjective := min(busyServers/targetUtilization, float64(initialServers))
	want := max(withinObjective, busyServers/maxUtilization, d.occupiedServers.peak/targetSlotFraction, minSizeFraction*float64(initialServers))
	if want > float64(d.lastNeed) || want < float64(d.lastNeed)-1-lowerHysteresisServers {
		d.lastNeed = int(math.Ceil(want))
	}
	return d.lastNeed
}

// Load returns how many servers serve the load of the moment, 0 where it is not known.
// It lies below Need, which goes by the peak of late. A smaller number, with which most
// answers are late, cost more on days with three waves than it saved on those with two.
func (d *Demand) Load(tokensPerSecond float64) int {
	if d.promptTokens.current > 0 && tokensPerSecond <= 0 {
		return 0
	}
	return int(math.Ceil(max(d.promptTokens.servers(tokensPerSecond).current/targetUtilization, d.occupiedServers.current/targetSlotFraction)))
}

// servers returns how many servers are busy with reading so many tokens a second.
func (l loadLevel) servers(tokensPerSecond float64) loadLevel {
	if tokensPerSecond <= 0 {
		return loadLevel{}
	}
	return loadLevel{l.current / tokensPerSecond, l.peak / tokensPerSecond}
}
