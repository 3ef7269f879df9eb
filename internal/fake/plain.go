package fake

import (
	"cmp"
	"context"
	"encoding/hex"
	"hash"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/native"
)

// Paths and headers of a Plain.
const (
	PathCounter = "/counter" // path suffix: POST increments the counter named by ?name=
	PathStream  = "/stream"  // path suffix: returns ?bytes= bytes of StreamByte

	HeaderExecutions     = "X-Executions" // executions of the Idempotency-Key, including this one
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	streamChunkBytes  = 32 << 10
	streamModulus     = 251 // prime, so that a lost block of a power-of-two size is detected
	maxCrashTextBytes = 64 << 10
	streamByteParam   = "bytes"
)

// PlainConfig configures a Plain.
type PlainConfig struct {
	ID          string
	Incarnation uint64 // 0: Unix time of NewPlain in milliseconds
	Address     string // announced address; empty: the listener's
	Region      string
	Zone        string
	Class       string // machine class
	Services    []string
	Slots       int           // announced, not enforced; 0: DefaultSlots
	Work        time.Duration // from the end of the body to the effect
	AnswerDelay time.Duration // from the effect to the answer
	Announcing  Announcing
}

// PlainAnswer is the JSON answer to every path except PathStream, the health path
// and the /fake/ paths.
type PlainAnswer struct {
	Server     string `json:"server"` // the server's id
	Method     string `json:"method"`
	Path       string `json:"path"`
	Query      string `json:"query,omitempty"`
	BodyBytes  int64  `json:"bodyBytes"`
	BodyHash   string `json:"bodyHash"`             // xxhash64 of the body, hex
	Key        string `json:"key,omitempty"`        // the request's Idempotency-Key
	Executions int    `json:"executions,omitempty"` // executions of Key at this server
}

// PlainStats holds a Plain's counters. It is the body of GET /fake/stats.
type PlainStats struct {
	Calls      int            `json:"calls"`      // calls that had their effect
	Executions map[string]int `json:"executions"` // by Idempotency-Key
	Counters   map[string]int `json:"counters"`   // by name
	Requests   map[string]int `json:"requests"`   // by X-Request-Id
}

// Plain is a stand-in plain service. It is safe for concurrent use.
type Plain struct {
	cfg       PlainConfig
	faults    *faultState
	announcer *announcer

	mu      sync.Mutex
	address string
	running int
	stats   PlainStats
}

// NewPlain returns a plain service. It serves once Run is called or its Handler
// used.
func NewPlain(cfg PlainConfig, deps Deps) *Plain {
	cfg.Incarnation = cmp.Or(cfg.Incarnation, uint64(time.Now().UnixMilli()))
	cfg.Slots = cmp.Or(cfg.Slots, DefaultSlots)
	p := &Plain{
		cfg:     cfg,
		faults:  newFaultState(),
		address: cfg.Address,
		stats: PlainStats{
			Executions: make(map[string]int),
			Counters:   make(map[string]int),
			Requests:   make(map[string]int),
		},
	}
	p.announcer = newAnnouncer(cfg.Announcing, deps.withDefaults(), p.faults, p.describe)
	return p
}

// Handler serves every method and path, and the /fake/ paths.
func (p *Plain) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(PathFaults, faultHandler(p.faults))
	mux.HandleFunc("GET "+PathStats, p.serveStats)
	mux.Handle("GET "+native.PathHealth, p.faults.guard(http.HandlerFunc(serveHealth)))
	mux.Handle("/", p.faults.guard(p.announcer.tellLeaving(http.HandlerFunc(p.serveCall))))
	return mux
}

// Run serves on ln and announces the service until ctx ends, like Engine.Run.
func (p *Plain) Run(ctx context.Context, ln net.Listener) error {
	p.mu.Lock()
	if p.address == "" {
		p.address = ln.Addr().String()
	}
	p.mu.Unlock()
	defer p.announcer.client.CloseIdleConnections()
	return serve(ctx, ln, p.Handler(), p.faults, p.announcer.run)
}

// Leave announces that the service leaves after notice.
func (p *Plain) Leave(notice time.Duration) { p.announcer.leave(notice) }

// Kill ends Run without an announcement, like a killed process.
func (p *Plain) Kill() { p.faults.end(ErrKilled) }

// SetFaults replaces the active faults. CrashOn is matched with the start of the
// body, after the whole body was read and before the effect. StallAfterTokens has
// no effect on a Plain.
func (p *Plain) SetFaults(f Faults) { p.faults.set(f) }

// Stats returns the counters since the start.
func (p *Plain) Stats() PlainStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stats
	s.Executions = maps.Clone(s.Executions)
	s.Counters = maps.Clone(s.Counters)
	s.Requests = maps.Clone(s.Requests)
	return s
}

func (p *Plain) describe() instance.Announcement {
	p.mu.Lock()
	defer p.mu.Unlock()
	return instance.Announcement{
		ID:          p.cfg.ID,
		Incarnation: p.cfg.Incarnation,
		Address:     p.address,
		Region:      p.cfg.Region,
		Zone:        p.cfg.Zone,
		Class:       p.cfg.Class,
		Services:    p.cfg.Services,
		Slots:       p.cfg.Slots,
		Load:        instance.Load{At: time.Now(), Running: p.running},
	}
}

func (p *Plain) serveStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.Stats())
}

func (p *Plain) serveCall(w http.ResponseWriter, r *http.Request) {
	if p.faults.refusedByFault(w) {
		return
	}
	p.addRunning(1)
	defer p.addRunning(-1)
	if strings.HasSuffix(r.URL.Path, PathStream) {
		p.serveStream(w, r)
		return
	}
	body := newBodyDigest()
	if _, err := io.Copy(body, r.Body); err != nil {
		abort()
	}
	if p.faults.crashOnMatch(body.firstBytes.String()) != nil {
		abort()
	}
	if p.simulateWork(r.Context(), p.cfg.Work) != nil {
		abort()
	}
	executions := p.execute(r)
	if p.simulateWork(r.Context(), p.cfg.AnswerDelay) != nil {
		abort()
	}
	w.Header().Set(HeaderExecutions, strconv.Itoa(executions))
	writeJSON(w, http.StatusOK, p.answer(r, body, executions))
}

func (p *Plain) answer(r *http.Request, body *bodyDigest, executions int) PlainAnswer {
	return PlainAnswer{
		Server:     p.cfg.ID,
		Method:     r.Method,
		Path:       r.URL.Path,
		Query:      r.URL.RawQuery,
		BodyBytes:  body.bytes,
		BodyHash:   hex.EncodeToString(body.hash.Sum(nil)),
		Key:        r.Header.Get(HeaderIdempotencyKey),
		Executions: executions,
	}
}

// execute performs the effect of a call: it increments the counters. It returns
// the executions of the call's Idempotency-Key, or 0 without a key.
func (p *Plain) execute(r *http.Request) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Calls++
	p.stats.Requests[r.Header.Get(native.HeaderRequestID)]++
	if r.Method == http.MethodPost && strings.HasSuffix(r.URL.Path, PathCounter) {
		p.stats.Counters[r.URL.Query().Get("name")]++
	}
	key := r.Header.Get(HeaderIdempotencyKey)
	if key == "" {
		return 0
	}
	p.stats.Executions[key]++
	return p.stats.Executions[key]
}

func (p *Plain) addRunning(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running += n
}

func (p *Plain) simulateWork(ctx context.Context, d time.Duration) error {
	err := sleep(ctx, p.faults, time.Duration(float64(d)*p.faults.slowFactor()))
	if err != nil {
		return err
	}
	return p.faults.waitThawed(ctx)
}

// serveStream answers the requested number of bytes in chunks; byte i is
// StreamByte(i).
func (p *Plain) serveStream(w http.ResponseWriter, r *http.Request) {
	total, err := strconv.ParseInt(r.URL.Query().Get(streamByteParam), 10, 64)
	if err != nil || total < 0 {
		refuse(w, http.StatusBadRequest, 0, "bad_request", "bytes is no size")
		return
	}
	p.execute(r)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.WriteHeader(http.StatusOK)
	chunk := make([]byte, streamChunkBytes)
	for sent := int64(0); sent < total; {
		n := min(int64(len(chunk)), total-sent)
		for i := range chunk[:n] {
			chunk[i] = StreamByte(sent + int64(i))
		}
		if p.faults.waitThawed(r.Context()) != nil {
			abort()
		}
		if _, err := w.Write(chunk[:n]); err != nil {
			return
		}
		sent += n
	}
}

// StreamByte returns byte i of every PathStream answer.
func StreamByte(i int64) byte { return byte(i % streamModulus) }

// bodyDigest computes the hash and size of a body and stores its first
// maxCrashTextBytes.
type bodyDigest struct {
	hash       hash.Hash64
	bytes      int64
	firstBytes strings.Builder
}

func newBodyDigest() *bodyDigest { return &bodyDigest{hash: xxhash.New()} }

// Write implements io.Writer.
func (b *bodyDigest) Write(chunk []byte) (int, error) {
	b.bytes += int64(len(chunk))
	if free := maxCrashTextBytes - b.firstBytes.Len(); free > 0 {
		b.firstBytes.Write(chunk[:min(free, len(chunk))])
	}
	return b.hash.Write(chunk)
}
