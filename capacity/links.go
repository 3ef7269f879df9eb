package capacity

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"savoryreel.example/savoryreel/link"
)

// Links measures the overhead of idle links by their number: heartbeats in both
// directions, in bytes and messages, and the memory and processor time of both
// ends together.
func Links(ctx context.Context, links ...int) (*Table, error) {
	t := &Table{SizeLabel: "open links", Columns: []string{"heartbeat B/s", "heartbeats/s", "both ends core %", "both ends memory B"}}
	for _, n := range links {
		values, err := measureLinks(ctx, n)
		if err != nil {
			return nil, err
		}
		t.Rows = append(t.Rows, Row{float64(n), values})
	}
	return t, nil
}

// measureLinks returns one row for n open links.
func measureLinks(ctx context.Context, n int) ([]float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	log := slog.New(slog.DiscardHandler)
	var addresses []string
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, trace.Wrap(err, "step=listen")
		}
		self := link.PeerInfo{ID: fmt.Sprintf("entry-%d", i), Incarnation: 1, Address: l.Addr().String(), Role: "entry"}
		srv := link.NewServer(link.ServerConfig{Self: self, ClusterKey: []byte(clusterKey)}, link.ServerDeps{Log: log})
		link.Handle(srv, "echo", func(context.Context, link.PeerInfo, struct{}) (struct{}, error) { return struct{}{}, nil })
		wg.Go(func() { _ = srv.Serve(ctx, l) }) // returns when ctx is cancelled
		addresses = append(addresses, l.Addr().String())
	}
	memoryBefore := memoryInUse()
	traffic := link.NewTraffic(nil)
	self := link.PeerInfo{ID: "capacity", Incarnation: 1, Role: "entry"}
	pool := link.NewPool(link.PoolConfig{Self: self, ClusterKey: []byte(clusterKey)}, link.PoolDeps{Log: log, Traffic: traffic})
	defer pool.Close()
	for _, a := range addresses {
		if _, err := link.Call[struct{}](ctx, pool, a, "echo", struct{}{}); err != nil {
			return nil, err
		}
	}
	memory := memoryInUse() - memoryBefore
	cpuBefore, startTime := cpuTime(), time.Now()
	trafficBefore := traffic.Method(link.MethodHeartbeat)
	<-time.After(trafficWindow)
	cores := (cpuTime() - cpuBefore).Seconds() / time.Since(startTime).Seconds()
	trafficAfter := traffic.Method(link.MethodHeartbeat)
	seconds := time.Since(startTime).Seconds()
	bytes := float64(trafficAfter.BytesSent + trafficAfter.BytesReceived - trafficBefore.BytesSent - trafficBefore.BytesReceived)
	messages := float64(trafficAfter.MessagesSent + trafficAfter.MessagesReceived - trafficBefore.MessagesSent - trafficBefore.MessagesReceived)
	return []float64{bytes / seconds, messages / seconds, cores * 100, memory}, nil
}
