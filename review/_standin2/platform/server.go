package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeatEvery is heartbeat_ms of the settings.
const heartbeatEvery = 1200 * time.Millisecond

// server is a stand-in of a backend server. It runs each request at once and answers with a signed body.
type server struct {
	bed      *bed
	id, zone string
	addr     string
	controls []*process
	http     *http.Server
	stop     context.CancelFunc

	mu   sync.Mutex
	runs map[string]int // by request id
	seq  int
}

// startServer starts a server of the service web that sends heartbeats to control processes.
func startServer(b *bed, id, zone string, controls []*process) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &server{bed: b, id: id, zone: zone, addr: l.Addr().String(), controls: controls, stop: cancel, runs: make(map[string]int)}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	go s.announce(ctx)
	return s, nil
}

func (s *server) close() {
	s.stop()
	_ = s.http.Close()
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", s.id)
		return
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Server-Stamp", s.id+"."+id)
	_, _ = io.WriteString(w, "answer to "+id)
}

// announce sends heartbeats until ctx ends, each to the next control process that acknowledges it.
func (s *server) announce(ctx context.Context) {
	for ctx.Err() == nil {
		s.heartbeat()
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatEvery):
		}
	}
}

func (s *server) heartbeat() (acknowledged bool) {
	s.mu.Lock()
	s.seq++
	seq := s.seq
	s.mu.Unlock()
	body, _ := json.Marshal(map[string]any{ // of plain values
		"service": "web", "address": s.addr, "zone": s.zone, "version": "v1", "slots": 64, "state": "ready", "cold_left_ms": 0, "seq": seq,
	})
	for i := range s.controls {
		p := s.controls[(seq+i)%len(s.controls)]
		status, _ := call(http.MethodPost, "http://"+s.bed.addr(p.host, portControl)+"/savoryreel/Instances.Heartbeat/"+s.id, body)
		if status/100 == 2 {
			return true
		}
	}
	return false
}

// client sends requests to one entry on kept connections.
type client struct {
	entry string
	key   string
	http  *http.Client
	n     int
}

func newClient(entry, key string) *client {
	return &client{entry: entry, key: key, http: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
}

// get sends a request with a header field of some bytes, and returns the status and whether the answer is
// the server's; 0: no answer.
func (c *client) get(fieldBytes int) (status int, signed bool) {
	c.n++
	req, err := http.NewRequest(http.MethodGet, "http://"+c.entry+"/web/x", nil)
	if err != nil {
		return 0, false
	}
	req.Host = "site.example"
	req.Header.Set("X-Request-Id", fmt.Sprintf("%s-%d-%d", c.entry, time.Now().UnixNano(), c.n))
	req.Header.Set("X-Deadline-Ms", "5000")
	req.Header.Set("Authorization", "Token "+c.key)
	if fieldBytes > 0 {
		req.Header.Set("X-Prefix-Hash", segments(fieldBytes))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header.Get("X-Server-Stamp") != ""
}

// segments returns the parts of a prompt, as X-Prefix-Hash lists them, of some bytes.
func segments(n int) string {
	text := make([]byte, 0, n)
	for i := 0; len(text) < n-16; i++ {
		text = fmt.Appendf(text, "%08x:%d,", 0x10000000+i, 100)
	}
	return string(fmt.Appendf(text, "%08x:%d", 0xfffffff0, 100))
}
