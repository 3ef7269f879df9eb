package follow

import "savoryreel.example/savoryreel/coordinator/api"

// said is what one life of a replica has been told of this process's counts, so that
// it is not told again: with some hundred entries, most of what a replica reads would be
// counts that have not changed since the last call.
//
// A replica that starts anew knows nothing of it. It leaves such a call's counts aside,
// since the call names the life before, and its reply brings the new life.
type sentUsage struct {
	incarnation      uint64
	requestsByWindow map[int64]int64 // requests by window
}

// trim takes from a call to a life of a replica what it has been told.
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

// note takes that a call was answered.
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

// mostWindows is for how many windows back it is kept what was told: more than any site
// has to report.
const maxWindows = 100

// total is how many requests were counted in a window. Counts only grow, so equal totals
// are equal counts.
func totalRequests(w api.WindowUsage) int64 {
	var n int64
	for _, c := range w.Counts {
		n += c
	}
	return n
}
