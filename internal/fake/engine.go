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
	DefaultKVRate       = 1 << 30 // bytes a second between two engines
	DefaultKVPerToken   = 128 << 10
	DefaultRetryAfter   = time.Second

	maxQueuedLoadOrders = 16
)

// EngineConfig describes a stand-in model engine. Times of zero cost no time,
// so that tests of content run as fast as the machine.
type EngineConfig struct {
	ID          string
	Incarnation uint64 // 0: the clock at NewEngine, in milliseconds
	Address     string // as announced; empty: the listener's
	Region      string
	Zone        string
	Class       string // machine class
	Model       string
	Version     string
	Adapters    []string
	Role        string

	Slots         int           // DefaultSlots
	MaxWaiting    int           // DefaultMaxWaiting; beyond it 429, not run
	FirstToken    time.Duration // from the slot to the first token, beside the prefill
	TokenTime     time.Duration // per token when alone in the batch
	BatchSlowdown float64       // share of TokenTime added per further running request
	PrefillRate   float64       // prompt tokens a second; 0: no time
	AnswerTokens  int           // DefaultAnswerTokens; length of an answer where the request sets no bound

	CacheTokens int           // capacity of the prefix cache; 0: none
	EventDelay  time.Duration // between two pushes of cache events; 0: the heartbeat
	EventGap    int           // every so many events, one is lost; 0: none
	LoadLag     time.Duration // age of the load in announcements, in steps of the heartbeat

	KVPerToken   int64         // DefaultKVPerToken; bytes
	KVRate       int64         // DefaultKVRate; bytes a second
	ChecksFences bool          // refuses orders with a lower fence than seen
	Store        string        // host:port of the weight store; empty: models load at once
	Notice       time.Duration // notice in force when ordered to leave

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

// modelState is what an engine holds; orders change it.
type modelState struct {
	name     string
	version  string
	adapters []string
	role     string
}

// NewEngine returns an engine that serves once Run or Handler is used.
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
	outer.Handle("/", e.faults.guard(mux))
	return outer
}

// Run serves on ln and announces the engine until ctx ends; it then says that
// the engine is gone, closes all connections and returns nil. It returns
// ErrCrashed or ErrKilled, wrapped, when the engine ends in silence.
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

// Leave announces that the engine leaves in notice. It goes on serving what it
// is given: whether it is given anything new is the system's affair.
func (e *Engine) Leave(notice time.Duration) { e.announcer.leave(notice) }

// Kill ends Run in silence, as the death of the process would.
func (e *Engine) Kill() { e.faults.end(ErrKilled) }

// SetFaults replaces the faults in force.
func (e *Engine) SetFaults(f Faults) { e.faults.set(f) }

// Stats returns what the engine has done so far.
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
