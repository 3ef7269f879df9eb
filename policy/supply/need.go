package supply

import (
	"math"
	"time"
)

// Usage is a sample of the load on the servers of a service.
type Usage struct {
	Tokens  float64 // prompt tokens that arrive per second
	Running float64 // running requests
	Slots   int     // requests that one server runs concurrently
}

const (
	// targetUtilization is the fraction of time that a server reads prompts at which answers
	// meet their latency objective. It is low because a prompt waits for the whole prompt
	// ahead of it. The load includes prompt tokens that the server has cached.
	targetUtilization = 0.57
	// maxUtilization is the utilization at which a server still serves, with many late
	// answers. It is the target beyond the initial number of servers.
	maxUtilization = 0.7
	// targetSlotFraction leaves slots free for surges; answers slow down as slots fill up.
	targetSlotFraction = 0.5
	// minSizeFraction is the fraction of the initial servers that is kept as a reserve against
	// surges, unless it is more than surgeReserve times what the load needs: a service that
	// started with many times its need would pay for them for ever.
	minSizeFraction = 0.5
	surgeReserve    = 4.0

	// smoothingTime is the time constant of the moving average of the load: longer than a
	// burst of arrivals, shorter than a server takes to boot.
	smoothingTime = 2 * time.Second
	// peakDecayTime is the time constant with which a past peak decays. It prevents servers
	// from being stopped, and their caches lost, in a short dip.
	peakDecayTime = 20 * time.Second
	// warmUpTime is how long the load is observed before it replaces the initial size.
	warmUpTime = 8 * time.Second
	// lowerHysteresisServers is by how many servers, beyond rounding, the need must fall
	// before the result is lowered.
	lowerHysteresisServers = 0.5
)

// Demand estimates from the load how many servers a service needs.
//
// Load pattern: a load far below or above the one that the service was sized for, with
// surges.
//
// Without it the service keeps its initial number of servers at any load.
type Demand struct {
	firstSample, lastSample time.Time // times of the first sample with load and of the last sample
	promptTokens            loadLevel // per second
	occupiedServers         loadLevel // running requests, in servers with all slots in use
	lastNeed                int       // last result of ServersNeeded
}

// loadLevel is a smoothed load and its recent peak.
type loadLevel struct {
	current float64 // moving average
	peak    float64 // decaying maximum of current
}

func (l *loadLevel) update(x float64, elapsed time.Duration) {
	l.current += (x - l.current) * (1 - math.Exp(-elapsed.Seconds()/smoothingTime.Seconds()))
	l.peak = max(l.current, l.current+(l.peak-l.current)*math.Exp(-elapsed.Seconds()/peakDecayTime.Seconds()))
}

// Observe records a sample of the load.
func (d *Demand) Observe(u Usage, now time.Time) {
	occupied := u.Running / float64(max(u.Slots, 1))
	if d.firstSample.IsZero() {
		if u.Tokens == 0 && u.Running == 0 {
			return // no load yet
		}
		d.firstSample = now
		d.promptTokens = loadLevel{u.Tokens, u.Tokens}
		d.occupiedServers = loadLevel{occupied, occupied}
	}
	d.promptTokens.update(u.Tokens, now.Sub(d.lastSample))
	d.occupiedServers.update(occupied, now.Sub(d.lastSample))
	d.lastSample = now
}

// ServersNeeded returns how many servers the recent peak load needs. initialServers is the
// number that the service started with, tokensPerSecond the prompt tokens that one server
// reads per second, 0 if unknown. It returns initialServers while the load or the rate is
// unknown.
func (d *Demand) ServersNeeded(initialServers int, tokensPerSecond float64) int {
	if d.firstSample.IsZero() || d.lastSample.Sub(d.firstSample) < warmUpTime || d.promptTokens.peak > 0 && tokensPerSecond <= 0 {
		return initialServers
	}
	busyServers := d.promptTokens.servers(tokensPerSecond).peak
	withinObjective := min(busyServers/targetUtilization, float64(initialServers))
	want := max(withinObjective, busyServers/maxUtilization, d.occupiedServers.peak/targetSlotFraction)
	want = max(want, min(surgeReserve*want, minSizeFraction*float64(initialServers)))
	if want > float64(d.lastNeed) || want < float64(d.lastNeed)-1-lowerHysteresisServers {
		d.lastNeed = int(math.Ceil(want))
	}
	return d.lastNeed
}

// ServersForCurrentLoad returns how many servers the current load needs within its latency
// objective, 0 if unknown. Unlike ServersNeeded it ignores the recent peak.
func (d *Demand) ServersForCurrentLoad(tokensPerSecond float64) int {
	if d.promptTokens.current > 0 && tokensPerSecond <= 0 {
		return 0
	}
	return int(math.Ceil(max(d.promptTokens.servers(tokensPerSecond).current/targetUtilization, d.occupiedServers.current/targetSlotFraction)))
}

// servers converts a load in tokens per second into busy servers.
func (l loadLevel) servers(tokensPerSecond float64) loadLevel {
	if tokensPerSecond <= 0 {
		return loadLevel{}
	}
	return loadLevel{l.current / tokensPerSecond, l.peak / tokensPerSecond}
}
