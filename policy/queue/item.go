package queue

import (
	"time"

	"savoryreel.example/savoryreel/contract"
)

// Item is one waiting request.
type Item struct {
	ID        string // unique among the items in the queue
	Workspace string
	Service   string
	Class     contract.Class
	Weight    int       // the workspace's share among workspaces; the latest push decides; 0 keeps what is known
	Cost      int64     // estimated work in tokens, prompt and answer; below 1 counts as 1
	Deadline  time.Time // zero: none
	Enqueued  time.Time // zero: the time of the push

	// Resumed marks a request that was accepted before: handed over by another
	// entry, or begun on a backend server that has gone. It goes ahead of the
	// workspace's other items and no bound turns it away, since an accepted
	// request has to be answered.
	Resumed bool
}

// expired reports whether an answer could no longer be used at now.
func (i *Item) expired(now time.Time) bool {
	return !i.Deadline.IsZero() && !now.Before(i.Deadline)
}

// Reason says why Push took an item or turned it away.
type Reason uint8

// The reasons of a Verdict.
const (
	Queued           Reason = iota // there was room
	QueuedByEviction               // there was room once the item in Evicted had left
	WorkspaceFull                  // the workspace is at its own bound and the item is its least urgent
	TotalFull                      // the queue is full and the item's workspace is the furthest over its share
	AlreadyExpired                 // the deadline had passed before the push
	DuplicateID                    // an item with this ID waits already
	Unnamed                        // the item names no workspace or has no ID
)

var reasonNames = [...]string{
	Queued:           "queued",
	QueuedByEviction: "queued_by_eviction",
	WorkspaceFull:    "workspace_full",
	TotalFull:        "total_full",
	AlreadyExpired:   "already_expired",
	DuplicateID:      "duplicate_id",
	Unnamed:          "unnamed",
}

// String returns the reason as it stands in logs.
func (r Reason) String() string {
	if int(r) >= len(reasonNames) {
		return "unknown"
	}
	return reasonNames[r]
}

// Verdict is what Push decided. An item in Evicted waited before and has left
// the queue without running: its caller is owed its final answer, not run, at
// once.
type Verdict struct {
	Accepted bool
	Reason   Reason
	Evicted  []Item // at most one
}

// waiter is an Item in the queue with its places in the queue's indexes.
type waiter struct {
	item              Item
	flow              *flow
	rank              int       // index into flow.lanes
	effectiveDeadline time.Time // place within the lane, see Config.urgency
	sequence          uint64    // order of pushes, breaks ties

	classIndex    int // in lane.byUrgency
	deadlineIndex int // in Queue.deadlines; -1: no deadline

	newer, older *waiter // neighbours in the lane's order of arrival
}
