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

// headerZone is the request header with which a caller may give its zone.
const headerZone = "Savoryreel-Zone"

// entryView is one entry in the answer to GET /v1/entries.
type entryView struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// entriesView is the answer to GET /v1/entries, with the preferred entry first.
type entriesView struct {
	Entries      []entryView `json:"entries"`
	ValidSeconds int         `json:"validSeconds"`
}

// handleEntries answers which entries a caller should use and how long it may cache the
// list. No key is required. If the caller sends one, its workspace's fraction of the
// requests is taken into account.
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
	_ = json.NewEncoder(w).Encode(view) // an error means that the caller has disconnected
}

// pickRequest describes the caller to the pick policy, by its workspace or else by its
// address.
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

// pickCandidates lists the entries that callers may be sent to.
func (e *Entry) pickCandidates() []pick.Entry {
	var out []pick.Entry
	for _, m := range e.servingEntries() {
		out = append(out, pick.Entry{
			ID: m.ID, Address: m.CallerAddress, Zone: m.Zone, Region: m.Region, State: m.State, Load: m.Load,
		})
	}
	return out
}

// shareWindow is the period over which a workspace's requests are counted. It is longer
// than callers cache a list of entries by default, so that a caller that was just sent to
// another entry is still counted here.
const shareWindow = time.Minute

// trafficShares counts requests per workspace at this entry, over the current and the
// previous window. Since callers are distributed over the entries, a workspace's fraction
// here is close to its fraction of all requests.
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

// share returns a workspace's fraction of the recent requests, 0 to 1.
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

// rotateWindow starts a new window if the current one is over. The lock is held.
func (s *trafficShares) rotateWindow(now time.Time) {
	if now.Sub(s.windowStart) < shareWindow {
		return
	}
	s.previous, s.previousTotal = s.current, s.currentTotal
	s.current, s.currentTotal = map[string]int{}, 0
	s.windowStart = now
}
