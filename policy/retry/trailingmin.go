package retry

import (
	"math"
	"time"
)

// trailingMin is the smallest of the values that a quantity has had within a window. It is 0
// before the first one.
type trailingMin struct {
	changes []change // the first may lie before the window: its value held at the start of it
}

// change is a new value.
type change struct {
	at    time.Time
	value float64
}

// set changes the value.
func (m *trailingMin) set(now time.Time, value float64, window time.Duration) {
	if n := len(m.changes); n > 0 && m.changes[n-1].value == value {
		return
	}
	if len(m.changes) == 0 {
		m.changes = append(m.changes, change{at: now, value: 0})
	}
	m.changes = append(m.changes, change{at: now, value: value})
	m.expire(now, window)
}

// get returns the smallest value within the window that ends now.
func (m *trailingMin) get(now time.Time, window time.Duration) float64 {
	m.expire(now, window)
	if len(m.changes) == 0 {
		return 0
	}
	smallest := math.Inf(1)
	for _, c := range m.changes {
		smallest = min(smallest, c.value)
	}
	return smallest
}

// expire drops the values that were replaced before the window.
func (m *trailingMin) expire(now time.Time, window time.Duration) {
	for len(m.changes) > 1 && now.Sub(m.changes[1].at) > window {
		m.changes = m.changes[1:]
	}
}
