package fake

import (
	"testing"

	"pgregory.net/rapid"
)

// Requests enter and leave a batch in any order. A slot that got lost on the way
// would make the engine smaller for good, one given twice would flatter it, and
// one given to the wrong request would make priorities mean nothing. Comparing
// no priorities in ticketHeap.Less breaks this test.
func TestBatchGrantsEverySlotByPriority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		b := newBatch(slots, 8)
		var tickets []*ticket
		t.Repeat(map[string]func(*rapid.T){
			"enter": func(t *rapid.T) {
				if ticket := b.reserve(rapid.IntRange(0, 2).Draw(t, "priority")); ticket != nil {
					tickets = append(tickets, ticket)
				}
			},
			"leave": func(t *rapid.T) {
				if len(tickets) == 0 {
					t.Skip("nobody is in")
				}
				i := rapid.IntRange(0, len(tickets)-1).Draw(t, "who")
				hadSlot := isGranted(tickets[i])
				next := nextWaiting(tickets)
				b.release(tickets[i])
				tickets = append(tickets[:i], tickets[i+1:]...)
				if hadSlot && next != nil && !isGranted(next) {
					t.Fatalf("request %d of priority %d was passed over", next.arrival, next.priority)
				}
			},
			"": func(t *rapid.T) { checkBatch(t, b, tickets) },
		})
	})
}

func checkBatch(t *rapid.T, b *batch, tickets []*ticket) {
	granted := 0
	for _, ticket := range tickets {
		if isGranted(ticket) {
			granted++
		}
	}
	running, waiting := b.counts()
	if granted != running || running+waiting != len(tickets) {
		t.Fatalf("%d granted, %d running, %d waiting, %d in", granted, running, waiting, len(tickets))
	}
	if running != min(b.slots, len(tickets)) {
		t.Fatalf("%d of %d slots run for %d requests", running, b.slots, len(tickets))
	}
}

// mostUrgent returns the waiting ticket that is due next, nil if none waits.
func nextWaiting(tickets []*ticket) *ticket {
	var next *ticket
	for _, t := range tickets {
		switch {
		case isGranted(t):
		case next == nil, t.priority < next.priority:
			next = t
		case t.priority == next.priority && t.arrival < next.arrival:
			next = t
		}
	}
	return next
}

func isGranted(t *ticket) bool {
	select {
	case <-t.granted:
		return true
	default:
		return false
	}
}
