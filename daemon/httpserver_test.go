package daemon

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/oklog/run"
	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/intake"
)

// testGate returns a gate that bounds by what the machine has.
func testGate() *intake.Gate { return intake.OfMachine(time.Now).Gate("test", 1) }

// startHTTPServer serves h on l.
func startHTTPServer(t *testing.T, l net.Listener, h http.HandlerFunc) *HTTPServer {
	s := NewHTTPServer(h, testGate(), slog.New(slog.DiscardHandler))
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(l, HTTPLimits{HeaderTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second}) }()
	t.Cleanup(func() {
		s.Close()
		require.NoError(t, <-ended)
	})
	return s
}

func listenLocal(t *testing.T) *net.TCPListener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return l.(*net.TCPListener)
}

func drainWithin(t *testing.T, s *HTTPServer, limit time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	s.Drain(ctx)
	require.NoError(t, ctx.Err(), "the drain did not end")
	open, _ := s.Connections()
	require.Zero(t, open)
}

// exchangeOn sends a request in parts, with a pause after each, and reads the answer.
func exchangeOn(c net.Conn, r *bufio.Reader, id string, parts int, pause func()) (string, bool, error) {
	text := "POST /" + id + " HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\n12345678"
	for i := range parts {
		from, to := len(text)*i/parts, len(text)*(i+1)/parts
		if _, err := io.WriteString(c, text[from:to]); err != nil {
			return "", false, err
		}
		if i < parts-1 {
			pause()
		}
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return "", false, err
	}
	body, err := io.ReadAll(resp.Body)
	return string(body), resp.Close, err
}

// drainedSite is a server with callers that keep their connections until they are closed.
type drainedSite struct {
	mu       sync.Mutex
	started  map[string]bool // ids of requests that reached the handler
	answered map[string]bool
}

func (d *drainedSite) handle(w http.ResponseWriter, r *http.Request, delay time.Duration) {
	id := strings.TrimPrefix(r.URL.Path, "/")
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) != 8 {
		return
	}
	d.mu.Lock()
	d.started[id] = true
	d.mu.Unlock()
	time.Sleep(delay)
	if r.Context().Err() == nil {
		_, _ = io.WriteString(w, id)
	}
}

func (d *drainedSite) anyStarted() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.started) > 0
}

// callUntilClosed sends requests on one connection after the other until the server accepts
// none, in parts and with pauses drawn from rng.
func (d *drainedSite) callUntilClosed(addr, name string, rng *rand.Rand) {
	for n := 0; ; {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			return
		}
		r := bufio.NewReader(c)
		for closing := false; !closing && rng.IntN(8) > 0; n++ {
			id := fmt.Sprintf("%s-%d", name, n)
			pause := func() { time.Sleep(time.Duration(rng.IntN(3000)) * time.Microsecond) }
			var body string
			body, closing, err = exchangeOn(c, r, id, 1+rng.IntN(3), pause)
			if err != nil {
				break
			}
			if body == id {
				d.mu.Lock()
				d.answered[id] = true
				d.mu.Unlock()
			}
			pause()
		}
		_ = c.Close()
	}
}

// requireAllAnswered runs 20 callers against serve, which returns a function that stops it, and
// checks that each request that was handled has been answered.
func requireAllAnswered(t *testing.T, seed uint64, serve func(l net.Listener, h http.HandlerFunc) (stop func())) {
	d := &drainedSite{started: map[string]bool{}, answered: map[string]bool{}}
	l := listenLocal(t)
	stop := serve(l, func(w http.ResponseWriter, r *http.Request) {
		d.handle(w, r, time.Duration(len(r.URL.Path)%4)*time.Millisecond)
	})
	var callers sync.WaitGroup
	for i := range 20 {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		callers.Go(func() { d.callUntilClosed(l.Addr().String(), fmt.Sprint(i), rng) })
	}
	require.Eventually(t, d.anyStarted, 10*time.Second, time.Millisecond)
	time.Sleep(time.Duration(50+10*seed) * time.Millisecond)
	stop()
	callers.Wait()
	require.NotEmpty(t, d.started)
	require.Equal(t, d.started, d.answered, "requests that were handled and answered")
}

// Guards against a stop that closes a connection under a request, wherever the request is
// between its first byte and the last one of its answer: its caller would get neither an
// answer nor a refusal.
func TestDrainAnswersEveryRequestThatIsHandled(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			requireAllAnswered(t, seed, func(l net.Listener, h http.HandlerFunc) func() {
				s := startHTTPServer(t, l, h)
				return func() {
					drainWithin(t, s, 10*time.Second)
					s.Close()
				}
			})
		})
	}
}

// Guards against the same at the end of a process's group of actors: operators, backend servers
// and callers that ask where to connect would get no answer.
func TestEndOfGroupAnswersEveryRequestThatIsHandled(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			requireAllAnswered(t, seed, func(l net.Listener, h http.HandlerFunc) func() {
				return serveInGroup(t, l, h)
			})
		})
	}
}

// serveInGroup serves h in a group of actors and returns a function that ends the group.
func serveInGroup(t *testing.T, l net.Listener, h http.HandlerFunc) (end func()) {
	var g run.Group
	ctx, cancel := context.WithCancel(t.Context())
	EndWith(ctx, &g)
	Serve(&g, l, h, testGate(), 10*time.Second, slog.New(slog.DiscardHandler))
	ended := make(chan error, 1)
	go func() { ended <- g.Run() }()
	return func() {
		cancel()
		require.NoError(t, <-ended)
	}
}

// Guards against the end of a process that drops a request whose header it is just reading.
func TestEndOfGroupAnswersRequestThatIsBeingRead(t *testing.T) {
	t.Parallel()
	l := listenLocal(t)
	end := serveInGroup(t, l, func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) })
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	_, _, err = exchangeOn(c, bufio.NewReader(c), "1", 2, func() {
		go end()
		require.Eventually(t, func() bool {
			probe, err := net.Dial("tcp", l.Addr().String())
			if err == nil {
				_ = probe.Close()
			}
			return err != nil
		}, 5*time.Second, time.Millisecond)
	})
	require.NoError(t, err)
}

// Guards against a stop that resets callers whose connections wait to be accepted.
func TestDrainAcceptsConnectionsInTheQueue(t *testing.T) {
	l := listenLocal(t)
	paced, err := Paced(l, AcceptRate{PerSecond: 400, Burst: 1, Backlog: 16})
	require.NoError(t, err)
	s := startHTTPServer(t, paced, func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) })
	var conns []net.Conn
	for range 8 {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		defer c.Close()
		conns = append(conns, c)
	}
	var answers sync.WaitGroup
	for i, c := range conns {
		answers.Go(func() {
			body, _, err := exchangeOn(c, bufio.NewReader(c), fmt.Sprint(i), 1, nil)
			if err != nil || body != fmt.Sprint("/", i) {
				t.Errorf("connection %d: %q, %v", i, body, err)
			}
		})
	}
	drainWithin(t, s, 10*time.Second)
	answers.Wait()
}

// stalledListener is a listener of a process that is not scheduled for a while before its first two accepts.
type stalledListener struct {
	*net.TCPListener
	accepts int
}

func (l *stalledListener) Accept() (net.Conn, error) {
	if l.accepts++; l.accepts <= 2 {
		time.Sleep(5 * queueWait)
	}
	return l.TCPListener.Accept()
}

// Guards against the same when the process gets no processor for a while: the deadline of the
// last accepts would pass before they look at the queue.
func TestDrainAcceptsTheQueueAfterAStall(t *testing.T) {
	l := listenLocal(t)
	s := startHTTPServer(t, &stalledListener{TCPListener: l}, func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) })
	conn, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	var drained sync.WaitGroup
	drained.Go(func() { s.Drain(t.Context()) })
	body, _, err := exchangeOn(conn, bufio.NewReader(conn), "1", 1, nil)
	require.NoError(t, err)
	require.Equal(t, "/1", body)
	drained.Wait()
}

// Guards against a listener that goes on accepting, once the process was not scheduled, for as long
// as callers connect: the drain would take requests that it cuts off at its end.
func TestDrainEndsAcceptingWhileCallersConnect(t *testing.T) {
	l := listenLocal(t)
	s := startHTTPServer(t, &stalledListener{TCPListener: l}, func(http.ResponseWriter, *http.Request) {})
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	var callers sync.WaitGroup
	callers.Go(func() {
		for ctx.Err() == nil {
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			time.Sleep(3 * time.Millisecond)
			_ = c.Close()
		}
	})
	time.Sleep(20 * time.Millisecond)
	s.Drain(ctx)
	require.NoError(t, ctx.Err(), "the drain did not end")
	callers.Wait()
}

// Guards against a caller whose request is too large and who gets no answer until it has sent all
// of it.
func TestTooLargeBodyIsAnsweredAtOnce(t *testing.T) {
	l := listenLocal(t)
	startHTTPServer(t, l, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1000)); err != nil {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		}
	})
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("x", 2000))
	require.NoError(t, err)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(2*time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestEntityTooLarge, resp.StatusCode)
	require.True(t, resp.Close)
}

// Guards against a process that waits for requests that don't end after their time is over.
func TestStopAfterADrainClosesAtOnce(t *testing.T) {
	l := listenLocal(t)
	started := make(chan struct{})
	s := startHTTPServer(t, l, func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
	})
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	<-started
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	s.Drain(ctx)
	start := time.Now()
	s.Stop(5 * time.Second)
	require.Less(t, time.Since(start), time.Second)
}

// Guards against a request that net/http has read together with the one before it, and that a
// drain cuts off since no read announces it.
func TestDrainAnswersPipelinedRequest(t *testing.T) {
	l := listenLocal(t)
	started, drained := make(chan struct{}, 2), make(chan struct{})
	s := startHTTPServer(t, l, func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		if r.URL.Path == "/1" {
			<-drained
		}
		time.Sleep(20 * time.Millisecond)
		if r.Context().Err() == nil {
			_, _ = io.WriteString(w, r.URL.Path)
		}
	})
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	<-started
	go func() {
		time.Sleep(50 * time.Millisecond)
		close(drained)
	}()
	drainWithin(t, s, 10*time.Second)
	r := bufio.NewReader(c)
	for _, path := range []string{"/1", "/2"} {
		resp, err := http.ReadResponse(r, nil)
		require.NoError(t, err, path)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, path, string(body))
		if resp.Close {
			break
		}
	}
}

// Guards against a server that is stopped before it serves, as when no catalogue has arrived,
// and then accepts callers whom nobody answers.
func TestServerStoppedBeforeItServes(t *testing.T) {
	l := listenLocal(t)
	s := NewHTTPServer(http.NotFoundHandler(), testGate(), slog.New(slog.DiscardHandler))
	s.Stop(time.Second)
	require.NoError(t, s.Serve(l, HTTPLimits{}))
	_, err := net.Dial("tcp", l.Addr().String())
	require.Error(t, err)
	require.True(t, errors.Is(l.Close(), net.ErrClosed))
}
