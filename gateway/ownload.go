package gateway

import (
	"time"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/directory"
)

// ownRequests is the number of this entry's requests on one start of a server.
type ownRequests struct {
	incarnation uint64
	count       int
}

// addRunning counts a request on a start of a server. s.mu is held.
func (s *service) addRunning(id string, incarnation uint64) {
	own := s.running[id]
	if own.incarnation != incarnation {
		own = ownRequests{incarnation: incarnation}
	}
	own.count++
	s.running[id] = own
}

// removeRunning counts the end of a request on a start of a server, unless that start no longer counts. s.mu is held.
func (s *service) removeRunning(id string, incarnation uint64) {
	own, exists := s.running[id]
	if !exists || own.incarnation != incarnation {
		return
	}
	if own.count--; own.count == 0 {
		delete(s.running, id)
		return
	}
	s.running[id] = own
}

// forgetEarlierStart drops the requests of an earlier start than that of a record, which the server does not
// have, and reports whether there were any. s.mu is held.
func (s *service) forgetEarlierStart(rec *directory.Server) bool {
	own, exists := s.running[rec.ID]
	if !exists || own.incarnation >= rec.Incarnation {
		return false
	}
	delete(s.running, rec.ID)
	return true
}

// ownLoad returns this entry's load on a server. s.mu is held.
func (s *service) ownLoad(id string) serverLoad {
	own := serverLoad{Server: id, Running: s.running[id].count, Prefill: s.router.PendingPrefillTokens(id)}
	if s.contended {
		urgent := s.router.OwnUrgentWork(id)
		own.Urgent = &urgentLoad{Pending: urgent.Pending, Prefill: urgent.Tokens}
	}
	return own
}

// ownLoads returns this entry's load on all servers.
func (s *service) ownLoads() []serverLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]serverLoad, 0, len(s.running))
	for id := range s.running {
		list = append(list, s.ownLoad(id))
	}
	return list
}

// appendLoads appends this entry's load on the service's servers to list.
func (s *service) appendLoads(list []api.ServerLoad) []api.ServerLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, own := range s.running {
		list = append(list, api.ServerLoad{Server: id, Running: own.count, Prefill: s.router.PendingPrefillTokens(id)})
	}
	return list
}

// ending is how an attempt ended.
type ending uint8

const (
	endedOK ending = iota
	endedFailed
	endedByCaller
	// endedServerGone: no process listens at its address, or another server does.
	endedServerGone
)

// end counts the end of an attempt and reports the changed load.
func (s *service) end(c *choice, how ending, now time.Time) {
	s.mu.Lock()
	s.finish(c, how, now)
	own := s.ownLoad(c.verdict.Server)
	own.Down = how == endedServerGone && s.servers[c.verdict.Server].Incarnation <= c.verdict.Incarnation // of a later start it says nothing
	s.mu.Unlock()
	c.send.end(how, now)
	s.onLoadChange(own)
}

// finish counts the end of an attempt. s.mu is held.
func (s *service) finish(c *choice, how ending, now time.Time) {
	s.removeRunning(c.verdict.Server, c.verdict.Incarnation)
	switch how {
	case endedOK:
		s.router.Finished(&c.attempt, now)
	case endedFailed, endedServerGone:
		s.router.Failed(&c.attempt, now)
	default:
		s.router.Cancelled(&c.attempt, now)
	}
}
