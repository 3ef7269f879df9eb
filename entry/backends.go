package entry

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"time"

	"savoryreel.example/savoryreel/contract"
	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/request"
)

// maxAnnouncementBytes bounds an announcement or a batch of cache events in bytes.
const maxAnnouncementBytes = 1 << 20

// handleAnnounce takes a backend server's announcement, which is also its
// heartbeat. Without the announcers' key, anybody who reaches an entry could
// make himself a backend server and read callers' requests.
func (e *Entry) handleAnnounce(w http.ResponseWriter, r *http.Request) {
	var a instance.Announcement
	if !e.decodeFromServer(w, r, &a) {
		return
	}
	if err := a.Validate(); err != nil {
		e.refuseAnnouncement(w, r, request.NewProblem(request.CodeAnnounceRefused, request.NotRun, "%v", err))
		return
	}
	if !e.acceptsAnnouncements() {
		e.refuseAnnouncement(w, r, e.drainingProblem())
		return
	}
	if err := e.members.Announce(a); err != nil {
		e.refuseAnnouncement(w, r, request.NewProblem(request.CodeAnnounceRefused, request.NotRun, "%v", err))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// cacheEvents is a batch of a model server's cache events.
type cacheEvents struct {
	Incarnation uint64                `json:"incarnation"`
	Events      []instance.CacheEvent `json:"events"`
}

// handleCacheEvents takes a batch of a server's cache events.
func (e *Entry) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	var batch cacheEvents
	if !e.decodeFromServer(w, r, &batch) {
		return
	}
	e.prefixes.receive(r.PathValue("id"), batch.Incarnation, batch.Events)
	w.WriteHeader(http.StatusNoContent)
}

// decodeFromServer checks the announcers' key and reads a JSON body.
func (e *Entry) decodeFromServer(w http.ResponseWriter, r *http.Request, into any) bool {
	key, _ := request.BearerKey(r.Header)
	if !contract.HashKey(key).Equal(e.announceKey) {
		e.refuseAnnouncement(w, r, request.NewProblem(request.CodeUnauthorized, request.NotRun, "the announcers' key is missing or wrong"))
		return false
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes)).Decode(into); err != nil {
		e.refuseAnnouncement(w, r, request.NewProblem(request.CodeBadRequest, request.NotRun, "%v", err))
		return false
	}
	return true
}

func (e *Entry) refuseAnnouncement(w http.ResponseWriter, r *http.Request, p *request.Problem) {
	event.Log(r.Context(), e.deps.Log, slog.LevelWarn, event.ServerRefused,
		slog.String("peer", r.RemoteAddr), slog.String("code", string(p.Code)), slog.String("detail", p.Detail))
	p.Write(w)
}

// loadMeasuredAt is when an announced load held, by this entry's clock. The server's
// clock may differ, so only the report's age by that clock is used, and never
// more than maxReportAge.
func loadMeasuredAt(a *instance.Announcement, now time.Time) time.Time {
	if a.Load.At.IsZero() {
		return now
	}
	age := now.Sub(a.Load.At)
	return now.Add(-min(max(age, 0), maxLoadAge))
}

// maxLoadAge is beyond the lag of any report that is still worth correcting.
const maxLoadAge = 5 * time.Second
