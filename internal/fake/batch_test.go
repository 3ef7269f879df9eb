package fake

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against slots that leak, slots granted twice and a free slot granted to
// a request that isn't next by priority and arrival.
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
					t.Skip("no tickets")
				}
				i := rapid.IntRange(0, len(tickets)-1).Draw(t, "who")
				hadSlot := isGranted(tickets[i])
				next := nextWaiting(tickets)
				b.release(tickets[i])
				tickets = append(tickets[:i], tickets[i+1:]...)
				if hadSlot && next != nil && !isGranted(next) {
					t.Fatalf("request %d of priority %d was not granted the free slot", next.arrival, next.priority)
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
		t.Fatalf("%d granted, %d running, %d waiting, %d tickets", granted, running, waiting, len(tickets))
	}
	if running != min(b.slots, len(tickets)) {
		t.Fatalf("%d of %d slots in use for %d requests", running, b.slots, len(tickets))
	}
}

// nextWaiting returns the waiting ticket that must get the next free slot, or nil.
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
