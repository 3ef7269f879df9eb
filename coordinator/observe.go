package coordinator

import (
	"time"

	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/policy/supply"
)

// joining is how a service's servers have come to be known.
type joining struct {
	servers     int       // the most that were known
	first, last time.Time // when the first and the newest of them were heard
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
	if now.Sub(f.observed) < planEvery {
		return
	}
	f.observed = now
	known := make(map[string][]directory.Server)
	for _, rec := range f.servers(now) {
		if rec.Unreachable || rec.State != instance.StateServing {
			continue
		}
		for _, name := range rec.Services {
			known[name] = append(known[name], rec)
		}
	}
	for name, servers := range known {
		f.noteJoined(name, len(servers), now)
		f.noteLoad(name, servers, now)
	}
}

func (f *fleet) noteJoined(service string, servers int, now time.Time) {
	j := f.joined[service]
	if j == nil {
		j = &joining{first: now}
		f.joined[service] = j
	}
	if servers > j.servers {
		j.servers, j.last = servers, now
	}
}

// noteLoad takes what the servers of a service are given to do.
func (f *fleet) noteLoad(service string, servers []directory.Server, now time.Time) {
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
	// settleBeats is for how many heartbeats no further server must have come before a
	// service's servers are counted: each announces itself within one.
	settleBeats = 1.5
	// settleMost bounds the wait where servers keep coming.
	settleMost = 5 * time.Second
)

// settled reports whether all servers that a service began with are known.
func (f *fleet) settled(service string) bool {
	j := f.joined[service]
	if j == nil {
		return false
	}
	now := f.now()
	quiet := time.Duration(settleBeats * float64(f.announceEvery))
	return now.Sub(j.last) >= quiet || now.Sub(j.first) >= settleMost
}
