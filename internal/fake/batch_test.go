package fake

import (
	"testing"

	"pgregory.net/rapid"
)

// Requests enter and leave a batch in any order. A slot that got lost on the way
// would make the engine smaller for good; one given twice would flatter it.
func TestBatchKeepsItsSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		b := newBatch(slots, 8)
		var held []*ticket
		t.Repeat(map[string]func(*rapid.T){
			"enter": func(t *rapid.T) {
				if ticket := b.enter(rapid.IntRange(0, 2).Draw(t, "priority")); ticket != nil {
					held = append(held, ticket)
				}
			},
			"leave": func(t *rapid.T) {
				if len(held) == 0 {
					t.Skip("nobody is in")
				}
				i := rapid.IntRange(0, len(held)-1).Draw(t, "who")
				b.leave(held[i])
				held = append(held[:i], held[i+1:]...)
			},
			"": func(t *rapid.T) { checkBatch(t, b, held) },
		})
	})
}

func checkBatch(t *rapid.T, b *batch, held []*ticket) {
	granted := 0
	for _, ticket := range held {
		if isGranted(ticket) {
			granted++
		}
	}
	running, waiting := b.counts()
	if granted != running || running+waiting != len(held) {
		t.Fatalf("%d granted, %d running, %d waiting, %d in", granted, running, waiting, len(held))
	}
	if running != min(b.slots, len(held)) {
		t.Fatalf("%d of %d slots run for %d requests", running, b.slots, len(held))
	}
	for _, waits := range held {
		for _, runs := range held {
			later := runs.arrival > waits.arrival && runs.priority >= waits.priority
			if !isGranted(waits) && isGranted(runs) && later {
				t.Fatalf("request %d overtook the more urgent %d", runs.arrival, waits.arrival)
			}
		}
	}
}

func isGranted(t *ticket) bool {
	select {
	case <-t.granted:
		return true
	default:
		return false
	}
}
