package entry

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"time"

	"savoryreel.example/savoryreel/contract"
	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/request"
)

// maxAnnouncementBytes bounds the body of an announcement or of a batch of cache events.
const maxAnnouncementBytes = 1 << 20

// handleAnnounce accepts a backend server's announcement, which is also its heartbeat. It
// requires the announcement key, since a server that announces itself receives callers'
// requests.
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
	if a.State != instance.StateServing && !e.holdLeave(w, r, a.ID) {
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// holdTimeout bounds how long a server waits until other members hold its leave.
const holdTimeout = 500 * time.Millisecond

// holdLeave waits until other members hold that a server leaves, or answers with an error and returns
// false: a leave that only this entry holds is lost with it, and requests go on reaching the server.
func (e *Entry) holdLeave(w http.ResponseWriter, r *http.Request, server string) bool {
	ctx, cancel := context.WithTimeout(r.Context(), holdTimeout)
	defer cancel()
	if err := e.members.Hold(ctx, server); err != nil {
		e.refuseAnnouncement(w, r, request.NewProblem(request.CodeLeaveNotHeld, request.NotRun, "%v", err))
		return false
	}
	return true
}

// cacheEvents is a batch of a model server's cache events.
type cacheEvents struct {
	Incarnation uint64                `json:"incarnation"`
	Events      []instance.CacheEvent `json:"events"`
}

// handleCacheEvents accepts a batch of a server's cache events.
func (e *Entry) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	var batch cacheEvents
	if !e.decodeFromServer(w, r, &batch) {
		return
	}
	e.prefixes.receive(r.PathValue("id"), batch.Incarnation, batch.Events)
	w.WriteHeader(http.StatusNoContent)
}

// decodeFromServer checks the announcement key and decodes the JSON body. It reports false
// after it has refused the request.
func (e *Entry) decodeFromServer(w http.ResponseWriter, r *http.Request, into any) bool {
	key, _ := request.BearerKey(r.Header)
	if !contract.HashKey(key).Equal(e.announceKey) {
		e.refuseAnnouncement(w, r, request.NewProblem(request.CodeUnauthorized, request.NotRun, "the announcers' key is missing or wrong"))
		return false
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes)).Decode(into); err != nil {
		e.refuseAnnouncement(w, r, request.BodyProblem(err))
		return false
	}
	return true
}

func (e *Entry) refuseAnnouncement(w http.ResponseWriter, r *http.Request, p *request.Problem) {
	event.Log(r.Context(), e.deps.Log, slog.LevelWarn, event.ServerRefused,
		slog.String("peer", r.RemoteAddr), slog.String("code", string(p.Code)), slog.String("detail", p.Detail))
	p.Write(w)
}

// loadMeasuredAt returns when an announced load was measured, by this entry's clock. The
// server's clock may differ, so the age is bounded by 0 and maxLoadAge. A load without a
// time counts as measured now.
func loadMeasuredAt(a *instance.Announcement, now time.Time) time.Time {
	if a.Load.At.IsZero() {
		return now
	}
	age := now.Sub(a.Load.At)
	return now.Add(-min(max(age, 0), maxLoadAge))
}

// maxLoadAge exceeds the delay of any report that is still of use.
const maxLoadAge = 5 * time.Second
