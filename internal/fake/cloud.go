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

// Paths of a Cloud for tests.
const (
	PathWave     = "/fake/wave"     // POST Wave
	PathRefusals = "/fake/refusals" // POST Refusals
)

// maxNoticeWait bounds a long poll.
const maxNoticeWait = 30 * time.Second

// CloudConfig describes a stand-in cloud API.
type CloudConfig struct {
	Prices []native.Price // an instance starts only where its zone, class and kind have a price
}

// Wave is the body of POST /fake/wave: every reclaimable instance of the zone is
// to be reclaimed together.
type Wave struct {
	Zone     string `json:"zone"`
	NoticeMS int    `json:"noticeMs"` // milliseconds from the notice to the end
}

// Refusals is the body of POST /fake/refusals: the zones where starts are
// refused from now on.
type Refusals struct {
	Zones []string `json:"zones"`
}

// CloudStats is what a Cloud did: the body of GET /fake/stats.
type CloudStats struct {
	Started  int `json:"started"`
	Repeated int `json:"repeated"` // starts with a token that was known
	Refused  int `json:"refused"`
	Stopped  int `json:"stopped"`
	Notices  int `json:"notices"`
}

// Cloud is a stand-in cloud API. Its instances are entries in a list: nothing
// runs. It is safe for concurrent use.
type Cloud struct {
	cfg    CloudConfig
	faults *faultState

	mu           sync.Mutex
	instances    map[string]*cloudInstance
	byToken      map[string]string // client token to id
	refusedZones []string          // zones
	notices      []native.Notice
	changed      chan struct{} // closed and replaced with each notice
	stats        CloudStats
}

// cloudInstance is an instance and, once noticed, when it ends.
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

// SetFaults replaces the faults in force: of them only Freeze means anything
// here. For refused starts there is Refuse.
func (c *Cloud) SetFaults(f Faults) { c.faults.set(f) }

// Refuse makes starts fail for want of capacity in just these zones.
func (c *Cloud) Refuse(zones ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusedZones = zones
}

// Wave gives notice to every reclaimable instance of the zone that runs, and
// returns the notices. The instances end when the notice has passed.
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

// Stats returns what the cloud has done so far.
func (c *Cloud) Stats() CloudStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.stats
	s.Notices = len(c.notices)
	return s
}

// sorted returns the instances by id. The lock is held.
func (c *Cloud) sortedInstances() []*cloudInstance {
	list := make([]*cloudInstance, 0, len(c.instances))
	for _, i := range c.instances {
		list = append(list, i)
	}
	slices.SortFunc(list, func(a, b *cloudInstance) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// at returns the instance with its state at the time now.
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
