package daemon

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

const (
	// idleGCPercent keeps the heap of a process small that rarely collects garbage.
	idleGCPercent = 50
	// busyGCPercent halves the collections of a process that often does.
	busyGCPercent = 100
	// busyCycles is the number of collections per gcCheckInterval from which a process is busy.
	// An idle one that reaches it has half as many once it counts as busy, and stays busy.
	busyCycles      = 4
	stillBusyCycles = busyCycles / 2
	gcCheckInterval = 2 * time.Second
)

// memoryLimitFraction is the fraction of the process's memory that is set as the soft limit
// of the Go runtime. The platform kills a process that exceeds its memory.
const memoryLimitFraction = 0.6

// LimitMemory sets the soft limit of the Go runtime by the memory that the process may use, in bytes; 0: unknown.
func LimitMemory(bytes int64) {
	if bytes > 0 {
		debug.SetMemoryLimit(int64(float64(bytes) * memoryLimitFraction))
	}
}

// TuneGC adapts how much garbage the Go runtime lets accumulate, until ctx ends. Hundreds of
// instances with a small processor hold a copy of the fleet's state that hardly changes: there
// memory costs more than collections, while a busy process would spend its processor on them.
func TuneGC(ctx context.Context) error {
	percent := idleGCPercent
	debug.SetGCPercent(percent)
	defer debug.SetGCPercent(busyGCPercent)
	last := gcCycles()
	return Every(ctx, gcCheckInterval, func() {
		cycles := gcCycles()
		if next := gcPercent(percent, cycles-last); next != percent {
			percent = next
			debug.SetGCPercent(percent)
		}
		last = cycles
	})
}

// gcPercent returns the next percentage for a process with this number of collections within
// gcCheckInterval.
func gcPercent(current int, cycles uint64) int {
	threshold := uint64(busyCycles)
	if current == busyGCPercent {
		threshold = stillBusyCycles
	}
	if cycles >= threshold {
		return busyGCPercent
	}
	return idleGCPercent
}

// gcCycles returns the number of collections since the start of the process.
func gcCycles() uint64 {
	sample := []metrics.Sample{{Name: "/gc/cycles/automatic:gc-cycles"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}
