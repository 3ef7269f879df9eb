package queue

import "time"

const classes = 3 // contract.Class.Rank returns 0, 1 or 2

// flow is one workspace's part of the queue.
type flow struct {
	workspace string
	weight    int64
	lanes     [classes]lane
	items     int
	tokens    int64

	// start is the virtual time at which the workspace's next item would
	// start, in tokens per unit of weight.
	start float64

	// owed is what Charge has added since the next item took its place.
	owed float64

	// repay is how many tokens of more urgent classes have to start before the
	// next aged item may start ahead of them.
	repay float64

	started int64 // tokens of items that have been popped, as corrected by Charge
	evicted int64 // items that made room for others

	readyIndex int // in Queue.ready; -1: nothing waits
	loadIndex  int // in Queue.load; -1: nothing waits
}

// lane holds the items of one class, by urgency and by arrival.
type lane struct {
	byUrgency indexedHeap[waiter]
	oldest    *waiter
	newest    *waiter
	tokens    int64
}

func newFlow(workspace string, start float64) *flow {
	f := &flow{workspace: workspace, weight: 1, start: start, readyIndex: -1, loadIndex: -1}
	for i := range f.lanes {
		f.lanes[i].byUrgency = indexedHeap[waiter]{less: moreUrgent, index: laneIndex}
	}
	return f
}

func moreUrgent(a, b *waiter) bool {
	if !a.urgency.Equal(b.urgency) {
		return a.urgency.Before(b.urgency)
	}
	return a.sequence < b.sequence
}

func laneIndex(e *waiter) *int     { return &e.laneIndex }
func deadlineIndex(e *waiter) *int { return &e.deadlineIndex }
func readyIndex(f *flow) *int      { return &f.readyIndex }
func loadIndex(f *flow) *int       { return &f.loadIndex }

func (f *flow) add(e *waiter) {
	l := &f.lanes[e.rank]
	l.byUrgency.push(e)
	e.older = l.newest
	if l.newest != nil {
		l.newest.newer = e
	} else {
		l.oldest = e
	}
	l.newest = e
	l.tokens += e.item.Cost
	f.items++
	f.tokens += e.item.Cost
}

func (f *flow) drop(e *waiter) {
	l := &f.lanes[e.rank]
	l.byUrgency.remove(e)
	if e.older != nil {
		e.older.newer = e.newer
	} else {
		l.oldest = e.newer
	}
	if e.newer != nil {
		e.newer.older = e.older
	} else {
		l.newest = e.older
	}
	e.older, e.newer = nil, nil
	l.tokens -= e.item.Cost
	f.items--
	f.tokens -= e.item.Cost
}

// least returns the item that the workspace can best do without: the newest
// of its lowest class, or nil if it holds resumed items only.
func (f *flow) least() *waiter {
	for rank := classes - 1; rank >= 0; rank-- {
		for e := f.lanes[rank].newest; e != nil; e = e.older {
			if !e.item.Resumed {
				return e
			}
		}
	}
	return nil
}

// overShare orders flows by what they hold for their weight, the largest first.
func overShare(a, b *flow) bool {
	left, right := int64(a.items)*b.weight, int64(b.items)*a.weight
	if left != right {
		return left > right
	}
	return a.workspace < b.workspace
}

func startsEarlier(a, b *flow) bool {
	if a.start != b.start {
		return a.start < b.start
	}
	return a.workspace < b.workspace
}

// search is one look for an item that can run.
type search struct {
	now   time.Time
	cfg   *Config
	judge func(*Item) Eligibility
	last  Eligibility // what judge said last
}

func (s *search) runs(e *waiter) bool {
	s.last = s.judge(&e.item)
	return s.last == Runs
}

// over reports whether the rest of the workspace need not be searched.
func (s *search) over() bool { return s.last >= WorkspaceWaits }

// pick returns the flow's next item that can run, or nil. An aged item of a
// lower class comes first if the workspace's more urgent work has been repaid
// for the last one.
func (f *flow) pick(s *search) (e *waiter, aged bool) {
	s.last = Waits
	if f.repay <= 0 {
		if e := f.pickAged(s); e != nil {
			return e, true
		}
	}
	for rank := range f.lanes {
		if s.over() {
			return nil, false
		}
		if e := f.lanes[rank].pick(s); e != nil {
			return e, false
		}
	}
	return nil, false
}

// pickAged returns the longest waiting item that can run among those that more
// urgent classes hold up and that have waited for AgeAfter.
func (f *flow) pickAged(s *search) *waiter {
	var found *waiter
	waiting := f.lanes[0].oldest != nil
	for rank := 1; rank < classes; rank++ {
		l := &f.lanes[rank]
		if waiting && !s.over() {
			found = longerWaiting(found, l.aged(s))
		}
		waiting = waiting || l.oldest != nil
	}
	return found
}

func longerWaiting(a, b *waiter) *waiter {
	if a == nil || (b != nil && b.item.Enqueued.Before(a.item.Enqueued)) {
		return b
	}
	return a
}

// aged returns the first item, by arrival, that can run and has waited for
// AgeAfter.
func (l *lane) aged(s *search) *waiter {
	for e := l.oldest; e != nil && s.now.Sub(e.item.Enqueued) >= s.cfg.AgeAfter; e = e.newer {
		if s.runs(e) {
			return e
		}
		if s.over() {
			return nil
		}
	}
	return nil
}

// pick returns the most urgent item that can run. The head almost always can;
// past it the lane is searched in full, since work that can run must not wait
// behind work that cannot.
func (l *lane) pick(s *search) *waiter {
	head := l.byUrgency.min()
	if head == nil {
		return nil
	}
	if s.runs(head) {
		return head
	}
	var found *waiter
	for _, e := range l.byUrgency.elems[1:] {
		if s.over() {
			break
		}
		if (found == nil || moreUrgent(e, found)) && s.runs(e) {
			found = e
		}
	}
	return found
}

// settleAged keeps the account of aged starts after item e was picked.
func (f *flow) settleAged(e *waiter, aged bool, share float64) {
	if aged {
		f.repay = float64(e.item.Cost) * (1 - share) / share
		return
	}
	f.repay = max(0, f.repay-float64(e.item.Cost))
}
