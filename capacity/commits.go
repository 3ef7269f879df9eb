package capacity

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"savoryreel.example/savoryreel/control/api"
)

const (
	commitPeriod  = 3 * time.Second
	commitCallers = 64 // of CommitReplicas
)

// Commits measures ledger commits through three control replicas that sync to
// disk, by the number of concurrent callers.
func Commits(ctx context.Context, callers ...int) (*Table, error) {
	return commitTable(ctx, "callers, 3 replicas", callers, func(n int) (replicas, callers int) { return 3, n })
}

// CommitReplicas measures the same as Commits by the number of replicas, with
// commitCallers concurrent callers. All replicas share this machine's disk and
// processors.
func CommitReplicas(ctx context.Context, replicas ...int) (*Table, error) {
	return commitTable(ctx, "replicas, 64 callers", replicas, func(n int) (int, int) { return n, commitCallers })
}

// commitTable measures one row for each size, which replicasAndCallers maps to a
// number of replicas and of callers.
func commitTable(ctx context.Context, size string, sizes []int, replicasAndCallers func(int) (int, int)) (*Table, error) {
	t := &Table{SizeLabel: size, Columns: []string{
		"commits/s", "p50 ms", "p99 ms", "all ends µs/commit", "replication B/commit, all replicas", "idle replication B/s, all replicas",
	}}
	for _, n := range sizes {
		replicas, callers := replicasAndCallers(n)
		s, err := newSite(ctx, replicas, slog.New(slog.DiscardHandler))
		if err != nil {
			return nil, err
		}
		values, err := s.measureCommits(callers)
		s.close()
		if err != nil {
			return nil, err
		}
		t.Rows = append(t.Rows, Row{float64(n), values})
	}
	return t, nil
}

// measureCommits returns one row with this many concurrent callers.
func (s *site) measureCommits(callers int) ([]float64, error) {
	if _, err := s.controlClient.Ledger(s.ctx, ledgerCommand(0)); err != nil { // opens the links before the measurement
		return nil, err
	}
	bytesBeforeIdle, err := s.replicationBytes()
	if err != nil {
		return nil, err
	}
	m := newCPUMeter()
	bytesBefore, err := s.replicationBytes()
	if err != nil {
		return nil, err
	}
	var commandCount atomic.Int64
	latencies := make([]*hdrhistogram.Histogram, callers)
	ctx, cancel := context.WithTimeout(s.ctx, commitPeriod)
	defer cancel()
	var wg sync.WaitGroup
	startTime := time.Now()
	for i := range callers {
		latencies[i] = hdrhistogram.New(1, int64(time.Minute), 3)
		wg.Go(func() {
			for ctx.Err() == nil {
				sentAt := time.Now()
				if _, err := s.controlClient.Ledger(ctx, ledgerCommand(int(commandCount.Add(1)))); err == nil {
					_ = latencies[i].RecordValue(int64(time.Since(sentAt))) // within the histogram's range
				}
			}
		})
	}
	wg.Wait()
	elapsed := time.Since(startTime)
	merged := latencies[0]
	for _, h := range latencies[1:] {
		merged.Merge(h)
	}
	committed := int(merged.TotalCount())
	cpuPerCommit := m.microsecondsPerUnit(committed)
	bytesAfter, err := s.replicationBytes()
	if err != nil {
		return nil, err
	}
	idleBytesPerSecond := (bytesBefore - bytesBeforeIdle) / idleWindow.Seconds()
	return []float64{
		float64(committed) / elapsed.Seconds(), float64(merged.ValueAtQuantile(50)) / 1e6, float64(merged.ValueAtQuantile(99)) / 1e6,
		cpuPerCommit, (bytesAfter - bytesBefore - idleBytesPerSecond*elapsed.Seconds()) / float64(committed), idleBytesPerSecond,
	}, nil
}

// replicationBytes returns the bytes of replication traffic of all replicas.
func (s *site) replicationBytes() (float64, error) {
	var sum float64
	for _, ops := range s.controlOps {
		traffic, err := s.scrapeLinkTraffic(ops)
		if err != nil {
			return 0, err
		}
		sum += traffic[api.MethodReplica].bytes
	}
	return sum, nil
}
