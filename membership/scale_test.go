package membership

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"runtime"
	"slices"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/instance"
)

var allSizes = flag.Bool("membership.scale", false, "TestScaleTable at all sizes, up to 370 nodes and 600 servers")

// Limits for membership on one node.
const (
	nodeBudgetBytesPerSecond = 11 << 10 // bytes per second
	maxLeavingTime           = 3 * time.Second
)

type scaleSize struct{ nodes, servers, wave int }

type scaleRow struct {
	size                      scaleSize
	quiet, wave, restart      traffic
	leavingMedian, leavingMax time.Duration
	coldStart                 time.Duration // from the first announcement until every node has every server
	timePerStep               time.Duration
	cpuFraction               float64 // fraction of one CPU core per node, without changes
	bytesPerServer            float64
}

// traffic is what one node sends and receives per second.
type traffic struct{ sentBytes, receivedBytes, messages, maxBytes float64 }

// TestScaleTable measures the cost of membership per node, in virtual time with real
// encoding. Bytes and messages are deterministic and checked; CPU time and memory are
// only printed.
func TestScaleTable(t *testing.T) {
	sizes := []scaleSize{{7, 60, 12}, {30, 120, 24}}
	if *allSizes {
		sizes = []scaleSize{{7, 600, 120}, {50, 600, 120}, {150, 600, 120}, {370, 600, 120}}
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "nodes\tservers\tquiet sent B/s\trecv B/s\tworst node B/s\tmsg/s\twave sent B/s (5 s)\tworst\trestarts x20 sent B/s\tleaving p50\tmax\tcold start\tµs/step\tcore %\tB/server\t")
	for _, size := range sizes {
		row := measure(t, size)
		fmt.Fprintf(w, "%d\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%v\t%v\t%v\t%.1f\t%.2f\t%.0f\t\n",
			size.nodes, size.servers, row.quiet.sentBytes, row.quiet.receivedBytes, row.quiet.maxBytes, row.quiet.messages,
			row.wave.sentBytes, row.wave.maxBytes, row.restart.sentBytes,
			row.leavingMedian.Round(time.Millisecond), row.leavingMax.Round(time.Millisecond), row.coldStart,
			float64(row.timePerStep.Nanoseconds())/1e3, row.cpuFraction*100, row.bytesPerServer)
		require.Less(t, row.quiet.maxBytes, float64(nodeBudgetBytesPerSecond), "bytes a second, quiet, %d nodes", size.nodes)
		require.Less(t, row.restart.sentBytes, float64(nodeBudgetBytesPerSecond), "bytes a second with restarts, %d nodes", size.nodes)
		require.Less(t, row.leavingMax, maxLeavingTime, "leaving known everywhere, %d nodes", size.nodes)
	}
	require.NoError(t, w.Flush())
}

func measure(t *testing.T, size scaleSize) scaleRow {
	c, servers := scaleCluster(size)
	row := scaleRow{size: size}
	row.coldStart = c.runUntil(3*time.Minute, func() bool {
		return !slices.ContainsFunc(c.nodes, func(n *simNode) bool {
			return len(n.view.AllServers()) < size.servers || len(n.view.Members(instance.RoleEntry)) < size.nodes
		})
	})
	require.Less(t, row.coldStart, 3*time.Minute, "every node knows everything")
	c.run(10 * time.Second)
	work, steps := c.stepTime, c.steps
	const quietTime = 20 * time.Second
	row.quiet = c.measureTraffic(quietTime)
	row.timePerStep = (c.stepTime - work) / time.Duration(c.steps-steps)
	row.cpuFraction = (c.stepTime - work).Seconds() / quietTime.Seconds() / float64(size.nodes)
	row.wave, row.leavingMedian, row.leavingMax = c.wave(servers, size)
	row.restart = c.restartNodes(size)
	row.bytesPerServer = memoryPerServer(t)
	return row
}

// scaleCluster starts nodes in two regions and five zones, and distributes the servers
// over them.
func scaleCluster(size scaleSize) (*cluster, []*simServer) {
	c := newCluster(20261202)
	for i := range size.nodes {
		zone := i % 5
		c.add(fmt.Sprintf("region-%d", zone/3), fmt.Sprintf("zone-%d", zone))
	}
	c.run(10 * time.Second)
	var servers []*simServer
	for i := range size.servers {
		zone := i % 5
		region := fmt.Sprintf("region-%d", zone/3)
		s := c.addServer(fmt.Sprintf("gpu-server-%04d", i), uint64(c.now.UnixNano()), region, fmt.Sprintf("zone-%d", zone), c.randomEntryIn(region))
		s.varyLoad = true
		servers = append(servers, s)
	}
	return c, servers
}

// randomEntryIn returns a function that picks a random live entry of a region.
func (c *cluster) randomEntryIn(region string) func() *simNode {
	return func() *simNode {
		var live []*simNode
		for _, n := range c.nodes {
			if n.region == region && !n.dead && !n.frozen {
				live = append(live, n)
			}
		}
		return live[c.rng.IntN(len(live))]
	}
}

// measureTraffic runs for d and returns the traffic of the nodes meanwhile.
func (c *cluster) measureTraffic(d time.Duration) traffic {
	type counters struct{ sentB, gotB, sent, got uint64 }
	readCounters := func(n *simNode) counters {
		return counters{n.core.sent.Bytes, n.receivedBytes, n.core.sent.Messages, n.receivedMessages}
	}
	before := make([]counters, len(c.nodes))
	for i, n := range c.nodes {
		before[i] = readCounters(n)
	}
	c.run(d)
	var out traffic
	for i, n := range c.nodes[:len(before)] {
		after := readCounters(n)
		sent := float64(after.sentB-before[i].sentB) + frameBytes*float64(after.sent-before[i].sent)
		received := float64(after.gotB-before[i].gotB) + frameBytes*float64(after.got-before[i].got)
		out.sentBytes += sent
		out.receivedBytes += received
		out.messages += float64(after.sent - before[i].sent)
		out.maxBytes = max(out.maxBytes, sent/d.Seconds())
	}
	nodeSeconds := d.Seconds() * float64(len(before))
	out.sentBytes, out.receivedBytes, out.messages = out.sentBytes/nodeSeconds, out.receivedBytes/nodeSeconds, out.messages/nodeSeconds
	return out
}

// frameBytes is the overhead of link for a notice: header, id, timeout, method.
const frameBytes = 8.0 + 1 + 1 + 1 + float64(len(Method))

// wave makes the servers of one zone leave within half a second. It returns the traffic,
// and the median and maximum time until a node saw a server leaving.
func (c *cluster) wave(servers []*simServer, size scaleSize) (traffic, time.Duration, time.Duration) {
	started := make(map[string]time.Time)
	var delays []time.Duration
	for _, n := range c.nodes {
		n.onEvent = func(e Event) {
			if e.Kind == ServerLeaving {
				delays = append(delays, c.now.Sub(started[e.Server.ID]))
			}
		}
	}
	left := 0
	for _, s := range servers {
		if s.announcement.Zone == "zone-4" && left < size.wave {
			left++
			c.after(time.Duration(c.rng.Int64N(int64(500*time.Millisecond))), func() {
				started[s.announcement.ID] = c.now
				s.setState(instance.StateLeaving)
			})
		}
	}
	out := c.measureTraffic(5 * time.Second)
	for _, n := range c.nodes {
		n.onEvent = nil
	}
	if len(delays) != left*size.nodes {
		return out, 0, time.Hour // some node never received it
	}
	slices.SortFunc(delays, cmp.Compare[time.Duration])
	return out, delays[len(delays)/2], delays[len(delays)-1]
}

// restartNodes replaces nodes for a minute, at 20 times the rate of 290 a day.
func (c *cluster) restartNodes(size scaleSize) traffic {
	const interval = 24 * time.Hour / 290 / 20
	n := 0
	const duration = time.Minute
	for at := time.Duration(0); at < duration; at += interval {
		c.after(at, func() {
			n++
			old := c.nodes[2+n%(size.nodes-2)]
			old.dead = true
			c.addAs(old.id, 1+uint64(n), old.region, old.zone)
		})
	}
	return c.measureTraffic(duration)
}

// memoryPerServer returns the heap bytes of a core and its view per additional server.
func memoryPerServer(t *testing.T) float64 {
	const servers = 2000
	c := newCluster(1)
	n := c.add("region-0", "zone-0")
	before := heapInUse()
	for i := range servers {
		id := fmt.Sprintf("gpu-server-%04d", i)
		a := instance.Announcement{ID: id, Incarnation: 1, Sequence: 1, Address: id + ":9000", State: instance.StateServing, Model: "llama-70b", Slots: 64}
		require.NoError(t, n.core.announce(a, c.now))
		updates, _ := n.core.drainChanges(c.now)
		n.view.Apply(updates)
	}
	used := heapInUse() - before
	runtime.KeepAlive(n)
	return used / servers
}

func heapInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
