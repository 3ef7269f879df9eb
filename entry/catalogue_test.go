package entry

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"savoryreel.example/savoryreel/contract"
	"savoryreel.example/savoryreel/control/api"
	"savoryreel.example/savoryreel/link"
)

// testFreshFor is how long a confirmation is valid in these tests.
const testFreshFor = 4 * time.Second

// testClock is a clock that only advance moves.
type testClock struct{ at time.Time }

func newTestClock() *testClock { return &testClock{at: time.Unix(1_800_000_000, 0)} }

func (c *testClock) now() time.Time           { return c.at }
func (c *testClock) advance(by time.Duration) { c.at = c.at.Add(by) }

// fakeControl implements controlClient. acceptedAt holds when each change was accepted;
// acceptedAt[i] is that of the change with index i+1.
type fakeControl struct {
	clock      *testClock
	t          *rapid.T
	acceptedAt []time.Time
}

var errLost = errors.New("answer lost")

// advanceClock advances the clock by a drawn time, which may exceed testFreshFor.
func (c *fakeControl) advanceClock(label string) {
	c.clock.advance(time.Duration(rapid.SampledFrom([]int{0, 0, 1, 30, 900, 3900, 9000}).Draw(c.t, label)) * time.Millisecond)
}

// acceptChanges accepts n changes now.
func (c *fakeControl) acceptChanges(n int) {
	for range n {
		c.acceptedAt = append(c.acceptedAt, c.clock.at)
	}
}

// Confirm returns as Needed the index of the last change accepted when the request arrives;
// Newest may be higher, since logs of replicas may contain more. Request and response take
// time, and changes are accepted in between.
func (c *fakeControl) Confirm(context.Context) (api.Confirmation, error) {
	c.advanceClock("way there")
	needed := uint64(len(c.acceptedAt))
	c.acceptChanges(rapid.IntRange(0, 2).Draw(c.t, "accepted meanwhile"))
	c.advanceClock("way back")
	if rapid.IntRange(0, 4).Draw(c.t, "confirmation lost") == 0 {
		return api.Confirmation{}, errLost
	}
	return api.Confirmation{Needed: needed, Newest: needed + uint64(rapid.IntRange(0, 1).Draw(c.t, "uncommitted"))}, nil
}

// Catalogue replies as a replica that may lag.
func (c *fakeControl) Catalogue(_ context.Context, have uint64) (api.CatalogueReply, error) {
	c.advanceClock("fetch")
	if rapid.IntRange(0, 4).Draw(c.t, "catalogue lost") == 0 {
		return api.CatalogueReply{}, errLost
	}
	index := uint64(rapid.IntRange(0, len(c.acceptedAt)).Draw(c.t, "replica's index"))
	return api.CatalogueReply{Index: index, Unchanged: index == have}, nil
}

func newTestFollower(c controlClient, now func() time.Time) *follower {
	return &follower{
		control: c, log: slog.New(slog.DiscardHandler), now: now, freshFor: testFreshFor,
		peers: func() []string { return nil }, onChange: func(*catalogue) {}, records: &recordFollower{},
	}
}

// Guards against serving callers of a disabled workspace by an old catalogue while responses
// are late, lost or stale, or the process is frozen. Whenever a catalogue is in force at t, it
// contains every change accepted before t - freshFor, and its index never decreases. Fails if
// pollControl passes the time after the response instead of askedAt, if the index check in recordConfirmation is
// removed, or if the one in applyReply is.
func TestCatalogueInForceHasEveryOldChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := newTestClock()
		control := &fakeControl{clock: clock, t: t}
		f := newTestFollower(control, clock.now)
		lastIndex := uint64(0)
		check := func() {
			require.GreaterOrEqual(t, f.index(), lastIndex)
			lastIndex = f.index()
			c := f.inForce()
			if c == nil {
				return
			}
			for i, at := range control.acceptedAt {
				if at.Before(clock.at.Add(-testFreshFor)) {
					require.GreaterOrEqual(t, c.reply.Index, uint64(i+1))
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"":       func(*rapid.T) { check() },
			"accept": func(*rapid.T) { control.acceptChanges(1) },
			"poll":   func(*rapid.T) { f.poll(t.Context()) },
			"freeze": func(*rapid.T) { control.advanceClock("frozen") },
		})
	})
}

// serveFollower serves other entries' calls to f until the test ends, and returns its link
// address.
func serveFollower(t *testing.T, f *follower) string {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	srv := link.NewServer(link.ServerConfig{Self: link.PeerInfo{ID: "peer", Role: "entry"}, ClusterKey: []byte("k")}, link.ServerDeps{Log: f.log})
	f.register(srv)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = srv.Serve(ctx, listener)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return listener.Addr().String()
}

// refusingControl is a controlClient whose Confirm always fails.
type refusingControl struct{ controlClient }

func (refusingControl) Confirm(context.Context) (api.Confirmation, error) {
	return api.Confirmation{}, errLost
}

// Guards against treating a peer's confirmation as newer than it is: two entries without
// control could confirm each other's old catalogue forever. The peer's clock differs by an
// hour. Fails if Add(-reply.Age) in pollPeers is removed.
func TestPeerConfirmationKeepsItsAge(t *testing.T) {
	peerClock, clock := newTestClock(), newTestClock()
	peerClock.advance(time.Hour)
	peer, own := newTestFollower(nil, peerClock.now), newTestFollower(refusingControl{}, clock.now)
	peer.applyReply(t.Context(), api.CatalogueReply{Index: 3})
	peer.recordConfirmation(3, peerClock.at.Add(-3*time.Second))
	own.pool = link.NewPool(link.PoolConfig{Self: link.PeerInfo{ID: "own", Role: "entry"}, ClusterKey: []byte("k")}, link.PoolDeps{Log: own.log})
	t.Cleanup(own.pool.Close)
	addr := serveFollower(t, peer)
	own.peers = func() []string { return []string{addr} }

	own.poll(t.Context())
	require.NotNil(t, own.inForce())
	require.Equal(t, uint64(3), own.index())
	clock.advance(time.Second + 1)
	require.Nil(t, own.inForce(), "the peer's confirmation is older than freshFor now")
}

// awaitLock returns once a goroutine waits for a mutex within the named function.
func awaitLock(t *testing.T, function string) {
	t.Helper()
	buf := make([]byte, 1<<20)
	require.Eventually(t, func() bool {
		for _, g := range strings.Split(string(buf[:runtime.Stack(buf, true)]), "\n\n") {
			if strings.Contains(g, "sync.Mutex.Lock") && strings.Contains(g, function) {
				return true
			}
		}
		return false
	}, 10*time.Second, time.Millisecond)
}

// replaceWhileLocked calls call, waits until it blocks on f.mu within the named function,
// then stores catalogue 2 and its confirmation, as a poll does, and returns call's result.
func replaceWhileLocked[T any](t *testing.T, f *follower, function string, call func() T) T {
	t.Helper()
	f.mu.Lock()
	result := make(chan T, 1)
	go func() { result <- call() }()
	awaitLock(t, function)
	f.current.Store(newCatalogue(api.CatalogueReply{Index: 2}))
	f.confirmedAt = f.now()
	f.mu.Unlock()
	return <-result
}

// Guards against admitting a request by the old catalogue under the confirmation of the new
// one, if it arrives during the first poll after a partition: a workspace disabled meanwhile
// would be served. Fails if inForce loads the catalogue before it calls isFresh.
func TestInForceNeverPairsOldCatalogueWithNewConfirmation(t *testing.T) {
	clock := newTestClock()
	f := newTestFollower(nil, clock.now)
	f.applyReply(t.Context(), api.CatalogueReply{Index: 1})
	c := replaceWhileLocked(t, f, "(*follower).inForce", f.inForce)
	require.NotNil(t, c)
	require.Equal(t, uint64(2), c.reply.Index)
}

// Guards against a reply with the old index and the new confirmation, if another entry calls
// while this one applies a new catalogue: the other entry would keep its old catalogue in
// force. Fails if describe loads the catalogue before it locks f.mu.
func TestDescribeNeverPairsOldIndexWithNewConfirmation(t *testing.T) {
	clock := newTestClock()
	f := newTestFollower(nil, clock.now)
	f.applyReply(t.Context(), api.CatalogueReply{Index: 1})
	f.recordConfirmation(1, clock.at.Add(-time.Minute))
	reply := replaceWhileLocked(t, f, "(*follower).describe", f.describe)
	require.Equal(t, confirmedReply{Index: 2, Known: true}, reply)
}

// Guards against refusing a valid key as unknown before the first catalogue has been
// accepted: the caller would not retry.
func TestEmptyCatalogueIsDetected(t *testing.T) {
	require.True(t, newCatalogue(api.CatalogueReply{}).empty())
	full := newCatalogue(api.CatalogueReply{Catalogue: contract.Catalogue{
		Workspaces: []contract.Workspace{{Name: "w", Keys: []contract.KeyHash{contract.HashKey("k")}}},
	}})
	require.False(t, full.empty())
}
