package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// processorTime is what this process has used of all cores, user and system.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0 // cannot fail for the calling process
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// idlePeriod is how long meter watches a system that does nothing else.
const idlePeriod = time.Second

// meter is the processor time of one piece of work, less what the system around
// it uses all the time for its own timers.
type meter struct {
	idle    float64 // cores
	began   time.Time
	used    time.Duration
	objects uint64
}

func newMeter() *meter {
	m := &meter{}
	m.start()
	<-time.After(idlePeriod)
	m.idle = (processorTime() - m.used).Seconds() / time.Since(m.began).Seconds()
	m.start()
	return m
}

func (m *meter) start() {
	m.objects = allocatedObjects()
	m.began, m.used = time.Now(), processorTime()
}

// perUnit is the processor time of one of n units of work since start, in
// microseconds.
func (m *meter) perUnit(n int) float64 {
	used := (processorTime() - m.used).Seconds() - m.idle*time.Since(m.began).Seconds()
	return used * 1e6 / float64(n)
}

// objectsPerUnit is how many heap objects one of n units of work allocated.
func (m *meter) objectsPerUnit(n int) float64 {
	return float64(allocatedObjects()-m.objects) / float64(n)
}

func allocatedObjects() uint64 {
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.Mallocs
}

// memoryInUse is what live objects and stacks take, in bytes.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC() // the second frees what finalizers and pools held through the first
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc + s.StackInuse)
}
