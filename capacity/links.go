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

// Links measures what links cost that are open and carry nothing, by their
// number: heartbeats both ways, in bytes and messages, and the memory and
// processor time of both ends.
func Links(ctx context.Context, links ...int) (*Table, error) {
	t := &Table{Size: "open links", Columns: []string{"heartbeat B/s", "heartbeats/s", "both ends core %", "both ends memory B"}}
	for _, n := range links {
		values, err := linkCost(ctx, n)
		if err != nil {
			return nil, err
		}
		t.Rows = append(t.Rows, Row{float64(n), values})
	}
	return t, nil
}

func linkCost(ctx context.Context, n int) ([]float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	var work sync.WaitGroup
	defer work.Wait()
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
		work.Go(func() { _ = srv.Serve(ctx, l) }) // ends with ctx
		addresses = append(addresses, l.Addr().String())
	}
	before := memoryInUse()
	traffic := link.NewTraffic(nil)
	self := link.PeerInfo{ID: "capacity", Incarnation: 1, Role: "entry"}
	pool := link.NewPool(link.PoolConfig{Self: self, ClusterKey: []byte(clusterKey)}, link.PoolDeps{Log: log, Traffic: traffic})
	defer pool.Close()
	for _, a := range addresses {
		if _, err := link.Call[struct{}](ctx, pool, a, "echo", struct{}{}); err != nil {
			return nil, err
		}
	}
	memory := memoryInUse() - before
	used, began := processorTime(), time.Now()
	quiet := traffic.Method(link.MethodHeartbeat)
	<-time.After(quietPeriod)
	core := (processorTime() - used).Seconds() / time.Since(began).Seconds()
	after := traffic.Method(link.MethodHeartbeat)
	seconds := time.Since(began).Seconds()
	bytes := float64(after.BytesSent + after.BytesReceived - quiet.BytesSent - quiet.BytesReceived)
	messages := float64(after.MessagesSent + after.MessagesReceived - quiet.MessagesSent - quiet.MessagesReceived)
	return []float64{bytes / seconds, messages / seconds, core * 100, memory}, nil
}
