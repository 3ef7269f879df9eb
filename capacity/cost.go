package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// processorTime is what this process has used of all cores, user and system.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0 // cannot fail for the calling process
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// idlePeriod is how long meter watches a system that does nothing else.
const idleWindow = time.Second

// meter is the processor time of one piece of work, less what the system around
// it uses all the time for its own timers.
type cpuMeter struct {
	idleCores      float64 // cores
	startTime      time.Time
	cpuAtStart     time.Duration
	objectsAtStart uint64
}

func newCPUMeter() *cpuMeter {
	m := &cpuMeter{}
	m.start()
	<-time.After(idleWindow)
	m.idleCores = (cpuTime() - m.cpuAtStart).Seconds() / time.Since(m.startTime).Seconds()
	m.start()
	return m
}

func (m *cpuMeter) start() {
	m.objectsAtStart = allocatedObjects()
	m.startTime, m.cpuAtStart = time.Now(), cpuTime()
}

// perUnit is the processor time of one of n units of work since start, in
// microseconds.
func (m *cpuMeter) microsecondsPerUnit(n int) float64 {
	cpuSeconds := (cpuTime() - m.cpuAtStart).Seconds() - m.idleCores*time.Since(m.startTime).Seconds()
	return cpuSeconds * 1e6 / float64(n)
}

// objectsPerUnit is how many heap objects one of n units of work allocated.
func (m *cpuMeter) objectsPerUnit(n int) float64 {
	return float64(allocatedObjects()-m.objectsAtStart) / float64(n)
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
