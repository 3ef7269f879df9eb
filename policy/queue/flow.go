package queue

import "time"

const numClasses = 3 // contract.Class.Rank returns 0, 1 or 2

// flow holds the waiting items of one workspace and its fair-queueing state.
type flow struct {
	workspace   string
	weight      int64
	classQueues [numClasses]classQueue
	items       int
	tokens      int64

	// virtualStart is the virtual start time of the workspace's next item, in
	// tokens per unit of weight.
	virtualStart float64

	// pendingCharge is the tokens that Charge has added while items wait. It
	// enters virtualStart when the next item is popped.
	pendingCharge float64

	// agedDebt is how many tokens have to start in the regular order before the
	// next aged item may start out of order.
	agedDebt float64

	startedTokens int64 // tokens of items that have been popped, as corrected by Charge
	evictedItems  int64 // items evicted to make room

	readyIndex int // in Queue.byStart; -1: not in it
	loadIndex  int // in Queue.byLoad; -1: not in it
}

// classQueue holds a workspace's items of one class, by effective deadline and by arrival.
type classQueue struct {
	byDeadline indexedHeap[waiter]
	oldest     *waiter
	newest     *waiter
	tokens     int64
}

func newFlow(workspace string, virtualStart float64) *flow {
	f := &flow{workspace: workspace, weight: 1, virtualStart: virtualStart, readyIndex: -1, loadIndex: -1}
	for i := range f.classQueues {
		f.classQueues[i].byDeadline = indexedHeap[waiter]{less: earlierEffectiveDeadline, index: classIndex}
	}
	return f
}

func earlierEffectiveDeadline(a, b *waiter) bool {
	if !a.effectiveDeadline.Equal(b.effectiveDeadline) {
		return a.effectiveDeadline.Before(b.effectiveDeadline)
	}
	return a.sequence < b.sequence
}

func classIndex(e *waiter) *int    { return &e.classIndex }
func deadlineIndex(e *waiter) *int { return &e.deadlineIndex }
func readyIndex(f *flow) *int      { return &f.readyIndex }
func loadIndex(f *flow) *int       { return &f.loadIndex }

func (f *flow) add(e *waiter) {
	l := &f.classQueues[e.rank]
	l.byDeadline.push(e)
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

func (f *flow) remove(e *waiter) {
	l := &f.classQueues[e.rank]
	l.byDeadline.remove(e)
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

// evictionCandidate returns the newest item of the lowest class that is not a
// resumed one, or nil if all are.
func (f *flow) evictionCandidate() *waiter {
	for rank := numClasses - 1; rank >= 0; rank-- {
		for e := f.classQueues[rank].newest; e != nil; e = e.older {
			if !e.item.Resumed {
				return e
			}
		}
	}
	return nil
}

// moreItemsForWeight orders flows by items per unit of weight, the largest first.
func moreItemsForWeight(a, b *flow) bool {
	left, right := int64(a.items)*b.weight, int64(b.items)*a.weight
	if left != right {
		return left > right
	}
	return a.workspace < b.workspace
}

func earlierVirtualStart(a, b *flow) bool {
	if a.virtualStart != b.virtualStart {
		return a.virtualStart < b.virtualStart
	}
	return a.workspace < b.workspace
}

// search is the state of one PopFunc call.
type search struct {
	now         time.Time
	cfg         *Config
	eligibility func(*Item) Eligibility
	lastResult  Eligibility // the latest result of eligibility
}

func (s *search) canRun(e *waiter) bool {
	s.lastResult = s.eligibility(&e.item)
	return s.lastResult == Runs
}

// skipsWorkspace reports whether no other item of the workspace can run either.
func (s *search) skipsWorkspace() bool { return s.lastResult >= WorkspaceWaits }

// next returns the flow's next item that can run, or nil. An aged item comes
// first if agedDebt has been worked off.
func (f *flow) next(s *search) (e *waiter, aged bool) {
	s.lastResult = Waits
	if f.agedDebt <= 0 {
		if e := f.nextAged(s); e != nil {
			return e, true
		}
	}
	for rank := range f.classQueues {
		if s.skipsWorkspace() {
			return nil, false
		}
		if e := f.classQueues[rank].next(s); e != nil {
			return e, false
		}
	}
	return nil, false
}

// nextAged returns the longest waiting item that can run, has waited for at
// least AgeAfter and has items of a more urgent class before it.
func (f *flow) nextAged(s *search) *waiter {
	var found *waiter
	moreUrgentWaits := f.classQueues[0].oldest != nil
	for rank := 1; rank < numClasses; rank++ {
		l := &f.classQueues[rank]
		if moreUrgentWaits && !s.skipsWorkspace() {
			found = longerWaiting(found, l.oldestAged(s))
		}
		moreUrgentWaits = moreUrgentWaits || l.oldest != nil
	}
	return found
}

func longerWaiting(a, b *waiter) *waiter {
	if a == nil || (b != nil && b.item.Enqueued.Before(a.item.Enqueued)) {
		return b
	}
	return a
}

// oldestAged returns the oldest item that can run and has waited for at least
// AgeAfter, or nil.
func (l *classQueue) oldestAged(s *search) *waiter {
	for e := l.oldest; e != nil && s.now.Sub(e.item.Enqueued) >= s.cfg.AgeAfter; e = e.newer {
		if s.canRun(e) {
			return e
		}
		if s.skipsWorkspace() {
			return nil
		}
	}
	return nil
}

// next returns the item with the earliest effective deadline that can run, or
// nil. If the head cannot run, it searches all other items, so that an item that
// can run does not wait behind one that cannot.
func (l *classQueue) next(s *search) *waiter {
	head := l.byDeadline.min()
	if head == nil {
		return nil
	}
	if s.canRun(head) {
		return head
	}
	var found *waiter
	for _, e := range l.byDeadline.elems[1:] {
		if s.skipsWorkspace() {
			break
		}
		if (found == nil || earlierEffectiveDeadline(e, found)) && s.canRun(e) {
			found = e
		}
	}
	return found
}

// updateAgedDebt accounts for the start of e; share is Config.AgedShare.
func (f *flow) updateAgedDebt(e *waiter, aged bool, share float64) {
	if aged {
		f.agedDebt = float64(e.item.Cost) * (1 - share) / share
		return
	}
	f.agedDebt = max(0, f.agedDebt-float64(e.item.Cost))
}
