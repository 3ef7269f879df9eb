package intake

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// fakeConn is a connection whose client sends a body of so many bytes, in pieces, each after a pause. It then stops
// if it stalls.
type fakeConn struct {
	pieces int
	piece  int
	pause  time.Duration
	stalls bool

	cut  chan struct{}
	left <-chan struct{} // closed when the client leaves
}

// Read returns the next piece of the body.
func (f *fakeConn) Read(p []byte) (int, error) {
	if f.pieces == 0 && !f.stalls {
		return 0, io.EOF
	}
	var next <-chan time.Time // never, of a client that has stopped
	if f.pieces > 0 {
		next = time.After(f.pause)
	}
	select {
	case <-next:
	case <-f.cut:
		return 0, os.ErrDeadlineExceeded
	case <-f.left:
		return 0, io.ErrUnexpectedEOF
	}
	f.pieces--
	return min(len(p), f.piece), nil
}

func (f *fakeConn) Close() error { return nil }

// visit is one client's whole stay. It returns whether its request was read to its end, and what refused it.
func (f *fakeConn) visit(ctx context.Context, g *Gate, length int64, work time.Duration) (read bool, err error) {
	cut := make(chan struct{})
	f.cut, f.left = cut, ctx.Done()
	c := g.Open(func() { close(cut) }, ctx.Done())
	if c == nil {
		return false, errors.New("not let in")
	}
	defer c.Closed()
	c.Received(100)
	if c.IsCut() {
		return false, errCut
	}
	c.HeaderEnded()
	defer c.End()
	if err := c.Begin(ctx); err != nil {
		return false, err
	}
	body := NewBody(ctx, c, f, length)
	if _, err := io.Copy(io.Discard, body); err != nil {
		return false, err
	}
	time.Sleep(work)
	return true, nil
}

var testLimits = Limits{Connections: 20, Requests: 12, BodyBytes: 1 << 20}

// requireBounded fails the test if the process holds more than its limits.
func requireBounded(t *testing.T, in *Intake) {
	t.Helper()
	in.mu.Lock()
	defer in.mu.Unlock()
	require.LessOrEqual(t, in.claimed, in.limits.BodyBytes)
	for _, g := range in.gates {
		require.LessOrEqual(t, g.open, g.maxOpen)
		require.LessOrEqual(t, len(g.requests), g.maxRequests)
	}
}

// requireEmpty fails the test if anything is left of clients that have gone.
func requireEmpty(t *testing.T, in *Intake) {
	t.Helper()
	in.mu.Lock()
	defer in.mu.Unlock()
	require.Zero(t, in.claimed)
	require.Empty(t, in.queue)
	for _, g := range in.gates {
		require.Zero(t, g.open)
		require.Zero(t, g.ending)
		require.Zero(t, g.leaving)
		require.Zero(t, g.long)
		require.Empty(t, g.requests)
		require.Zero(t, g.idle.Len()+g.headers.Len())
	}
}

// randomConn returns a client that may be slow, stop, or send far too much.
func randomConn(r *rand.Rand) (f *fakeConn, length int64) {
	f = &fakeConn{
		pieces: r.IntN(60), piece: 1 + r.IntN(64<<10), pause: time.Duration(r.IntN(300)) * time.Millisecond, stalls: r.IntN(3) > 0,
	}
	if r.IntN(2) == 0 {
		return f, -1
	}
	length = int64(f.pieces * f.piece)
	if f.stalls {
		length += 1 + int64(r.IntN(1<<20))
	}
	return f, length
}

// Guards against a process that holds more than its limits, keeps what clients had who have gone, or serves no small
// request, for some order in which clients come, stop, go on and leave.
func TestHeldStaysBoundedWhateverClientsDo(t *testing.T) {
	for seed := range uint64(300) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 76))
			in := New(testLimits, time.Now)
			g := in.Gate("callers", 1)
			ctx, cancel := context.WithCancel(t.Context())
			var clients sync.WaitGroup
			for range 60 {
				f, length := randomConn(r)
				start, stay := time.Duration(r.IntN(5000))*time.Millisecond, time.Duration(r.IntN(20000))*time.Millisecond
				work := time.Duration(r.IntN(500)) * time.Millisecond
				clients.Go(func() {
					time.Sleep(start)
					ctx, cancel := context.WithTimeout(ctx, stay)
					defer cancel()
					for ctx.Err() == nil {
						if read, _ := f.visit(ctx, g, length, work); read {
							return
						}
					}
				})
			}
			for range 100 {
				time.Sleep(100 * time.Millisecond)
				requireBounded(t, in)
			}
			small := &fakeConn{pieces: 2, piece: 1 << 10, pause: time.Millisecond}
			require.Eventually(t, func() bool {
				read, _ := small.visit(ctx, g, 2<<10, 0)
				return read
			}, 30*time.Second, 10*time.Millisecond, "seed %d: a small request is served", seed)
			cancel()
			clients.Wait()
			requireEmpty(t, in)
		})
	}
}

// requireReadInTime sends a large body until it is read. A refusal asks the client to come back in a second.
func requireReadInTime(t *testing.T, ctx context.Context, g *Gate) {
	t.Helper()
	for range 30 {
		large := &fakeConn{pieces: 16, piece: 32 << 10, pause: 10 * time.Millisecond}
		read, err := large.visit(ctx, g, 512<<10, 0)
		if read {
			return
		}
		var refused *RefusedError
		require.ErrorAs(t, err, &refused)
		time.Sleep(time.Second)
	}
	t.Fatal("a large body is refused for good")
}

// Guards against a crowd that has stopped just short of its end and keeps out all others for good.
func TestStoppedCrowdGivesWay(t *testing.T) {
	for _, length := range []int64{-1, 300 << 10} {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				in := New(testLimits, time.Now)
				g := in.Gate("callers", 1)
				ctx, cancel := context.WithCancel(t.Context())
				var crowd sync.WaitGroup
				for range 40 {
					crowd.Go(func() {
						f := &fakeConn{pieces: 4, piece: 64 << 10, stalls: true}
						_, _ = f.visit(ctx, g, length, 0)
					})
				}
				time.Sleep(2 * time.Second)
				requireBounded(t, in)
				requireReadInTime(t, ctx, g)
				requireBounded(t, in)
				cancel()
				crowd.Wait()
				requireEmpty(t, in)
			})
		})
	}
}

// Guards against bounds that turn away a slow client although nobody else needs its room.
func TestSlowClientIsServedInCalm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := New(testLimits, time.Now)
		slow := &fakeConn{pieces: 400, piece: 1 << 10, pause: 10 * time.Second}
		read, err := slow.visit(t.Context(), in.Gate("callers", 1), 400<<10, 0)
		require.NoError(t, err)
		require.True(t, read)
		requireEmpty(t, in)
	})
}

// Guards against a body that waits for room that it can never have.
func TestBodyThatNeverFitsIsRefusedAtOnce(t *testing.T) {
	in := New(testLimits, time.Now)
	start := time.Now()
	huge := &fakeConn{pieces: 1000, piece: 32 << 10}
	_, err := huge.visit(t.Context(), in.Gate("callers", 1), testLimits.BodyBytes+1, 0)
	var tooLarge *TooLargeError
	require.ErrorAs(t, err, &tooLarge)
	require.Less(t, time.Since(start), requestWait)
	requireEmpty(t, in)
}

// Guards against a body that loses bytes, or is read beyond its limit, where its buffer grows.
func TestReadAllReadsAnyLength(t *testing.T) {
	for _, length := range []int{0, 1, SmallBody - 1, SmallBody, SmallBody + 1, 64 << 10, 64<<10 + 1, 100_000, 200_000} {
		for _, limit := range []int{length - 1, length, length + 1, 1 << 20} {
			for _, announced := range []bool{true, false} {
				r := &http.Request{ContentLength: -1}
				if announced {
					r.ContentLength = int64(length)
				}
				r.Body = io.NopCloser(io.LimitReader(zeros{}, int64(length)))
				body, err := ReadAll(r, int64(limit))
				if length > limit {
					var tooLarge *http.MaxBytesError
					require.ErrorAs(t, err, &tooLarge, "%d of %d", length, limit)
					continue
				}
				require.NoError(t, err)
				require.Len(t, body, length)
			}
		}
	}
}

// zeros is an endless reader.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// Guards against bounds that leave a process without memory or descriptors of its own.
func TestLimitsFollowFromTheMachine(t *testing.T) {
	for _, memory := range []int64{64 << 20, 160 << 20, 284 << 20, 8 << 30} {
		for _, descriptors := range []int{600, 4100, 100_000} {
			l := LimitsOf(memory, descriptors)
			held := int64(l.Connections)*ConnectionBytes + int64(l.Requests)*RequestBytes + l.BodyBytes
			require.LessOrEqual(t, float64(held), 0.6*float64(memory))
			require.LessOrEqual(t, l.Connections, (descriptors-reservedDescriptors)/2)
			require.GreaterOrEqual(t, l.Requests, minConnections)
		}
	}
}
