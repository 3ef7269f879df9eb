// Package site holds what a process of the system is told of the place where it
// runs: its own addresses and limits, where to find the others at first, and the
// times within which promises to users have to be kept. Nothing in the code
// names a figure of one site; what depends on the site comes from here.
package site

import (
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"time"

	"github.com/gravitational/trace"
)

// Node is one process's place.
type Node struct {
	Name   string
	IP     string
	Zone   string
	Region string

	// ZoneRegions names the region of each zone of the site.
	ZoneRegions map[string]string

	// FirstPort and LastPort bound the ports that are free for traffic between the
	// system's own processes, the same on all instances.
	FirstPort int
	LastPort  int

	// Seeds are addresses (host:port) that serve operators, three at most. They
	// are all that a process is told of the others, and may be out of date.
	Seeds []string

	// FirstStart is true only while the whole system starts for the first time.
	FirstStart bool

	DataDir string // empty: this instance has no disk

	Listen    Listen
	Capacity  Capacity
	Tolerance Tolerance
	Bounds    Bounds
	Cloud     Cloud

	// AnnounceEvery is how often backend servers announce themselves.
	AnnounceInterval time.Duration
}

// Listen holds the addresses (host:port) on which the process serves the outside.
// An empty one is not served here.
type Listen struct {
	Callers   string
	Readiness string
	Operators string
	Directory string
}

// Capacity is what the instance offers this process.
type Capacity struct {
	CPUShare    float64 // part of a core
	MemoryBytes int64
	Descriptors int
}

// Tolerance is what may be lost at a time with all promises kept.
type Tolerance struct {
	Instances int // of those that have a disk
	Zones     int
	Regions   int
}

// Bounds are the times and amounts that the site's users hold the system to.
type Bounds struct {
	Drain         time.Duration // from the acknowledgement of a leave to the last new run
	StopGrace     time.Duration // from SIGTERM to SIGKILL
	ConfigApply   time.Duration // from the acknowledgement of a change until it is in force everywhere
	LeaseTime     time.Duration // two leaders that call the cloud are this far apart
	AddressReuse  time.Duration // earliest use of a lost server's address by another one
	DirectoryTTL  time.Duration // longest validity of a list of entries that callers honour
	CatchUp       time.Duration // what an instance may take to be useful after its start
	UsageWindow   time.Duration
	UsageLate     time.Duration // from the end of a window until its usage is due
	RetryWindow   time.Duration
	RetryRatio    float64 // repeats for each request within RetryWindow
	RetrySlack    float64 // repeats allowed besides
	QuotaWindow   time.Duration
	QuotaOverrun  float64 // part of a workspace's limit that may be exceeded
	QuotaSlack    float64 // amount that may be exceeded besides
	FencesChecked bool    // the cloud refuses orders with an old fencing number
}

// usageWorth is how long a window's usage is reported at all, in times until it is
// due: whoever bills by it takes a report that is late by as much as it may take.
const usageRetentionFactor = 2

// UsageKept is how long after its end a window is still reported.
func (b *Bounds) UsageRetention() time.Duration { return usageRetentionFactor * b.UsageLate }

// UsageWindows is how many windows there are at any time whose usage is still to be
// told or reported: the open one, and those that ended within UsageKept.
func (b *Bounds) UsageWindows() int64 { return int64(b.UsageRetention()/b.UsageWindow) + 2 }

// Cloud is the cloud API. An empty address means that there is none.
type Cloud struct {
	Address   string
	PerSecond float64 // calls accepted from all instances together
	Usage     bool    // usage is to be reported
	Scaling   bool    // backend servers are to be ordered
}

// Ports that the processes use, as offsets from FirstPort.
const (
	controlLinkOffset   = 0
	controlOpsOffset    = 1
	entryOpsOffset      = 2
	entryExchangeOffset = 3
	lastOffset          = entryExchangeOffset
)

// ControlLink is the address on which the control replica at ip takes links.
func (n *Node) ControlLink(ip string) string { return n.internalAddress(ip, controlLinkOffset) }

// ControlOps is the address of this control replica's metrics.
func (n *Node) ControlOps() string { return n.internalAddress(n.IP, controlOpsOffset) }

// EntryOps is the address of this entry's metrics.
func (n *Node) EntryOps() string { return n.internalAddress(n.IP, entryOpsOffset) }

// EntryBooks is the address, for datagrams, on which the entry at ip is asked and told
// what runs at backend servers.
func (n *Node) EntryExchange(ip string) string { return n.internalAddress(ip, entryExchangeOffset) }

func (n *Node) internalAddress(ip string, offset int) string {
	return net.JoinHostPort(ip, strconv.Itoa(n.FirstPort+offset))
}

// SeedLinks returns the link addresses of the control replicas that the seeds
// name. A seed that is no address is left out; Validate has refused it.
func (n *Node) SeedLinks() []string {
	var links []string
	for _, seed := range n.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			links = append(links, n.ControlLink(host))
		}
	}
	return links
}

// Validate reports the first field that makes no sense.
func (n *Node) Validate() error {
	if _, err := netip.ParseAddr(n.IP); err != nil {
		return trace.BadParameter("own address %q: %v", n.IP, err)
	}
	if n.Zone == "" {
		return trace.BadParameter("zone is empty")
	}
	if n.FirstPort <= 0 || n.LastPort < n.FirstPort+lastOffset {
		return trace.BadParameter("ports %d to %d: need %d in a row", n.FirstPort, n.LastPort, lastOffset+1)
	}
	if len(n.Seeds) == 0 {
		return trace.BadParameter("no seeds")
	}
	for _, seed := range n.Seeds {
		if _, _, err := net.SplitHostPort(seed); err != nil {
			return trace.BadParameter("seed %q: %v", seed, err)
		}
	}
	return n.Bounds.validate()
}

func (b *Bounds) validate() error {
	positive := []struct {
		name  string
		value time.Duration
	}{
		{"drain", b.Drain},
		{"stop grace", b.StopGrace},
		{"config apply", b.ConfigApply},
		{"usage window", b.UsageWindow},
		{"retry window", b.RetryWindow},
		{"quota window", b.QuotaWindow},
	}
	for _, p := range positive {
		if p.value <= 0 {
			return trace.BadParameter("bound %s is %v, want more than 0", p.name, p.value)
		}
	}
	if b.RetryRatio < 0 || b.RetrySlack < 0 {
		return trace.BadParameter("%s", fmt.Sprintf("retry budget %g and %g, want 0 or more", b.RetryRatio, b.RetrySlack))
	}
	return nil
}
