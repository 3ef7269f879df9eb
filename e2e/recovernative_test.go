//go:build linux

package e2e

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/internal/fake"
)

// Guards, natively, against callers that get no answers from an entry which reaches no backend server,
// though other entries do, and against servers that count as crashed because one entry can't reach them.
func TestEntriesWithoutPathToServers(t *testing.T) {
	t.Parallel()
	for _, mode := range []partitionMode{partitionHang, partitionReset, partitionNoDial} {
		t.Run(string(mode), func(t *testing.T) {
			s := newNativePartitionSite(t)
			s.play(2 * time.Second)
			var before []int // bytes of each entry's log: one that starts asks others about each request
			for _, entry := range s.entries {
				before = append(before, len(entry.log.String()))
			}
			s.partition.cut(mode, s.entries[:len(s.entries)/2]...)
			s.play(contactTime)
			s.measure(3 * time.Second)
			s.partition.heal()
			s.play(contactTime)
			s.measure(2 * time.Second)
			close(s.stop)
			s.callers.Wait()
			for i, entry := range s.entries {
				log := entry.log.String()[before[i]:]
				require.NotContains(t, log, "suspect request held back", "entry %d", i)
				require.NotContains(t, log, "request quarantined", "entry %d", i)
			}
		})
	}
}

// nativePartitionSite is a site of entries in two zones, of which one can be cut off from servers.
type nativePartitionSite struct {
	*site
	partition *partition
	entries   []*process
	stop      chan struct{}
	callers   sync.WaitGroup
	tries     firstTries
}

const (
	nativePartitionEntries = 4
	nativePartitionGap     = 70 * time.Millisecond // between the requests at an entry
	nativePartitionTimeout = 2 * time.Second
)

func newNativePartitionSite(t *testing.T) *nativePartitionSite {
	s := &nativePartitionSite{site: newSite(t, partitionTurn), partition: newPartition(), stop: make(chan struct{})}
	s.startControl(1)
	for i := 1; i <= nativePartitionEntries; i++ {
		s.entries = append(s.entries, s.startEntry(i, fmt.Sprint("z", 1+(i-1)*2/nativePartitionEntries)))
	}
	s.partition.watch(s.entries...)
	announcing := fake.Announcing{Key: announceKey}
	for i := 1; i <= nativePartitionEntries; i++ {
		announcing.Entries = append(announcing.Entries, "http://"+s.addr(entryPort(i)))
	}
	for i := range 2 {
		zone := fmt.Sprint("z", 1+i)
		engine := fake.NewEngine(fake.EngineConfig{
			ID: fmt.Sprint("engine-", i), Region: "r1", Zone: zone, Model: "demo", Slots: 64, TokenTime: 5 * time.Millisecond, Announcing: announcing,
		}, fake.Deps{})
		s.serve(engine.Run)
		plain := fake.NewPlain(fake.PlainConfig{
			ID: fmt.Sprint("plain-", i), Region: "r1", Zone: zone, Services: []string{"echo"}, Slots: 64, Announcing: announcing,
		}, fake.Deps{})
		s.serve(plain.Run)
	}
	s.apply(newTestCatalogue())
	body, _ := chatBody("ready?", 1, false)
	for i := 1; i <= nativePartitionEntries; i++ {
		s.waitUntilServing(i, "/v1/chat/completions", body)
		s.waitUntilServing(i, "/svc/echo/ready", "x")
	}
	for i := range s.entries {
		s.callers.Go(func() { s.callEntry(i) })
	}
	return s
}

// serve runs a backend server behind the partition.
func (s *nativePartitionSite) serve(run func(context.Context, net.Listener) error) {
	l, err := net.Listen("tcp", s.ip+":0")
	require.NoError(s.t, err)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = run(ctx, s.partition.listen(l)) // ends with ctx
	}()
	s.t.Cleanup(func() {
		s.partition.heal()
		stop()
		<-done
	})
}

func (s *nativePartitionSite) play(d time.Duration) { time.Sleep(d) }

// callEntry sends requests of each kind to entry i, counted from 0, at a constant rate.
func (s *nativePartitionSite) callEntry(i int) {
	var requests sync.WaitGroup
	defer requests.Wait()
	tick := time.NewTicker(nativePartitionGap)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-s.stop:
			return
		case <-tick.C:
		}
		requests.Go(func() { s.callOnce(i, n) })
	}
}

// callOnce sends the n-th request to entry i: one that may be repeated, one that runs once, or a chat.
func (s *nativePartitionSite) callOnce(i, n int) {
	ctx, cancel := context.WithTimeout(context.Background(), nativePartitionTimeout)
	defer cancel()
	try := firstTry{entry: i, at: time.Now()}
	var r reply
	var err error
	switch n % 3 {
	case 0:
		try.path = "repeatable"
		r, err = s.call(ctx, i+1, "GET", "/svc/echo/x", "", nil)
	case 1:
		try.path = "once"
		r, err = s.call(ctx, i+1, "POST", "/svc/echo/x", "x", map[string]string{"Idempotency-Key": fmt.Sprint("key-", i, "-", n)})
	default:
		try.path = "chat"
		body, _ := chatBody(fmt.Sprint("question ", i, n), 5, true)
		r, err = s.call(ctx, i+1, "POST", "/v1/chat/completions", body, nil)
	}
	try.how = http.StatusText(r.status)
	if err != nil {
		try.how = "failed"
	}
	try.answered = err == nil && r.status == http.StatusOK
	s.tries.add(try)
}

// measure plays for a time and checks that callers at the entries of the first zone are served.
func (s *nativePartitionSite) measure(d time.Duration) {
	s.t.Helper()
	s.tries.measure(s.t, len(s.entries)/2, d, nativePartitionTimeout)
}
