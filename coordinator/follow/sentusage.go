package follow

import "savoryreel.example/savoryreel/coordinator/api"

// sentUsage records the usage that one incarnation of a replica has received from this
// process, so that only changed counts are sent. With hundreds of entries, unchanged counts
// would otherwise be most of what a replica reads.
//
// A restarted replica ignores the usage in a request that carries its previous incarnation.
// Its reply carries the new incarnation, after which all usage is sent again.
type sentUsage struct {
	incarnation      uint64
	requestsByWindow map[int64]int64
}

// trimUsage removes from req the usage that this incarnation of the replica has received.
func (s *sentUsage) trimUsage(req *api.WatchRequest) {
	if req.Incarnation != s.incarnation || s.requestsByWindow == nil {
		*s = sentUsage{incarnation: req.Incarnation, requestsByWindow: make(map[int64]int64)}
	}
	var usage []api.WindowUsage
	for _, w := range req.Usage {
		if sentTotal, known := s.requestsByWindow[w.Window]; !known || sentTotal != totalRequests(w) {
			usage = append(usage, w)
		}
	}
	req.Usage = usage
}

// record records that the replica has replied to req, and drops windows that are too old to
// be sent again.
func (s *sentUsage) record(req *api.WatchRequest) {
	for _, w := range req.Usage {
		s.requestsByWindow[w.Window] = totalRequests(w)
	}
	for w := range s.requestsByWindow {
		if w < req.OpenWindow-maxWindows {
			delete(s.requestsByWindow, w)
		}
	}
}

// maxWindows is how many windows before the open one are recorded. It exceeds the number of
// windows that a process reports.
const maxWindows = 100

// totalRequests returns the number of requests in a window over all workspaces. Counts never
// decrease, so equal totals imply equal counts.
func totalRequests(w api.WindowUsage) int64 {
	var n int64
	for _, c := range w.Counts {
		n += c
	}
	return n
}
