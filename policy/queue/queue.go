package queue

import (
	"time"
)

// defaultWeight is the weight of a workspace without a configured one.
const defaultWeight = 1

// minIdleToDrop is how many idle flows beyond the number of active ones may
// exist before dropIdleFlows looks for some to drop.
const minIdleToDrop = 64

// Queue holds the requests that wait for a backend server. It shares starts
// between workspaces by weight, counted in tokens. It is not safe for concurrent
// use.
type Queue struct {
	cfg  Config
	byID map[string]*waiter

	flows   map[string]*flow
	byStart indexedHeap[flow] // flows with items, earliest virtual start first
	byLoad  indexedHeap[flow] // flows with items, most items for their weight first

	deadlines indexedHeap[waiter]
	expired   []Item // removed, not yet returned by Expired

	virtualTime  float64 // the largest virtual start time of a popped item
	tokens       int64
	activeWeight int64 // sum of the weights of flows with items
	sequence     uint64

	freeWaiters  []*waiter
	skippedFlows []*flow // scratch space of PopFunc
}

// New returns an empty queue, or a *policy.ConfigError if cfg is invalid.
func New(cfg Config) (*Queue, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Queue{
		cfg:       cfg,
		byID:      make(map[string]*waiter),
		flows:     make(map[string]*flow),
		byStart:   indexedHeap[flow]{less: earlierVirtualStart, index: readyIndex},
		byLoad:    indexedHeap[flow]{less: moreItemsForWeight, index: loadIndex},
		deadlines: indexedHeap[waiter]{less: earlierDeadline, index: deadlineIndex},
	}, nil
}

func earlierDeadline(a, b *waiter) bool {
	if !a.item.Deadline.Equal(b.item.Deadline) {
		return a.item.Deadline.Before(b.item.Deadline)
	}
	return a.sequence < b.sequence
}

// Push adds item to the queue, or returns why it is rejected. If the queue is
// full, the workspace with the most items for its weight, counting the new one,
// loses the newest item of its lowest class. Rejecting the new item instead
// would let one workspace fill the queue and lock out all others.
func (q *Queue) Push(now time.Time, item Item) Verdict {
	if item.ID == "" || item.Workspace == "" {
		return Verdict{Reason: Unnamed}
	}
	q.removeExpired(now)
	if item.expired(now) {
		return Verdict{Reason: AlreadyExpired}
	}
	if _, ok := q.byID[item.ID]; ok {
		return Verdict{Reason: DuplicateID}
	}
	e := q.insert(now, item)
	return q.enforceBounds(e)
}

// enforceBounds removes one item if e, just inserted, exceeds a bound of the
// queue, and returns the result of the push.
func (q *Queue) enforceBounds(e *waiter) Verdict {
	fullest, reason := e.flow, WorkspaceFull
	if e.flow.items <= q.cfg.MaxPerWorkspace {
		if len(q.byID) <= q.cfg.MaxItems {
			return Verdict{Accepted: true, Reason: Queued}
		}
		fullest, reason = q.byLoad.min(), TotalFull
	}
	victim := fullest.evictionCandidate()
	if victim == nil && !e.item.Resumed {
		victim = e
	}
	if victim == nil {
		return Verdict{Accepted: true, Reason: Queued}
	}
	if victim == e {
		q.removeWaiter(e)
		return Verdict{Reason: reason}
	}
	fullest.evictedItems++
	return Verdict{Accepted: true, Reason: QueuedByEviction, Evicted: []Item{q.removeWaiter(victim)}}
}

func (q *Queue) insert(now time.Time, item Item) *waiter {
	item.Cost = max(1, item.Cost)
	if item.Enqueued.IsZero() {
		item.Enqueued = now
	}
	f := q.flowOf(item.Workspace)
	if item.Weight > 0 {
		q.setWeight(f, int64(item.Weight))
	}
	e := q.newWaiter()
	q.sequence++
	e.item, e.flow, e.sequence = item, f, q.sequence
	e.rank = item.Class.Rank()
	e.effectiveDeadline = q.cfg.effectiveDeadline(&item)
	if item.Resumed {
		e.rank, e.effectiveDeadline = 0, time.Time{}
	}
	q.byID[item.ID] = e
	if !item.Deadline.IsZero() {
		q.deadlines.push(e)
	}
	q.tokens += item.Cost
	f.add(e)
	if f.items > 1 {
		q.byLoad.fix(f)
		return e
	}
	q.activate(f)
	return e
}

// activate adds a flow that has received its first item to the heaps. Its
// virtual start is at least the current virtual time: otherwise a workspace that
// was idle for hours could block all others while it catches up.
func (q *Queue) activate(f *flow) {
	f.virtualStart = max(f.virtualStart, q.virtualTime)
	q.activeWeight += f.weight
	q.byStart.push(f)
	q.byLoad.push(f)
}

// removeWaiter removes e from all indexes and returns its item; e is reused.
func (q *Queue) removeWaiter(e *waiter) Item {
	f, item := e.flow, e.item
	delete(q.byID, item.ID)
	if e.deadlineIndex >= 0 {
		q.deadlines.remove(e)
	}
	q.tokens -= item.Cost
	f.remove(e)
	if f.items == 0 {
		q.activeWeight -= f.weight
		q.byLoad.remove(f)
		if f.readyIndex >= 0 {
			q.byStart.remove(f)
		}
		f.agedDebt = 0
	} else {
		q.byLoad.fix(f)
	}
	*e = waiter{}
	q.freeWaiters = append(q.freeWaiters, e)
	return item
}

func (q *Queue) newWaiter() *waiter {
	var e *waiter
	if n := len(q.freeWaiters); n > 0 {
		e = q.freeWaiters[n-1]
		q.freeWaiters = q.freeWaiters[:n-1]
	} else {
		e = new(waiter)
	}
	e.classIndex, e.deadlineIndex = -1, -1
	return e
}

func (q *Queue) flowOf(workspace string) *flow {
	f, ok := q.flows[workspace]
	if !ok {
		q.dropIdleFlows()
		f = newFlow(workspace, q.virtualTime)
		f.weight = defaultWeight
		q.flows[workspace] = f
	}
	return f
}

// dropIdleFlows drops flows without items, so that memory does not grow with
// every workspace name. It drops those whose virtual start is not after the
// virtual time, since a new flow would get the same start, and all of them if
// the queue is empty.
func (q *Queue) dropIdleFlows() {
	if len(q.flows)-q.byStart.len() < minIdleToDrop+q.byStart.len() {
		return
	}
	for name, f := range q.flows {
		if f.items == 0 && (f.virtualStart <= q.virtualTime || len(q.byID) == 0) {
			delete(q.flows, name)
		}
	}
}

// Eligibility is the result of checking whether an item can run now.
type Eligibility uint8

// WorkspaceWaits and AllWait end the search early: all items that they cover
// would be rejected for the same reason.
const (
	Waits          Eligibility = iota // this item cannot run
	Runs                              // this item can run
	WorkspaceWaits                    // no item of its workspace can run
	AllWait                           // no item can run
)

// Pop removes and returns the item to run next among those for which eligible
// returns true; ok is false if there is none. It never calls eligible with an
// expired item. The other items keep their positions, and their workspace
// catches up later, within Config.MaxCredit. eligible must neither retain nor
// modify its argument.
//
// It takes logarithmic time in workspaces and items if the first items are
// eligible, and at worst calls eligible for every waiting item.
func (q *Queue) Pop(now time.Time, eligible func(*Item) bool) (item Item, ok bool) {
	return q.PopFunc(now, func(i *Item) Eligibility {
		if eligible(i) {
			return Runs
		}
		return Waits
	})
}

// PopFunc is like Pop, but eligibility can also end the search early.
func (q *Queue) PopFunc(now time.Time, eligibility func(*Item) Eligibility) (item Item, ok bool) {
	q.removeExpired(now)
	q.skippedFlows = q.skippedFlows[:0]
	s := search{now: now, cfg: &q.cfg, eligibility: eligibility}
	for f := q.byStart.min(); f != nil && s.lastResult != AllWait; f = q.byStart.min() {
		e, aged := f.next(&s)
		if e == nil {
			q.byStart.remove(f)
			q.skippedFlows = append(q.skippedFlows, f)
			continue
		}
		f.updateAgedDebt(e, aged, q.cfg.AgedShare)
		item, ok = q.serve(f, e), true
		break
	}
	for _, f := range q.skippedFlows {
		f.virtualStart = max(f.virtualStart, q.minVirtualStart(f))
		q.byStart.push(f)
	}
	return item, ok
}

// serve charges the flow for e and removes e.
func (q *Queue) serve(f *flow, e *waiter) Item {
	q.virtualTime = max(q.virtualTime, f.virtualStart)
	f.startedTokens += e.item.Cost
	f.virtualStart += (float64(e.item.Cost) + f.pendingCharge) / float64(f.weight)
	f.pendingCharge = 0
	item := q.removeWaiter(e)
	if f.items > 0 {
		q.byStart.fix(f)
	}
	return item
}

// minVirtualStart returns the earliest virtual start that f may have, which lets
// its workspace catch up by MaxCredit tokens.
func (q *Queue) minVirtualStart(f *flow) float64 {
	return q.virtualTime - float64(q.cfg.MaxCredit)/float64(f.weight)
}

// Charge corrects the cost of a workspace's popped items by extra tokens, which
// may be negative. Without it a caller that understates the length of its
// answers gets more than its share. The position of the workspace's next item
// does not change, since its admission was based on it.
func (q *Queue) Charge(workspace string, extra int64) {
	f := q.flowOf(workspace)
	f.startedTokens += extra
	if f.items > 0 {
		f.pendingCharge += float64(extra)
		return
	}
	f.virtualStart = max(f.virtualStart+float64(extra)/float64(f.weight), q.minVirtualStart(f))
}

// SetWeight sets the weight of a workspace; below 1 counts as 1.
func (q *Queue) SetWeight(workspace string, weight int) {
	q.setWeight(q.flowOf(workspace), int64(max(1, weight)))
}

func (q *Queue) setWeight(f *flow, weight int64) {
	if f.weight == weight {
		return
	}
	if f.items > 0 {
		q.activeWeight += weight - f.weight
	}
	f.weight = weight
	if f.loadIndex >= 0 {
		q.byLoad.fix(f)
	}
}

// Remove removes the item with this ID, for example because its caller has
// disconnected. It returns false if there is none.
func (q *Queue) Remove(id string) (Item, bool) {
	e, ok := q.byID[id]
	if !ok {
		return Item{}, false
	}
	return q.removeWaiter(e), true
}

// Expired returns the items whose deadline has passed since the last call, in
// order of their deadlines. They have been removed without running, and the
// caller has to answer their requests. Call it before Pop and at NextDeadline.
func (q *Queue) Expired(now time.Time) []Item {
	q.removeExpired(now)
	out := q.expired
	q.expired = nil
	return out
}

// removeExpired moves expired items to q.expired, so that they neither run nor
// count towards the bounds.
func (q *Queue) removeExpired(now time.Time) {
	for e := q.deadlines.min(); e != nil && e.item.expired(now); e = q.deadlines.min() {
		q.expired = append(q.expired, q.removeWaiter(e))
	}
}

// NextDeadline returns the earliest deadline of the waiting items; ok is false
// if none has a deadline.
func (q *Queue) NextDeadline() (deadline time.Time, ok bool) {
	if e := q.deadlines.min(); e != nil {
		return e.item.Deadline, true
	}
	return time.Time{}, false
}
