// Package site defines the configuration of a process that depends on the site where it
// runs: its own addresses and resources, the seed addresses by which it finds the other
// processes, and the time limits agreed with the site's users.
package site

import (
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"savoryreel.example/savoryreel/policy/rollout"
)

// Node is the site configuration of one process.
type Node struct {
	Name   string
	IP     string
	Zone   string
	Region string

	// ZoneRegions maps each zone of the site to its region.
	ZoneRegions map[string]string

	// FirstPort and LastPort are the bounds, both included, of the ports reserved for
	// traffic between the system's processes. They are the same on all instances.
	FirstPort int
	LastPort  int

	// Seeds are operator addresses (host:port) of control replicas, at most three. A
	// process discovers all others through them. They may be out of date.
	Seeds []string

	// FirstStart is true only during the first start of the whole system.
	FirstStart bool

	DataDir string // empty if the instance has no disk

	Listen    Listen
	Capacity  Capacity
	Tolerance Tolerance
	Bounds    Bounds
	Cloud     Cloud

	// AnnounceInterval is the interval at which each backend server announces itself.
	AnnounceInterval time.Duration
}

// Listen holds the addresses (host:port) on which the process accepts external
// connections. The process opens no listener for an empty address.
type Listen struct {
	Callers   string
	Readiness string
	Operators string
	Directory string
}

// Capacity holds the resources that the instance provides to this process.
type Capacity struct {
	CPUShare    float64 // fraction of a core
	MemoryBytes int64
	Descriptors int
}

// Tolerance holds how many failures at the same time the system has to survive without
// violating its guarantees.
type Tolerance struct {
	Instances int // counts only instances with a disk
	Zones     int
	Regions   int
}

// Bounds holds the time limits and tolerances agreed with the site's users.
type Bounds struct {
	Drain         time.Duration // from the acknowledgement of a leave until no new attempt starts there
	StopGrace     time.Duration // from SIGTERM to SIGKILL
	ConfigApply   time.Duration // from the acknowledgement of a change until it is in force on every instance
	LeaseTime     time.Duration // minimum time between cloud calls of two successive leaders
	AddressReuse  time.Duration // minimum time before another server may use an unreachable server's address
	DirectoryTTL  time.Duration // longest validity of a list of entries that callers respect
	CatchUp       time.Duration // from an instance's start until it is operational
	UsageWindow   time.Duration
	UsageLate     time.Duration // from the end of a window until the deadline of its usage report
	RetryWindow   time.Duration
	RetryRatio    float64 // retries per request within RetryWindow
	RetrySlack    float64 // retries allowed in addition
	QuotaWindow   time.Duration
	QuotaOverrun  float64 // fraction of a workspace's limit by which it may be exceeded
	QuotaSlack    float64 // amount by which it may be exceeded in addition
	FencesChecked bool    // the cloud rejects calls with an outdated fencing token
	// Rollout bounds what a faulty version may do. There are no rollouts unless it is enabled.
	Rollout rollout.Limits
	Ack     time.Duration // from an operator's first call until its last repetition
}

// usageRetentionFactor is the retention of a window's usage as a multiple of UsageLate.
// A report is still accepted when it is late by another UsageLate.
const usageRetentionFactor = 2

// UsageRetention returns how long after its end the usage of a window is still reported.
func (b *Bounds) UsageRetention() time.Duration { return usageRetentionFactor * b.UsageLate }

// UsageWindows returns the largest number of windows whose usage is retained at the same
// time: the open one and those that ended within UsageRetention.
func (b *Bounds) UsageWindows() int64 { return int64(b.UsageRetention()/b.UsageWindow) + 2 }

// Cloud configures the cloud API. Address is empty if the site has none.
type Cloud struct {
	Address   string
	PerSecond float64 // rate limit for the calls of all instances together
	Usage     bool    // whether to report usage
	Scaling   bool    // whether to order backend servers
}

// Ports that the processes use, as offsets from FirstPort.
const (
	controlLinkOffset   = 0
	controlOpsOffset    = 1
	entryOpsOffset      = 2
	entryExchangeOffset = 3
	entryLinkOffset     = 4
	lastOffset          = entryLinkOffset
)

// ControlLink returns the address on which the control replica at ip accepts links.
func (n *Node) ControlLink(ip string) string { return n.internalAddress(ip, controlLinkOffset) }

// ControlOps returns the address of this control replica's metrics.
func (n *Node) ControlOps() string { return n.internalAddress(n.IP, controlOpsOffset) }

// EntryOps returns the address of this entry's metrics.
func (n *Node) EntryOps() string { return n.internalAddress(n.IP, entryOpsOffset) }

// EntryExchange returns the UDP address on which the entry at ip exchanges the load of
// backend servers and the use of limits with other entries.
func (n *Node) EntryExchange(ip string) string { return n.internalAddress(ip, entryExchangeOffset) }

// EntryLink returns the address on which the entry at ip accepts links of other entries.
func (n *Node) EntryLink(ip string) string { return n.internalAddress(ip, entryLinkOffset) }

func (n *Node) internalAddress(ip string, offset int) string {
	return net.JoinHostPort(ip, strconv.Itoa(n.FirstPort+offset))
}

// SeedLinks returns the link addresses of the control replicas in Seeds. It skips a seed
// that is not host:port; Validate rejects such a seed.
func (n *Node) SeedLinks() []string {
	var links []string
	for _, seed := range n.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			links = append(links, n.ControlLink(host))
		}
	}
	return links
}

// Validate returns an error for the first invalid field.
func (n *Node) Validate() error {
	if _, err := netip.ParseAddr(n.IP); err != nil {
		return trace.BadParameter("own address %q: %v", n.IP, err)
	}
	if n.Zone == "" {
		return trace.BadParameter("zone is empty")
	}
	if n.FirstPort <= 0 || n.LastPort < n.FirstPort+lastOffset {
		return trace.BadParameter("ports %d to %d: want at least %d consecutive ports", n.FirstPort, n.LastPort, lastOffset+1)
	}
	if len(n.Seeds) == 0 {
		return trace.BadParameter("list of seeds is empty")
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
	if r := b.Rollout; r.Share < 0 || r.Share > 1 || r.Slack < 0 || r.RollbackWithin < 0 || b.Ack < 0 {
		return trace.BadParameter("exposure share %g, slack %d, rollback within %v, acknowledgement within %v, want a share from 0 to 1 and the others 0 or more",
			r.Share, r.Slack, r.RollbackWithin, b.Ack)
	}
	if b.RetryRatio < 0 || b.RetrySlack < 0 {
		return trace.BadParameter("%s", fmt.Sprintf("retry budget %g and %g, want 0 or more", b.RetryRatio, b.RetrySlack))
	}
	return nil
}
