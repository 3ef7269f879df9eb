package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// cpuTime returns the user and system time that this process has used on all
// cores.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0 // cannot fail for the calling process
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// idleWindow is how long newCPUMeter samples the idle system.
const idleWindow = time.Second

// cpuMeter measures the processor time and heap allocations of a piece of work.
// It subtracts the processor time that the idle system uses for its timers.
type cpuMeter struct {
	idleCores      float64 // cores
	startTime      time.Time
	cpuAtStart     time.Duration
	objectsAtStart uint64
}

// newCPUMeter samples the idle system for idleWindow, which blocks, and starts
// the measurement.
func newCPUMeter() *cpuMeter {
	m := &cpuMeter{}
	m.start()
	<-time.After(idleWindow)
	m.idleCores = (cpuTime() - m.cpuAtStart).Seconds() / time.Since(m.startTime).Seconds()
	m.start()
	return m
}

// start begins a new measurement with the same idle load.
func (m *cpuMeter) start() {
	m.objectsAtStart = allocatedObjects()
	m.startTime, m.cpuAtStart = time.Now(), cpuTime()
}

// microsecondsPerUnit returns the processor time since start divided by the n
// units of work done, in microseconds.
func (m *cpuMeter) microsecondsPerUnit(n int) float64 {
	cpuSeconds := (cpuTime() - m.cpuAtStart).Seconds() - m.idleCores*time.Since(m.startTime).Seconds()
	return cpuSeconds * 1e6 / float64(n)
}

// objectsPerUnit returns the heap objects allocated since start divided by the n
// units of work done.
func (m *cpuMeter) objectsPerUnit(n int) float64 {
	return float64(allocatedObjects()-m.objectsAtStart) / float64(n)
}

// allocatedObjects returns the heap objects allocated since the process started.
func allocatedObjects() uint64 {
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.Mallocs
}

// memoryInUse returns the bytes of live heap objects and stacks.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC() // frees what finalizers and sync.Pool retain through the first
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc + s.StackInuse)
}
