package host_test

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"savoryreel.example/savoryreel/replica/host"
)

// BenchmarkCommit reports commits per second and percentiles of the time to commit,
// with real syncs, by the number of replicas and of concurrent callers. All replicas
// share one disk, so more replicas also mean more syncs on it.
func BenchmarkCommit(b *testing.B) {
	for _, replicas := range []int{1, 3, 5} {
		for _, callers := range []int{1, 8, 64, 512} {
			name := "replicas=" + strconv.Itoa(replicas) + "/callers=" + strconv.Itoa(callers)
			b.Run(name, func(b *testing.B) { benchmarkCommit(b, replicas, callers) })
		}
	}
}

func benchmarkCommit(b *testing.B, replicas, callers int) {
	c := newCluster(b, host.Config{}, ids(replicas)...)
	data, err := msgpack.Marshal(put{Key: "key", Value: "0123456789abcdef0123456789abcdef"})
	require.NoError(b, err)
	leader := c.leader()
	latencies := make([]*hdrhistogram.Histogram, callers)
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	var group sync.WaitGroup
	b.ResetTimer()
	start, cpuUsed := time.Now(), cpuTime(b)
	for i := range callers {
		latencies[i] = hdrhistogram.New(1, int64(time.Minute), 3)
		group.Go(func() {
			for remaining.Add(-1) >= 0 {
				begin := time.Now()
				if _, err := leader.Propose(context.Background(), kindPut, data); err != nil {
					b.Error(err)
					return
				}
				_ = latencies[i].RecordValue(int64(time.Since(begin)))
			}
		})
	}
	group.Wait()
	elapsed := time.Since(start)
	cpuUsed = cpuTime(b) - cpuUsed
	b.StopTimer()
	all := latencies[0]
	for _, h := range latencies[1:] {
		all.Merge(h)
	}
	b.ReportMetric(float64(b.N)/elapsed.Seconds(), "commits/s")
	b.ReportMetric(float64(all.ValueAtQuantile(50))/1e6, "p50-ms")
	b.ReportMetric(float64(all.ValueAtQuantile(99))/1e6, "p99-ms")
	b.ReportMetric(float64(cpuUsed.Microseconds())/float64(b.N)/float64(replicas), "cpu-µs/commit/replica")
	b.ReportMetric(0, "ns/op")
}

// cpuTime returns the CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func ids(n int) []uint64 {
	var out []uint64
	for i := range n {
		out = append(out, uint64(i+1))
	}
	return out
}

// BenchmarkCatchUp reports the time from the restart of a replica that missed 1,000
// entries until it has applied them.
func BenchmarkCatchUp(b *testing.B) {
	const missed = 1_000
	c := newCluster(b, host.Config{}, 1, 2, 3)
	var total time.Duration
	for range b.N {
		leader := c.leader()
		stoppedID := 1 + leader.Status().ID%3
		require.NoError(b, c.stop(stoppedID))
		c.putMany(leader, missed)
		last := leader.Status().Last
		begin := time.Now()
		n := c.start(stoppedID, 1, 2, 3)
		c.eventually("caught up", func() bool { return n.Status().Applied >= last })
		total += time.Since(begin)
	}
	b.ReportMetric(float64(total.Milliseconds())/float64(b.N), "ms/catch-up")
	b.ReportMetric(0, "ns/op")
}

func (c *cluster) putMany(leader *node, n int) {
	data, err := msgpack.Marshal(put{Key: "key", Value: "value"})
	require.NoError(c.t, err)
	var group sync.WaitGroup
	for range 50 {
		group.Go(func() {
			for range n / 50 {
				_, err := leader.Propose(context.Background(), kindPut, data)
				if err != nil {
					c.t.Error(err)
				}
			}
		})
	}
	group.Wait()
}

// BenchmarkRecovery reports the time from stopping the leader to the next commit,
// with the default settings.
func BenchmarkRecovery(b *testing.B) {
	c := newCluster(b, host.Config{}, 1, 2, 3)
	var total, worst time.Duration
	for range b.N {
		old := c.leader().Status().ID
		c.mustPut("key", "before")
		begin := time.Now()
		require.NoError(b, c.stop(old))
		c.mustPut("key", "after")
		took := time.Since(begin)
		total += took
		worst = max(worst, took)
		c.start(old, 1, 2, 3)
	}
	mean := total / time.Duration(b.N)
	b.ReportMetric(float64(mean.Milliseconds()), "mean-ms")
	b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
	b.ReportMetric(float64(mean/host.DefaultTickInterval), "mean-ticks")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkIdle reports the cost of a group of seven without proposals: the percentage
// of a core for each replica, and the bytes of encoded messages per second that the
// leader sends and receives.
func BenchmarkIdle(b *testing.B) {
	const replicas = 7
	c := newCluster(b, host.Config{}, ids(replicas)...)
	leader := c.leader().Status().ID
	c.net.startRecording(leader)
	begin, cpuUsed := time.Now(), cpuTime(b)
	<-time.After(time.Duration(b.N) * 100 * time.Millisecond)
	elapsed := time.Since(begin)
	cpuUsed = cpuTime(b) - cpuUsed
	b.ReportMetric(100*cpuUsed.Seconds()/elapsed.Seconds()/replicas, "%core/replica")
	b.ReportMetric(float64(c.net.recordedBytes())/elapsed.Seconds(), "leader-bytes/s")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkTransfer reports the duration of a leadership transfer, and the longest
// time without a commit for a caller that proposes continuously.
func BenchmarkTransfer(b *testing.B) {
	c := newCluster(b, host.Config{}, 1, 2, 3)
	c.leader()
	ctx, cancel := context.WithCancel(b.Context())
	worst := make(chan time.Duration)
	go func() {
		longest := time.Duration(0)
		for ctx.Err() == nil {
			begin := time.Now()
			c.mustPut("key", "value")
			longest = max(longest, time.Since(begin))
		}
		worst <- longest
	}()
	begin := time.Now()
	for range b.N {
		c.transfer(1 + c.leader().Status().ID%3)
	}
	b.ReportMetric(float64(time.Since(begin).Milliseconds())/float64(b.N), "ms/transfer")
	cancel()
	b.ReportMetric(float64((<-worst).Microseconds())/1e3, "longest-gap-ms")
	b.ReportMetric(0, "ns/op")
}
