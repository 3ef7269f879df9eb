package retry

import "time"

// windowSlots is the number of slots in which a budget counts one window. Windows are counted
// as up to one slot longer for repeats, and shorter for first attempts, than they are.
const windowSlots = 40

// minWindow makes a slot at least a nanosecond long.
const minWindow = windowSlots * time.Nanosecond

// budget counts the first attempts and repeats of one workspace or one service at this entry,
// and bounds the repeats.
//
// In every window the repeats are at most the slack and Ratio times the mean of the first
// attempts in this window and in the one before. The bounds of several entries therefore add
// up to a bound of the same form: the mean is linear in the counts, as the larger of the two
// would not be, and never above the larger one.
type budget struct {
	firsts  [2 * windowSlots]uint32 // a ring, by slot
	repeats [windowSlots + 1]uint32 // a ring, by slot
	slot    int64                   // the current slot
}

// clock numbers the slots by the time since its first use. The time of day, which may jump, is
// not used.
type clock struct {
	origin time.Time
}

// slotAt returns the number of the slot that contains now. The first ones are numbered so that
// all slots that a budget looks back to have positive numbers.
func (c *clock) slotAt(now time.Time, window time.Duration) int64 {
	if c.origin.IsZero() {
		c.origin = now
	}
	return max(0, 2*windowSlots+int64(now.Sub(c.origin)/(window/windowSlots)))
}

// advance makes a slot the current one, unless a later one is.
func (b *budget) advance(slot int64) {
	if slot-b.slot >= int64(len(b.firsts)) {
		*b = budget{slot: slot}
		return
	}
	for b.slot < slot {
		b.slot++
		b.firsts[ring(b.slot, len(b.firsts))] = 0
		b.repeats[ring(b.slot, len(b.repeats))] = 0
	}
}

// ring returns the index of a slot in a ring of the given length.
func ring(slot int64, length int) int { return int(slot % int64(length)) }

// recordFirst counts a first attempt in a slot, which may be an earlier one than the current.
func (b *budget) recordFirst(slot int64) {
	b.advance(slot)
	if b.slot-slot < int64(len(b.firsts)) {
		b.firsts[ring(slot, len(b.firsts))]++
	}
}

func (b *budget) recordRepeat(slot int64) {
	b.advance(slot)
	b.repeats[ring(b.slot, len(b.repeats))]++
}

// unused reports whether nothing is counted.
func (b *budget) unused(slot int64) bool {
	b.advance(slot)
	return b.firsts == [2 * windowSlots]uint32{} && b.repeats == [windowSlots + 1]uint32{}
}

// allows reports whether one more repeat leaves every window that contains a slot within its
// bound, slack and ratio times the first attempts, and the reserved fraction of the bound unused.
//
// Of a window that starts within some slot, at most the repeats from that slot on lie in it. Of
// it and the window before it, at least the first attempts from the next slot on, one window
// earlier, lie in them. First attempts to come can only raise the bound, and each repeat to come
// is checked itself.
func (b *budget) allows(slot int64, slack, ratio, reserveFraction float64) bool {
	b.advance(slot)
	firsts, repeats := uint32(0), uint32(1)
	for s := b.slot; s > b.slot-windowSlots+1; s-- {
		firsts += b.firsts[ring(s, len(b.firsts))]
	}
	for start := b.slot; start >= b.slot-windowSlots; start-- {
		repeats += b.repeats[ring(start, len(b.repeats))]
		firsts += b.firsts[ring(start-windowSlots+1, len(b.firsts))]
		bound := slack + ratio*float64(firsts)/2
		if float64(repeats) > (1-reserveFraction)*bound+roundingTolerance {
			return false
		}
	}
	return true
}

// roundingTolerance allows a repeat whose bound is a whole number but for rounding.
const roundingTolerance = 1e-9
