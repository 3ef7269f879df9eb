package follow

import (
	"math/rand/v2"
	"time"

	"savoryreel.example/savoryreel/coordinator/api"
)

// waitJitter is the fraction of the wait by which a call may end sooner. Without it the calls
// of all entries, which a change ends at the same moment, would end together from then on.
const waitJitter = 0.25

// setDetail sets what a replica is asked to send, by what it has sent before. The first call
// to a replica asks for nothing but its zone and revision, by which the replica that sends
// complete records is chosen.
func (f *Follower) setDetail(req *api.WatchRequest, addr string, seen *seenChanges) {
	if !f.cfg.SingleSource {
		req.Seen = seen.seq
		return
	}
	req.NoDocument = true
	if !seen.replied {
		req.Detail = api.DetailNone
		req.RevisionOnly = req.HasCatalogue
		return
	}
	if f.deps.Missing != nil {
		req.Missing = f.deps.Missing(addr)
	}
	send, highestRevision := f.source.shouldSend(addr, f.deps.Now())
	req.NotifiedRevision = max(highestRevision, req.Revision)
	if send {
		req.Wait = min(req.Wait, f.cfg.Wait)
	} else {
		req.Detail = api.DetailStatuses
		req.RevisionOnly = req.HasCatalogue
	}
	if len(req.Missing) > 0 || f.source.vacant() {
		req.Wait = min(req.Wait, shortWait)
	}
	req.Wait = time.Duration((1 - waitJitter*rand.Float64()) * float64(req.Wait))
	req.Seen, req.AllEntries = seen.next(req.Detail, f.haveRecords.Load())
}

// seenChanges is the number up to which a replica's changes were received, and in which
// detail.
type seenChanges struct {
	replied bool
	seq     uint64
	detail  api.Detail
}

// next returns the number from which the next call requests changes, and whether it requests
// the records of all entries.
//
// A replica that has sent statuses until now goes on from there when it becomes the source,
// if the process has had complete records from another: those that the other did not send are
// known by their statuses, and are requested one by one. Otherwise thousands of records would
// be sent to each of hundreds of entries when a replica is lost, or late, which makes the
// others late.
func (s *seenChanges) next(detail api.Detail, haveRecords bool) (seq uint64, allEntries bool) {
	becomesSource := detail == api.DetailRecords && s.detail != api.DetailRecords
	if s.detail == api.DetailNone || becomesSource && !haveRecords {
		return 0, false
	}
	return s.seq, becomesSource
}

// record records the reply to a call.
func (s *seenChanges) record(detail api.Detail, seq uint64) {
	*s = seenChanges{replied: true, seq: seq, detail: detail}
}
