package entry

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/policy/pick"
	"savoryreel.example/savoryreel/request"
)

// headerZone names the zone where a caller is, if it knows.
const headerZone = "Savoryreel-Zone"

// entryView is one entry as callers are told.
type entryView struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// entriesView is the answer to GET /v1/entries: in the order to use them.
type entriesView struct {
	Entries      []entryView `json:"entries"`
	ValidSeconds int         `json:"validSeconds"`
}

// handleEntries tells a caller which entry to use, and for how long it may keep
// the answer. It needs no key: any entry that runs answers anybody. A caller
// that shows its key is spread by its share of the load.
func (e *Entry) handleEntries(w http.ResponseWriter, r *http.Request) {
	v := e.picker.Pick(e.pickRequest(r), e.pickCandidates())
	view := entriesView{ValidSeconds: int(v.Validity.Seconds()), Entries: []entryView{}}
	for _, p := range v.Entries {
		view.Entries = append(view.Entries, entryView{ID: p.ID, Address: p.Address, Zone: p.Zone})
	}
	event.Log(r.Context(), e.deps.Log, slog.LevelDebug, event.EntryPicked,
		slog.String("caller", r.RemoteAddr), slog.String("reason", v.Reason.String()), slog.Any("entries", view.Entries))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", fmt.Sprintf("max-age=%d", view.ValidSeconds))
	_ = json.NewEncoder(w).Encode(view) // the caller is gone: nobody to tell
}

func (e *Entry) pickRequest(r *http.Request) pick.Request {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = r.RemoteAddr
	}
	q := pick.Request{
		Now: e.deps.Now(), Caller: host, Client: xxhash.Sum64String(host),
		Zone: r.Header.Get(headerZone), Region: e.cfg.Region,
	}
	c := e.follower.current.Load()
	if key, shown := request.BearerKey(r.Header); shown && c != nil {
		if w, known := c.workspaceOf(key); known {
			q.Caller, q.Share = w.Name, e.trafficShares.share(w.Name, q.Now)
		}
	}
	return q
}

// pickCandidates lists the entries that may be named.
func (e *Entry) pickCandidates() []pick.Entry {
	var out []pick.Entry
	for _, m := range e.servingEntries() {
		out = append(out, pick.Entry{
			ID: m.ID, Address: m.CallerAddress, Zone: m.Zone, Region: m.Region, State: m.State, Load: m.Load,
		})
	}
	return out
}

// shareWindow is over what time a workspace's share of the requests is counted.
// It is above the time for which callers keep an answer, so that a caller does
// not look small just because it has been sent elsewhere.
const shareWindow = time.Minute

// trafficShares counts each workspace's part of the requests at this entry, over this
// window and the last. Callers spread over entries, so the part here is about
// the part everywhere.
type trafficShares struct {
	mu            sync.Mutex
	windowStart   time.Time
	current       map[string]int
	previous      map[string]int
	currentTotal  int
	previousTotal int
}

func newTrafficShares() *trafficShares {
	return &trafficShares{current: map[string]int{}, previous: map[string]int{}}
}

// add counts one request.
func (s *trafficShares) add(workspace string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotateWindow(now)
	s.current[workspace]++
	s.currentTotal++
}

// share returns a workspace's part share the requests lately, 0..1.
func (s *trafficShares) share(workspace string, now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotateWindow(now)
	total := s.currentTotal + s.previousTotal
	if total == 0 {
		return 0
	}
	return float64(s.current[workspace]+s.previous[workspace]) / float64(total)
}

func (s *trafficShares) rotateWindow(now time.Time) {
	if now.Sub(s.windowStart) < shareWindow {
		return
	}
	s.previous, s.previousTotal = s.current, s.currentTotal
	s.current, s.currentTotal = map[string]int{}, 0
	s.windowStart = now
}
