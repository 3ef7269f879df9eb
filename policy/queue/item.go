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
	Weight    int       // weight of the workspace, as of its latest push; 0 leaves it unchanged
	Cost      int64     // estimated tokens of prompt and answer; below 1 counts as 1
	Deadline  time.Time // zero: none
	Enqueued  time.Time // zero: the time of the push

	// Resumed marks a request that was accepted earlier: handed over by another
	// entry, or started on a backend server that has failed. It is ordered
	// before the workspace's other items and exempt from all bounds, since an
	// accepted request has to be answered.
	Resumed bool
}

// expired reports whether the deadline has passed at now.
func (i *Item) expired(now time.Time) bool {
	return !i.Deadline.IsZero() && !now.Before(i.Deadline)
}

// Reason is why Push accepted or rejected an item.
type Reason uint8

// Reasons of a Verdict.
const (
	Queued           Reason = iota // the queue is within its bounds
	QueuedByEviction               // the item in Evicted was removed to make room
	WorkspaceFull                  // the workspace is at MaxPerWorkspace and the item is its least urgent
	TotalFull                      // the queue is at MaxItems and the item's workspace has the most items for its weight
	AlreadyExpired                 // the deadline had passed before the push
	DuplicateID                    // an item with this ID is already in the queue
	Unnamed                        // the item has no workspace or no ID
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

// String returns the reason for logs.
func (r Reason) String() string {
	if int(r) >= len(reasonNames) {
		return "unknown"
	}
	return reasonNames[r]
}

// Verdict is the result of Push. An item in Evicted has been removed from the
// queue without running; the caller of Push has to answer its request.
type Verdict struct {
	Accepted bool
	Reason   Reason
	Evicted  []Item // at most one
}

// waiter is an Item in the queue with its positions in the queue's indexes.
type waiter struct {
	item              Item
	flow              *flow
	rank              int       // index into flow.classQueues
	effectiveDeadline time.Time // see Config.effectiveDeadline
	sequence          uint64    // order of pushes; breaks ties

	classIndex    int // in classQueue.byDeadline
	deadlineIndex int // in Queue.deadlines; -1: no deadline

	newer, older *waiter // neighbours in the class queue's order of arrival
}
