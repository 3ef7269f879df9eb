package queue

import (
	"time"

	"savoryreel.example/savoryreel/contract"
)

// WorkspaceStats describes one workspace in the queue.
type WorkspaceStats struct {
	Workspace string
	Weight    int
	Items     int
	Tokens    int64     // of the waiting items
	Oldest    time.Time // arrival of the item that has waited longest; zero: none waits
	Started   int64     // tokens of popped items, as corrected by Charge
	Evicted   int64     // items that made room for others
	Share     float64   // its weight among the workspaces with waiting items; 0: none waits
}

// Len returns how many items wait.
func (q *Queue) Len() int { return len(q.byID) }

// Tokens returns the work of all waiting items, in tokens.
func (q *Queue) Tokens() int64 { return q.tokens }

// Stats describes a workspace; ok is false if the queue knows nothing of it.
// Counts start again when an idle workspace has been forgotten.
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

// Backlog is the work that a new item would wait behind.
type Backlog struct {
	// Ahead is the tokens of its own workspace, of its class or a more urgent
	// one, and what the workspace has had lately beyond its share.
	Ahead           int64
	Total           int64   // tokens of all waiting items
	Waiting         int     // items among Ahead
	OtherWorkspaces int     // other workspaces with waiting items: each may start one first
	Share           float64 // the workspace's part of the service while all of them wait, 0..1

	// The rest is filled in by Starter.Backlog.

	LastingShare float64 // the part of the service while all workspaces ask for theirs that have lately, 0..1; 0 counts as Share
	Starts       bool    // it would start at once, whatever waits
	Held         bool    // it would not start even as the first of the queue, since the free slots are kept for others
}

// Backlog returns what a new item of this workspace, class and weight would
// wait behind. Weight 0 takes the weight that is known.
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
