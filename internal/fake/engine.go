package fake

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/native"
)

// Defaults of an Engine.
const (
	DefaultSlots        = 8
	DefaultMaxWaiting   = 64
	DefaultAnswerTokens = 16
	DefaultKVRate       = 1 << 30 // bytes per second between two engines
	DefaultKVPerToken   = 128 << 10
	DefaultRetryAfter   = time.Second

	maxQueuedLoadOrders = 16
)

// EngineConfig configures an Engine. Where the comment names a default, zero
// means that default. Zero times and rates simulate no delay.
type EngineConfig struct {
	ID          string
	Incarnation uint64 // 0: Unix time of NewEngine in milliseconds
	Address     string // announced address; empty: the listener's
	Region      string
	Zone        string
	Class       string // machine class
	Model       string
	Version     string
	Adapters    []string
	Role        string

	Slots         int           // DefaultSlots
	MaxWaiting    int           // DefaultMaxWaiting; requests above it get 429 without running
	FirstToken    time.Duration // from the slot to the first token, in addition to the prefill
	TokenTime     time.Duration // per token of the only request in the batch
	BatchSlowdown float64       // fraction of TokenTime added per other running request
	PrefillRate   float64       // prompt tokens per second; 0: no delay
	AnswerTokens  int           // DefaultAnswerTokens; answer length if the request sets no maximum

	CacheTokens int           // capacity of the prefix cache; 0: no cache
	EventDelay  time.Duration // interval between pushes of cache events; 0: the heartbeat
	EventGap    int           // one event in EventGap is lost; 0: none
	LoadLag     time.Duration // minimum age of the load in announcements, rounded up to heartbeats

	KVPerToken   int64         // DefaultKVPerToken; bytes
	KVRate       int64         // DefaultKVRate; bytes per second
	ChecksFences bool          // refuses orders with a lower fencing number than the highest received
	Store        string        // host:port of the weight store; empty: models load at once
	Notice       time.Duration // notice period when ordered to leave

	Announcing Announcing
}

func (c EngineConfig) withDefaults() EngineConfig {
	c.Incarnation = cmp.Or(c.Incarnation, uint64(time.Now().UnixMilli()))
	c.Slots = cmp.Or(c.Slots, DefaultSlots)
	c.MaxWaiting = cmp.Or(c.MaxWaiting, DefaultMaxWaiting)
	c.AnswerTokens = cmp.Or(c.AnswerTokens, DefaultAnswerTokens)
	c.KVPerToken = cmp.Or(c.KVPerToken, DefaultKVPerToken)
	c.KVRate = cmp.Or(c.KVRate, DefaultKVRate)
	c.Announcing.Heartbeat = cmp.Or(c.Announcing.Heartbeat, DefaultHeartbeat)
	c.EventDelay = cmp.Or(c.EventDelay, c.Announcing.Heartbeat)
	return c
}

// Engine is a stand-in model engine. It is safe for concurrent use.
type Engine struct {
	cfg         EngineConfig
	deps        Deps
	faults      *faultState
	batch       *batch
	cache       *cache
	kv          *kvStore
	stats       *engineStats
	orders      *orderLog
	requests    *cancelTable
	loadHistory *loadHistory
	loadOrders  chan native.Order
	store       *native.StoreClient
	announcer   *announcer

	mu      sync.Mutex
	address string
	model   modelState
}

// modelState is the engine's model, adapters and role, which orders change.
type modelState struct {
	name     string
	version  string
	adapters []string
	role     string
}

// NewEngine returns an engine. It serves once Run is called or its Handler used.
func NewEngine(cfg EngineConfig, deps Deps) *Engine {
	cfg = cfg.withDefaults()
	deps = deps.withDefaults()
	e := &Engine{
		cfg:         cfg,
		deps:        deps,
		faults:      newFaultState(),
		batch:       newBatch(cfg.Slots, cfg.MaxWaiting),
		cache:       newCache(cfg.CacheTokens),
		kv:          newKVStore(cfg.ID),
		stats:       newEngineStats(),
		orders:      newOrderLog(cfg.ChecksFences),
		requests:    newCancelTable(),
		loadHistory: newLoadHistory(cfg.LoadLag),
		loadOrders:  make(chan native.Order, maxQueuedLoadOrders),
		store:       native.NewStore(native.StoreConfig{}),
		address:     cfg.Address,
		model: modelState{
			name:     cfg.Model,
			version:  cfg.Version,
			adapters: cfg.Adapters,
			role:     cfg.Role,
		},
	}
	e.announcer = newAnnouncer(cfg.Announcing, deps, e.faults, e.describe)
	return e
}

// Handler serves the engine protocol and the /fake/ paths.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+native.PathChat, e.serveChat)
	mux.HandleFunc("DELETE "+native.PathRequests+"{id}", e.serveCancel)
	mux.HandleFunc("POST "+native.PathKVExport, e.serveExport)
	mux.HandleFunc("POST "+native.PathKVImport, e.serveImport)
	mux.HandleFunc("GET "+native.PathKVFetch+"{handle}", e.serveFetch)
	mux.HandleFunc("GET "+native.PathCache, e.serveListing)
	mux.HandleFunc("POST "+native.PathOrders, e.serveOrder)
	mux.HandleFunc("GET "+native.PathHealth, serveHealth)
	outer := http.NewServeMux()
	outer.HandleFunc(PathFaults, faultHandler(e.faults))
	outer.HandleFunc("GET "+PathStats, e.serveStats)
	outer.Handle("/", e.faults.guard(e.announcer.tellLeaving(mux)))
	return outer
}

// Run serves on ln and announces the engine until ctx ends. It then announces
// that the engine is gone, closes all connections and returns nil. After a crash
// or Kill it sends no announcement and returns ErrCrashed or ErrKilled, wrapped.
func (e *Engine) Run(ctx context.Context, ln net.Listener) error {
	e.mu.Lock()
	if e.address == "" {
		e.address = ln.Addr().String()
	}
	e.mu.Unlock()
	defer e.store.Close()
	defer e.deps.Client.CloseIdleConnections()
	return serve(ctx, ln, e.Handler(), e.faults, e.announcer.run, e.pushEvents, e.runLoads)
}

// Leave announces that the engine leaves after notice. The engine still serves
// every request that it receives.
func (e *Engine) Leave(notice time.Duration) { e.announcer.leave(notice) }

// Kill ends Run without an announcement, like a killed process.
func (e *Engine) Kill() { e.faults.end(ErrKilled) }

// SetFaults replaces the active faults.
func (e *Engine) SetFaults(f Faults) { e.faults.set(f) }

// Stats returns the counters since the start.
func (e *Engine) Stats() EngineStats {
	s := e.stats.snapshot()
	s.Running, s.Waiting = e.batch.counts()
	s.Orders = e.orders.accepted()
	return s
}

func (e *Engine) describe() instance.Announcement {
	load := e.currentLoad()
	e.mu.Lock()
	defer e.mu.Unlock()
	return instance.Announcement{
		ID:           e.cfg.ID,
		Incarnation:  e.cfg.Incarnation,
		Address:      e.address,
		Region:       e.cfg.Region,
		Zone:         e.cfg.Zone,
		Class:        e.cfg.Class,
		Model:        e.model.name,
		Version:      e.model.version,
		Adapters:     e.model.adapters,
		Role:         e.model.role,
		Slots:        e.cfg.Slots,
		ChecksFences: e.cfg.ChecksFences,
		Load:         e.loadHistory.push(load),
	}
}

func (e *Engine) currentLoad() instance.Load {
	running, waiting := e.batch.counts()
	return instance.Load{
		At:           time.Now(),
		Running:      running,
		Waiting:      waiting,
		TokensPerSec: e.stats.tokenRate(time.Now()),
		CacheUsed:    e.cache.usedFraction(),
	}
}

func (e *Engine) serveListing(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.cache.listing(e.cfg.Incarnation))
}

func (e *Engine) serveStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Stats())
}

func serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}
