package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// cloud is a stand-in of the platform's API. It accepts usage reports, refuses a lower fence than it has
// seen, and records what two holders must not do.
type cloud struct {
	bed  *bed
	addr string
	http *http.Server

	mu      sync.Mutex
	fence   uint64
	holders map[uint64]string // holder by fencing token
	windows map[int64]map[string]int64
	broken  []string
}

func startCloud(b *bed) (*cloud, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &cloud{bed: b, addr: l.Addr().String(), holders: make(map[uint64]string), windows: make(map[int64]map[string]int64)}
	c.http = &http.Server{Handler: http.HandlerFunc(c.serve), ReadHeaderTimeout: time.Second}
	go func() { _ = c.http.Serve(l) }()
	return c, nil
}

func (c *cloud) close() { _ = c.http.Close() }

func (c *cloud) serve(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Window int64            `json:"window_id"`
		Counts map[string]int64 `json:"counts"`
	}
	fence, err := strconv.ParseUint(r.Header.Get("X-Fence-Token"), 10, 64)
	if r.URL.Path != "/usage" || err != nil || json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	holder := r.Header.Get("X-Duty-Holder")
	c.mu.Lock()
	defer c.mu.Unlock()
	if other, used := c.holders[fence]; used && other != holder {
		c.violate("%s and %s sent fencing token %d", other, holder, fence)
	}
	c.holders[fence] = holder
	status := http.StatusOK
	switch accepted, known := c.windows[in.Window]; {
	case fence < c.fence:
		status = http.StatusConflict
	case known && !maps.Equal(accepted, in.Counts):
		c.violate("window %d was accepted as %v and as %v, the second from %s", in.Window, accepted, in.Counts, holder)
		c.windows[in.Window] = in.Counts
	default:
		c.windows[in.Window] = in.Counts
	}
	c.fence = max(c.fence, fence)
	c.bed.note("cloud: usage of window %d from %s with fence %d: %v, answered %d", in.Window, holder, fence, in.Counts, status)
	w.WriteHeader(status)
}

// violate records that a rule was broken. c.mu is held.
func (c *cloud) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.broken = append(c.broken, text)
	c.bed.note("cloud: BROKEN: %s", text)
}

func (c *cloud) violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.broken...)
}

// configuration returns a configuration of a version. edit may change it; nil: not.
func configuration(version int, edit func(map[string]any)) []byte {
	c := map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-1", "host": "site.example", "path_prefix": "/web/", "route_kind": "idempotent", "timeout_ms": 3000, "slo_ms": 500,
			"priority": 0, "service": "web", "max_attempts": 2, "public": false, "sticky": false, "resumable": false, "itl_target_ms": 0,
		}},
		"services": []any{map[string]any{"name": "web", "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "w1", "api_keys": []string{"key-1"}}},
	}
	if edit != nil {
		edit(c)
	}
	enc, _ := json.Marshal(c) // of plain values
	return enc
}

// callTimeout is how long an operator waits for a response before it turns to another node.
const callTimeout = time.Second

var operatorClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// replace sends a configuration to a control process and returns the status; 0: no response.
func (b *bed) replace(p *process, document []byte) int {
	status, _ := call(http.MethodPost, "http://"+b.addr(p.host, portControl)+"/savoryreel/Config.Replace", document)
	return status
}

// read reads the configuration at a control process and returns the status and the version.
func (b *bed) read(p *process) (status, version int) {
	status, body := call(http.MethodGet, "http://"+b.addr(p.host, portControl)+"/savoryreel/Config.Read", nil)
	var out struct {
		Version int `json:"version"`
	}
	if status == http.StatusOK && json.Unmarshal(body, &out) != nil {
		return -1, 0
	}
	return status, out.Version
}

func call(method, url string, body []byte) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := operatorClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// order sends a configuration as the operator does, to one process after the other until one
// acknowledges it, and returns which.
func (b *bed) order(processes []*process, version int, document []byte) (*process, error) {
	first := time.Now()
	for i := 0; time.Since(first) < 20*time.Second; i++ {
		p := processes[i%len(processes)]
		status := b.replace(p, document)
		b.note("operator: version %d sent to %s, answered %d", version, p.name, status)
		if status == http.StatusOK {
			return p, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil, fmt.Errorf("version %d was not acknowledged", version)
}
