package intake

import (
	"bufio"
	"math"
	"os"
	"strconv"
	"strings"
	"syscall"
)

// Sizes by which a process's memory is divided.
const (
	// ConnectionBytes is what an open connection takes without a request: its goroutine and its read buffer.
	ConnectionBytes = 24 << 10
	// RequestBytes is what a request in progress takes beside a large body: both socket buffers, the buffers of
	// net/http and a body of SmallBody bytes.
	RequestBytes = 96 << 10
	// SmallBody is the size up to which a body takes no room of its own.
	SmallBody = 16 << 10
	// SocketBuffer is the size of each buffer of a client's socket.
	SocketBuffer = 32 << 10
)

// Fractions of a process's memory.
const (
	connectionFraction = 1.0 / 8
	requestFraction    = 1.0 / 4
	bodyFraction       = 1.0 / 5
)

const (
	// reservedDescriptors are left for files.
	reservedDescriptors = 200
	// descriptorFraction of the others is for clients; the rest is for servers and other processes.
	descriptorFraction = 0.5
	// minConnections is the lowest bound; a process with less memory or descriptors serves nobody.
	minConnections = 32
)

// Limits bound what a process holds for all its clients.
type Limits struct {
	Connections int   // open at the same time
	Requests    int   // in progress at the same time
	BodyBytes   int64 // of bodies larger than SmallBody, and of what is made of them
}

// LimitsOf returns the limits of a process that may use this much memory, in bytes, and this many descriptors.
// For a value of 0, what the machine has counts.
func LimitsOf(memory int64, descriptors int) Limits {
	if memory <= 0 {
		memory = machineMemory()
	}
	if descriptors <= 0 {
		descriptors = descriptorLimit()
	}
	byMemory := func(fraction float64, each int64) int {
		return int(fraction * float64(memory) / float64(each))
	}
	byDescriptors := int(float64(descriptors-reservedDescriptors) * descriptorFraction)
	connections := max(minConnections, min(byMemory(connectionFraction, ConnectionBytes), byDescriptors))
	return Limits{
		Connections: connections,
		Requests:    max(minConnections, min(byMemory(requestFraction, RequestBytes), connections)),
		BodyBytes:   int64(bodyFraction * float64(memory)),
	}
}

// fallbackMemory is assumed, in bytes, if /proc/meminfo cannot be read.
const fallbackMemory = 256 << 20

// machineMemory returns the memory of the machine in bytes.
func machineMemory() int64 {
	f, err := os.Open("/proc/meminfo")
	if err != nil {
		return fallbackMemory
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 2 || fields[0] != "MemTotal:" {
			continue
		}
		if kb, err := strconv.ParseInt(fields[1], 10, 64); err == nil && kb > 0 {
			return kb << 10
		}
	}
	return fallbackMemory
}

// fallbackDescriptors is assumed where the limit cannot be read.
const fallbackDescriptors = 1024

// descriptorLimit returns the number of descriptors that the process may open.
func descriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fallbackDescriptors
	}
	return int(min(limit.Cur, math.MaxInt32))
}
