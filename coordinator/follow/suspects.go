package follow

import (
	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/policy/suspect"
)

// suspectState is what one incarnation of a replica and this process have sent each other on
// requests that crash servers. A restarted replica gets all records again.
type suspectState struct {
	incarnation uint64
	sent        uint64 // version of the records that the replica has
	sending     uint64 // version after the request in progress
	version     uint64 // of the replica's list
}

// prepare adds to a request what the replica lacks.
func (s *suspectState) prepare(req *api.WatchRequest, brokenOff func(since uint64) ([]suspect.Record, uint64)) {
	if req.Incarnation != s.incarnation {
		*s = suspectState{incarnation: req.Incarnation}
	}
	req.SuspectsVersion = s.version
	if brokenOff != nil {
		req.BrokenOff, s.sending = brokenOff(s.sent)
	}
}

// record records the reply.
func (s *suspectState) record(reply *api.WatchReply) {
	s.incarnation, s.sent, s.version = reply.Incarnation, s.sending, reply.SuspectsVersion
}
