package gateway

import "time"

// lastSend is the last request that was sent to a server, for the log.
type lastSend struct {
	request string // its id
	at      time.Time
}

// lastSendTo returns the last request that was sent to a server; the zero value if there is none.
func (s *service) lastSendTo(server string) lastSend {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastSends[server]
}

// recentSend is the age of the last request sent to a server up to which its leave is always logged.
const recentSend = 10 * time.Second

// lastSendTo returns the last request that this entry has sent to a server. g.mu is held.
func (g *Gateway) lastSendTo(server string) lastSend {
	for _, s := range g.services {
		if last := s.lastSendTo(server); last.request != "" {
			return last
		}
	}
	return lastSend{}
}
