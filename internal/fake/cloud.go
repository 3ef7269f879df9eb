package fake

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"savoryreel.example/savoryreel/native"
)

// Control paths of a Cloud, for tests.
const (
	PathWave     = "/fake/wave"     // POST Wave
	PathRefusals = "/fake/refusals" // POST Refusals
)

// maxNoticeWait bounds a long poll for notices.
const maxNoticeWait = 30 * time.Second

// CloudConfig configures a Cloud.
type CloudConfig struct {
	Prices []native.Price // starts are refused for a zone, class and kind without a price
}

// Wave is the body of POST /fake/wave: all running reclaimable instances of the
// zone are reclaimed together.
type Wave struct {
	Zone     string `json:"zone"`
	NoticeMS int    `json:"noticeMs"` // from the notice to the end, in milliseconds
}

// Refusals is the body of POST /fake/refusals: starts are refused in exactly
// these zones from now on.
type Refusals struct {
	Zones []string `json:"zones"`
}

// CloudStats holds a Cloud's counters. It is the body of GET /fake/stats.
type CloudStats struct {
	Started  int `json:"started"`
	Repeated int `json:"repeated"` // starts with a client token already used
	Refused  int `json:"refused"`
	Stopped  int `json:"stopped"`
	Notices  int `json:"notices"`
}

// Cloud is a stand-in cloud API. Its instances are list entries only: no process
// or machine is started. It is safe for concurrent use.
type Cloud struct {
	cfg    CloudConfig
	faults *faultState

	mu           sync.Mutex
	instances    map[string]*cloudInstance
	byToken      map[string]string // client token to instance id
	refusedZones []string
	notices      []native.Notice
	changed      chan struct{} // closed and replaced with each notice
	stats        CloudStats
}

// cloudInstance is an instance and its reclaim deadline, zero before a notice.
type cloudInstance struct {
	native.CloudInstance
	deadline time.Time
}

// NewCloud returns a cloud without instances.
func NewCloud(cfg CloudConfig, _ Deps) *Cloud {
	return &Cloud{
		cfg:       cfg,
		faults:    newFaultState(),
		instances: make(map[string]*cloudInstance),
		byToken:   make(map[string]string),
		changed:   make(chan struct{}),
	}
}

// Handler serves the cloud API and the /fake/ paths.
func (c *Cloud) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+native.PathPrices, c.servePrices)
	mux.HandleFunc("GET "+native.PathInstances, c.serveList)
	mux.HandleFunc("POST "+native.PathInstances, c.serveStart)
	mux.HandleFunc("DELETE "+native.PathInstances+"/{id}", c.serveStop)
	mux.HandleFunc("GET "+native.PathNotices, c.serveNotices)
	outer := http.NewServeMux()
	outer.HandleFunc("POST "+PathWave, c.serveWave)
	outer.HandleFunc("POST "+PathRefusals, c.serveRefusals)
	outer.HandleFunc(PathFaults, faultHandler(c.faults))
	outer.HandleFunc("GET "+PathStats, c.serveStats)
	outer.Handle("/", c.faults.guard(mux))
	return outer
}

// Run serves on ln until ctx ends.
func (c *Cloud) Run(ctx context.Context, ln net.Listener) error {
	return serve(ctx, ln, c.Handler(), c.faults)
}

// SetFaults replaces the active faults. Only Freeze has an effect on a Cloud; use
// Refuse to make starts fail.
func (c *Cloud) SetFaults(f Faults) { c.faults.set(f) }

// Refuse makes starts fail with a no-capacity error in exactly these zones.
func (c *Cloud) Refuse(zones ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusedZones = zones
}

// Wave sends a reclaim notice to every running reclaimable instance of the zone
// that has none yet, and returns the new notices. The instances are reclaimed
// when notice has passed.
func (c *Cloud) Wave(zone string, notice time.Duration) []native.Notice {
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := time.Now().Add(notice)
	firstNew := len(c.notices)
	for _, i := range c.sortedInstances() {
		if i.Zone != zone || i.Kind != native.Reclaimable || !i.deadline.IsZero() || i.State != native.InstanceRunning {
			continue
		}
		i.deadline = deadline
		c.notices = append(c.notices, native.Notice{
			Sequence:   uint64(len(c.notices) + 1),
			InstanceID: i.ID,
			Zone:       zone,
			Deadline:   deadline,
		})
	}
	close(c.changed)
	c.changed = make(chan struct{})
	return slices.Clone(c.notices[firstNew:])
}

// Stats returns the counters since the start.
func (c *Cloud) Stats() CloudStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.stats
	s.Notices = len(c.notices)
	return s
}

// sortedInstances returns the instances sorted by id. The caller holds c.mu.
func (c *Cloud) sortedInstances() []*cloudInstance {
	list := make([]*cloudInstance, 0, len(c.instances))
	for _, i := range c.instances {
		list = append(list, i)
	}
	slices.SortFunc(list, func(a, b *cloudInstance) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// snapshotAt returns the instance with its state at time now.
func (i *cloudInstance) snapshotAt(now time.Time) native.CloudInstance {
	view := i.CloudInstance
	if view.State != native.InstanceRunning || i.deadline.IsZero() {
		return view
	}
	view.State = native.InstanceReclaiming
	if !now.Before(i.deadline) {
		view.State = native.InstanceReclaimed
	}
	return view
}

func (c *Cloud) servePrices(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, native.PriceList{Prices: c.cfg.Prices})
}

func (c *Cloud) serveList(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, native.InstanceList{Instances: c.list()})
}

func (c *Cloud) list() []native.CloudInstance {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	list := make([]native.CloudInstance, 0, len(c.instances))
	for _, i := range c.sortedInstances() {
		list = append(list, i.snapshotAt(now))
	}
	return list
}

func (c *Cloud) serveStart(w http.ResponseWriter, r *http.Request) {
	var req native.StartRequest
	if !readJSON(w, r, maxSmallBodyBytes, &req) {
		return
	}
	if req.ClientToken == "" || !c.hasPrice(req) {
		refuse(w, http.StatusBadRequest, 0, "bad_request", "no client token, or no price for zone, class and kind")
		return
	}
	started, ok := c.start(req)
	if !ok {
		refuse(w, http.StatusServiceUnavailable, DefaultRetryAfter, native.CodeNoCapacity, "no such instance in "+req.Zone)
		return
	}
	writeJSON(w, http.StatusOK, started)
}

func (c *Cloud) hasPrice(req native.StartRequest) bool {
	return slices.ContainsFunc(c.cfg.Prices, func(p native.Price) bool {
		return p.Zone == req.Zone && p.Class == req.Class && p.Kind == req.Kind
	})
}

func (c *Cloud) start(req native.StartRequest) (native.CloudInstance, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if id, ok := c.byToken[req.ClientToken]; ok {
		c.stats.Repeated++
		return c.instances[id].snapshotAt(now), true
	}
	if slices.Contains(c.refusedZones, req.Zone) {
		c.stats.Refused++
		return native.CloudInstance{}, false
	}
	c.stats.Started++
	i := &cloudInstance{CloudInstance: native.CloudInstance{
		ID:          fmt.Sprintf("i-%06d", c.stats.Started),
		ClientToken: req.ClientToken,
		Zone:        req.Zone,
		Class:       req.Class,
		Kind:        req.Kind,
		State:       native.InstanceRunning,
		StartedAt:   now,
	}}
	c.instances[i.ID] = i
	c.byToken[req.ClientToken] = i.ID
	return i.CloudInstance, true
}

func (c *Cloud) serveStop(w http.ResponseWriter, r *http.Request) {
	if !c.stop(r.PathValue("id")) {
		writeJSON(w, http.StatusNotFound, native.Problem{Code: "instance_not_found"})
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (c *Cloud) stop(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	i, ok := c.instances[id]
	if !ok {
		return false
	}
	if i.State == native.InstanceRunning {
		i.State = native.InstanceStopped
		c.stats.Stopped++
	}
	return true
}

func (c *Cloud) serveNotices(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, 0, "bad_request", "after is no number")
		return
	}
	waitMS, _ := strconv.Atoi(query.Get("waitMs")) // absent: no wait
	waitTime := min(time.Duration(waitMS)*time.Millisecond, maxNoticeWait)
	timer := time.NewTimer(waitTime)
	defer timer.Stop()
	for {
		notices, changed := c.noticesAfter(after)
		if len(notices) > 0 {
			writeJSON(w, http.StatusOK, native.NoticePage{Notices: notices})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, http.StatusOK, native.NoticePage{})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (c *Cloud) noticesAfter(after uint64) ([]native.Notice, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	from := min(after, uint64(len(c.notices)))
	return slices.Clone(c.notices[from:]), c.changed
}

func (c *Cloud) serveWave(w http.ResponseWriter, r *http.Request) {
	var wave Wave
	if !readJSON(w, r, maxSmallBodyBytes, &wave) {
		return
	}
	notices := c.Wave(wave.Zone, time.Duration(wave.NoticeMS)*time.Millisecond)
	writeJSON(w, http.StatusOK, native.NoticePage{Notices: notices})
}

func (c *Cloud) serveRefusals(w http.ResponseWriter, r *http.Request) {
	var refusals Refusals
	if !readJSON(w, r, maxSmallBodyBytes, &refusals) {
		return
	}
	c.Refuse(refusals.Zones...)
	w.WriteHeader(http.StatusNoContent)
}

func (c *Cloud) serveStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, c.Stats())
}
