package coordinator

import (
	"time"

	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/policy/supply"
)

// discovery records when the servers of a service were first seen.
type discovery struct {
	maxServers          int       // highest number seen at once
	firstSeen, lastSeen time.Time // when the first server was seen, and when maxServers last rose
}

// demand is the estimated load of a service.
type demand struct {
	supply.Demand
	meter workMeter
}

// observe records the serving servers and their load. Every replica calls it, so that a
// new leader has an estimate of the load.
func (f *fleet) observe() {
	now := f.now()
	if now.Sub(f.lastObserved) < planInterval {
		return
	}
	f.lastObserved = now
	byService := make(map[string]*serviceCapacity)
	f.eachServer(now, func(rec *directory.Server) {
		if rec.Unreachable || rec.State != instance.StateServing {
			return
		}
		for _, name := range rec.Services {
			serving := byService[name]
			if serving == nil {
				serving = &serviceCapacity{}
				byService[name] = serving
			}
			serving.ids = append(serving.ids, rec.ID)
			serving.slots += rec.Slots
		}
	})
	for name, serving := range byService {
		f.recordServers(name, len(serving.ids), now)
		f.recordLoad(name, serving, now)
	}
}

// serviceCapacity is what the reachable servers of a service that take requests have.
type serviceCapacity struct {
	ids   []string
	slots int // of all together
}

// recordServers records the number of servers of a service.
func (f *fleet) recordServers(service string, servers int, now time.Time) {
	j := f.discoveries[service]
	if j == nil {
		j = &discovery{firstSeen: now}
		f.discoveries[service] = j
	}
	if servers > j.maxServers {
		j.maxServers, j.lastSeen = servers, now
	}
}

// recordLoad adds the token rate and the running requests of a service to its demand.
func (f *fleet) recordLoad(service string, serving *serviceCapacity, now time.Time) {
	d := f.demand(service)
	perSecond, known := d.meter.perSecond(f.work.tokens(service), now)
	if !known {
		return
	}
	d.Observe(supply.Usage{Tokens: perSecond, Running: float64(f.running(serving.ids)), Slots: serving.slots / len(serving.ids)}, now)
}

// demand returns the demand of a service, which it creates if there is none.
func (f *fleet) demand(service string) *demand {
	d := f.demands[service]
	if d == nil {
		d = &demand{}
		f.demands[service] = d
	}
	return d
}

const (
	// settleHeartbeats is the number of heartbeat intervals without a new server after which
	// all initial servers count as known. Each server announces itself within one interval.
	settleHeartbeats = 1.5
	// maxSettleTime bounds that wait if new servers keep appearing.
	maxSettleTime = 5 * time.Second
)

// allServersKnown reports whether all initial servers of a service have had time to
// announce themselves.
func (f *fleet) allServersKnown(service string) bool {
	j := f.discoveries[service]
	if j == nil {
		return false
	}
	now := f.now()
	settleTime := time.Duration(settleHeartbeats * float64(f.announceInterval))
	return now.Sub(j.lastSeen) >= settleTime || now.Sub(j.firstSeen) >= maxSettleTime
}
