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
	v := e.picker.Pick(e.pickRequest(r), e.pickable())
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
			q.Caller, q.Share = w.Name, e.shares.of(w.Name, q.Now)
		}
	}
	return q
}

// pickable lists the entries that may be named.
func (e *Entry) pickable() []pick.Entry {
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

// shares counts each workspace's part of the requests at this entry, over this
// window and the last. Callers spread over entries, so the part here is about
// the part everywhere.
type shares struct {
	mu     sync.Mutex
	began  time.Time
	counts map[string]int
	before map[string]int
	total  int
	last   int
}

func newShares() *shares { return &shares{counts: map[string]int{}, before: map[string]int{}} }

// add counts one request.
func (s *shares) add(workspace string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn(now)
	s.counts[workspace]++
	s.total++
}

// of returns a workspace's part of the requests lately, 0..1.
func (s *shares) of(workspace string, now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn(now)
	total := s.total + s.last
	if total == 0 {
		return 0
	}
	return float64(s.counts[workspace]+s.before[workspace]) / float64(total)
}

func (s *shares) turn(now time.Time) {
	if now.Sub(s.began) < shareWindow {
		return
	}
	s.before, s.last = s.counts, s.total
	s.counts, s.total = map[string]int{}, 0
	s.began = now
}
