package fake

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"savoryreel.example/savoryreel/native"
)

// writeInterval is the interval between writes of a bandwidth-limited body.
const writeInterval = 10 * time.Millisecond

// StoreConfig configures a Store.
type StoreConfig struct {
	WeightBytes    int64   // size of every model's weights
	BytesPerSecond int64   // per reader; 0: no limit
	ReadsPerSecond float64 // over all readers; reads above it get 429 with Retry-After; 0: no limit
	Burst          int     // burst of ReadsPerSecond; at least 1
}

// StoreStats holds a Store's counters. It is the body of GET /fake/stats.
type StoreStats struct {
	Served  int `json:"served"`  // bodies written to the end
	Refused int `json:"refused"` // by the rate limit
}

// Store is a stand-in weight store. It has every model in every version. It is
// safe for concurrent use.
type Store struct {
	cfg     StoreConfig
	faults  *faultState
	limiter *rate.Limiter

	mu    sync.Mutex
	stats StoreStats
}

// NewStore returns a weight store.
func NewStore(cfg StoreConfig, _ Deps) *Store {
	limit := rate.Limit(cfg.ReadsPerSecond)
	if limit == 0 {
		limit = rate.Inf
	}
	return &Store{
		cfg:     cfg,
		faults:  newFaultState(),
		limiter: rate.NewLimiter(limit, max(1, cfg.Burst)),
	}
}

// Handler serves the weights and the /fake/ paths.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(PathFaults, faultHandler(s.faults))
	mux.HandleFunc("GET "+PathStats, s.serveStats)
	weights := http.HandlerFunc(s.serveWeights)
	mux.Handle("GET "+native.PathWeights+"{model}/{version}", s.faults.guard(weights))
	return mux
}

// Run serves on ln until ctx ends.
func (s *Store) Run(ctx context.Context, ln net.Listener) error {
	return serve(ctx, ln, s.Handler(), s.faults)
}

// SetFaults replaces the active faults. Freeze, SlowFactor and Refuse have an
// effect on a Store.
func (s *Store) SetFaults(f Faults) { s.faults.set(f) }

// Stats returns the counters since the start.
func (s *Store) Stats() StoreStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

func (s *Store) serveStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Stats())
}

func (s *Store) serveWeights(w http.ResponseWriter, r *http.Request) {
	if s.faults.refusedByFault(w) {
		return
	}
	if retryAfter := s.reserve(); retryAfter > 0 {
		s.updateStats(func(st *StoreStats) { st.Refused++ })
		refuse(w, http.StatusTooManyRequests, retryAfter, "rate_limited", "too many reads")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(s.cfg.WeightBytes, 10))
	if s.writeBody(w, r) != nil {
		abort()
	}
	s.updateStats(func(st *StoreStats) { st.Served++ })
}

// reserve returns 0 if the read is admitted now, or else the delay after which to
// retry.
func (s *Store) reserve() time.Duration {
	reservation := s.limiter.Reserve()
	delay := reservation.Delay()
	if delay > 0 {
		reservation.Cancel()
	}
	return delay
}

func (s *Store) writeBody(w http.ResponseWriter, r *http.Request) error {
	chunkBytes := int64(streamChunkBytes)
	var interval time.Duration
	if s.cfg.BytesPerSecond > 0 {
		chunkBytes = max(1, s.cfg.BytesPerSecond*int64(writeInterval)/int64(time.Second))
		interval = writeInterval
	}
	zeros := make([]byte, chunkBytes)
	for remaining := s.cfg.WeightBytes; remaining > 0; remaining -= chunkBytes {
		if err := sleep(r.Context(), s.faults, time.Duration(float64(interval)*s.faults.slowFactor())); err != nil {
			return err
		}
		if err := s.faults.waitThawed(r.Context()); err != nil {
			return err
		}
		if _, err := w.Write(zeros[:min(chunkBytes, remaining)]); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) updateStats(f func(*StoreStats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.stats)
}
