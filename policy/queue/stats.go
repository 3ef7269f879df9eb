package queue

import (
	"time"

	"savoryreel.example/savoryreel/contract"
)

// WorkspaceStats is the state of one workspace in the queue.
type WorkspaceStats struct {
	Workspace string
	Weight    int
	Items     int
	Tokens    int64     // of the waiting items
	Oldest    time.Time // arrival of the oldest waiting item; zero: none waits
	Started   int64     // tokens of popped items, as corrected by Charge
	Evicted   int64     // number of items evicted to make room
	Share     float64   // fraction of the weights of all workspaces with waiting items; 0: none waits
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.byID) }

// Tokens returns the sum of the waiting items' costs, in tokens.
func (q *Queue) Tokens() int64 { return q.tokens }

// Stats returns the state of a workspace; ok is false if the queue has no flow
// for it. Its counters restart at 0 after an idle flow has been dropped.
func (q *Queue) Stats(workspace string) (stats WorkspaceStats, ok bool) {
	f, ok := q.flows[workspace]
	if !ok {
		return WorkspaceStats{Workspace: workspace}, false
	}
	stats = WorkspaceStats{
		Workspace: workspace,
		Weight:    int(f.weight),
		Items:     f.items,
		Tokens:    f.tokens,
		Oldest:    f.oldest(),
		Started:   f.startedTokens,
		Evicted:   f.evictedItems,
	}
	if f.items > 0 {
		stats.Share = float64(f.weight) / float64(q.activeWeight)
	}
	return stats, true
}

func (f *flow) oldest() time.Time {
	var oldest time.Time
	for i := range f.classQueues {
		e := f.classQueues[i].oldest
		if e != nil && (oldest.IsZero() || e.item.Enqueued.Before(oldest)) {
			oldest = e.item.Enqueued
		}
	}
	return oldest
}

// Backlog is the work that would start before a new item.
type Backlog struct {
	// Ahead is the waiting tokens of its own workspace, in its class or a more
	// urgent one, plus the tokens that the workspace has run beyond its share.
	Ahead           int64
	Total           int64   // tokens of all waiting items
	Waiting         int     // number of items in Ahead
	OtherWorkspaces int     // number of other workspaces with waiting items; each may start one item first
	Share           float64 // the workspace's fraction of the service while all of them wait, 0..1

	// The fields below are set only by Starter.Backlog.

	LastingShare float64 // result of Starter.Share, 0..1; 0: use Share
	Starts       bool    // the item would start at once
	Held         bool    // the item would not start even if it were first, since the free slots are reserved for others
}

// Backlog returns the work that would start before a new item of this workspace,
// class and weight. Weight 0 uses the workspace's present weight.
func (q *Queue) Backlog(workspace string, class contract.Class, weight int) Backlog {
	b := Backlog{Total: q.tokens}
	ownWeight, otherWeight := int64(defaultWeight), q.activeWeight
	b.OtherWorkspaces = q.byStart.len()
	if f, ok := q.flows[workspace]; ok {
		ownWeight = f.weight
		if f.items > 0 {
			otherWeight -= f.weight
			b.OtherWorkspaces--
		}
		b.Ahead = int64(max(0, f.virtualStart-q.virtualTime) * float64(f.weight))
		for rank := 0; rank <= class.Rank(); rank++ {
			b.Ahead += f.classQueues[rank].tokens
			b.Waiting += f.classQueues[rank].byDeadline.len()
		}
	}
	if weight > 0 {
		ownWeight = int64(weight)
	}
	b.Share = float64(ownWeight) / float64(ownWeight+otherWeight)
	return b
}
