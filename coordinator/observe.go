package coordinator

import (
	"time"

	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/policy/supply"
)

// discovery is how a service's servers have come to be known.
type discovery struct {
	maxServers          int       // the most that were known
	firstSeen, lastSeen time.Time // when the first and the newest of them were heard
}

// demand is what a service's load asks for.
type demand struct {
	supply.Demand
	meter workMeter
}

// observe notes the servers that are known and their load. Every replica does, so that
// a new leader need not wait for what it could have seen before.
func (f *fleet) observe() {
	now := f.now()
	if now.Sub(f.lastObserved) < planInterval {
		return
	}
	f.lastObserved = now
	byService := make(map[string][]directory.Server)
	for _, rec := range f.servers(now) {
		if rec.Unreachable || rec.State != instance.StateServing {
			continue
		}
		for _, name := range rec.Services {
			byService[name] = append(byService[name], rec)
		}
	}
	for name, servers := range byService {
		f.recordServers(name, len(servers), now)
		f.recordLoad(name, servers, now)
	}
}

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

// recordLoad takes what the servers of a service are given to do.
func (f *fleet) recordLoad(service string, servers []directory.Server, now time.Time) {
	ids := make([]string, 0, len(servers))
	slots := 0
	for i := range servers {
		ids = append(ids, servers[i].ID)
		slots += servers[i].Slots
	}
	d := f.demand(service)
	perSecond, known := d.meter.perSecond(f.work.tokens(service), now)
	if !known {
		return
	}
	d.Observe(supply.Usage{Tokens: perSecond, Running: float64(f.running(ids)), Slots: slots / len(servers)}, now)
}

func (f *fleet) demand(service string) *demand {
	d := f.demands[service]
	if d == nil {
		d = &demand{}
		f.demands[service] = d
	}
	return d
}

const (
	// settleHeartbeats is for how many heartbeats no further server must have come before a
	// service's servers are counted: each announces itself within one.
	settleHeartbeats = 1.5
	// maxSettleTime bounds the wait where servers keep coming.
	maxSettleTime = 5 * time.Second
)

// allServersKnown reports whether all servers that a service began with are known.
func (f *fleet) allServersKnown(service string) bool {
	j := f.discoveries[service]
	if j == nil {
		return false
	}
	now := f.now()
	quiet := time.Duration(settleHeartbeats * float64(f.announceEvery))
	return now.Sub(j.lastSeen) >= quiet || now.Sub(j.firstSeen) >= maxSettleTime
}
