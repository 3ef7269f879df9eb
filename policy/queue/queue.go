package queue

import (
	"time"
)

// defaultWeight is the weight of a workspace that nobody has set one for.
const defaultWeight = 1

// minIdleToDrop is how many workspaces without items are kept before those that
// no longer matter to fairness are forgotten.
const minIdleToDrop = 64

// Queue holds the requests that wait for a backend server. Between workspaces
// it is fair by weight in tokens of work; see the package's comment for the
// pattern of load it answers. It is not safe for concurrent use.
type Queue struct {
	cfg  Config
	byID map[string]*waiter

	flows   map[string]*flow
	byStart indexedHeap[flow] // flows with items, earliest virtual start first
	byLoad  indexedHeap[flow] // flows with items, furthest over its share first

	deadlines indexedHeap[waiter]
	expired   []Item // taken out, not yet collected by Expired

	virtualTime  float64 // the largest virtual start of any item popped
	tokens       int64
	activeWeight int64 // sum of the weights of flows with items
	sequence     uint64

	freeWaiters  []*waiter
	skippedFlows []*flow // scratch of Pop
}

// New returns an empty queue, or the *policy.ConfigError of an invalid cfg.
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

// Push puts item in the queue, or says why not. When the queue is full, the
// workspace that holds most for its weight, with the new item counted, loses
// the newest item of its lowest class. Turning away whoever comes last instead
// would let one workspace fill the queue and shut out all others: they would
// see refusals although they ask for less than their share.
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

// enforceBounds takes out one item if e has put the queue over a enforceBounds.
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

// activate enters a flow that has its first item. A workspace that was idle
// starts at the present virtual time: idle time earns no credit, or a workspace
// that was idle for hours could hold up all others for as long.
func (q *Queue) activate(f *flow) {
	f.virtualStart = max(f.virtualStart, q.virtualTime)
	q.activeWeight += f.weight
	q.byStart.push(f)
	q.byLoad.push(f)
}

// removeWaiter removes e from all indexes and returns its item.
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

// dropIdleFlows drops flows without items whose virtual start is past, since a new
// flow in their place would get the same start, and all of them if nothing
// waits, since then no workspace has had its service at the cost of another.
// Without it, every workspace name that was ever seen would stay in memory.
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

// Eligibility says whether an item can run now.
type Eligibility uint8

// The eligibilities. WorkspaceWaits and AllWait spare the search of items that
// would be turned down for the same reason.
const (
	Waits          Eligibility = iota // not this item
	Runs                              // this item
	WorkspaceWaits                    // no item of its workspace
	AllWait                           // no item at all
)

// Pop takes out the item to run next among those that eligible accepts; ok is
// false if there is none. It returns an item whenever any eligible one waits,
// and calls eligible for no item that has expired. Items that eligible turns
// down keep their places, and their workspace catches up later, within
// Config.MaxCredit. eligible must neither keep nor change its argument.
//
// Cost: logarithmic in workspaces and items if the heads are eligible; at worst
// one call of eligible for each item that waits.
func (q *Queue) Pop(now time.Time, eligible func(*Item) bool) (item Item, ok bool) {
	return q.PopFunc(now, func(i *Item) Eligibility {
		if eligible(i) {
			return Runs
		}
		return Waits
	})
}

// PopFunc is Pop for a caller that knows why an item cannot run.
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

// serve charges the flow for e and takes e out.
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

// minVirtualStart is the minVirtualStart virtual start that f may have: MaxCredit tokens
// behind the present, for its weight.
func (q *Queue) minVirtualStart(f *flow) float64 {
	return q.virtualTime - float64(q.cfg.MaxCredit)/float64(f.weight)
}

// Charge corrects what a workspace has been charged: extra tokens beyond the
// estimates of its popped items, or fewer if negative. Without it a caller that
// understates its answers' length takes more than its share. The item that is
// next keeps its place: it was let in on the strength of it.
func (q *Queue) Charge(workspace string, extra int64) {
	f := q.flowOf(workspace)
	f.startedTokens += extra
	if f.items > 0 {
		f.pendingCharge += float64(extra)
		return
	}
	f.virtualStart = max(f.virtualStart+float64(extra)/float64(f.weight), q.minVirtualStart(f))
}

// SetWeight sets a workspace's share among workspaces; below 1 counts as 1.
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

// Remove takes out the item with this ID, as when its caller has gone away.
func (q *Queue) Remove(id string) (Item, bool) {
	e, ok := q.byID[id]
	if !ok {
		return Item{}, false
	}
	return q.removeWaiter(e), true
}

// Expired returns the items whose deadline has passed since the last call, by
// deadline. They have not run and never will; each caller is owed its final
// answer at once. Call it before Pop and at NextDeadline.
func (q *Queue) Expired(now time.Time) []Item {
	q.removeExpired(now)
	out := q.expired
	q.expired = nil
	return out
}

// removeExpired takes expired items out, so that none of them costs a backend server
// work that nobody waits for, or a place in the queue.
func (q *Queue) removeExpired(now time.Time) {
	for e := q.deadlines.min(); e != nil && e.item.expired(now); e = q.deadlines.min() {
		q.expired = append(q.expired, q.removeWaiter(e))
	}
}

// NextDeadline returns the earliest deadline of a waiting item; ok is false if
// none has one.
func (q *Queue) NextDeadline() (deadline time.Time, ok bool) {
	if e := q.deadlines.min(); e != nil {
		return e.item.Deadline, true
	}
	return time.Time{}, false
}
