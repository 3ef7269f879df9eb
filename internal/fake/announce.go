package fake

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/native"
)

// DefaultHeartbeat is the default interval between announcements.
const DefaultHeartbeat = time.Second

// announceTimeout bounds one announcement to one entry. It is below
// DefaultHeartbeat, so that an unreachable entry delays at most one heartbeat.
const announceTimeout = 700 * time.Millisecond

// Announcing configures a stand-in's announcements.
type Announcing struct {
	Entries   []string      // base URLs of entries, tried in this order; empty: no announcements
	Key       string        // bearer key sent with announcements
	Heartbeat time.Duration // 0: DefaultHeartbeat
}

// announcer sends a backend server's announcements to one entry at a time. It
// switches to the next entry when the current one refuses or is unreachable.
type announcer struct {
	cfg      Announcing
	client   *http.Client
	log      *slog.Logger
	describe func() instance.Announcement // without sequence and state
	faults   *faultState
	wake     chan struct{}

	mu            sync.Mutex
	entryIndex    int
	sequence      uint64
	leaveDeadline time.Time // zero: not leaving
}

func newAnnouncer(cfg Announcing, deps Deps, faults *faultState, describe func() instance.Announcement) *announcer {
	cfg.Heartbeat = cmp.Or(cfg.Heartbeat, DefaultHeartbeat)
	return &announcer{
		cfg:      cfg,
		client:   deps.Client,
		log:      deps.Log,
		describe: describe,
		faults:   faults,
		wake:     make(chan struct{}, 1),
	}
}

// run announces at once and then at each heartbeat until ctx ends. It then
// announces StateGone, unless the server crashed, was killed or is frozen.
func (a *announcer) run(ctx context.Context) error {
	if len(a.cfg.Entries) == 0 {
		<-ctx.Done()
		return nil
	}
	ticker := time.NewTicker(a.cfg.Heartbeat)
	defer ticker.Stop()
	for {
		if a.faults.waitThawed(ctx) == nil {
			a.announce(ctx, a.state())
		}
		select {
		case <-ctx.Done():
			a.announceGone()
			return nil
		case <-ticker.C:
		case <-a.wake:
		}
	}
}

// leave switches to StateLeaving with a deadline after notice, and announces it
// at once. Later calls don't change the deadline.
func (a *announcer) leave(notice time.Duration) {
	a.mu.Lock()
	if a.leaveDeadline.IsZero() {
		a.leaveDeadline = time.Now().Add(notice)
	}
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *announcer) state() instance.State {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaveDeadline.IsZero() {
		return instance.StateServing
	}
	return instance.StateLeaving
}

// tellLeaving says in every answer of next that the server leaves, once it does.
func (a *announcer) tellLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if a.state() == instance.StateLeaving {
			w.Header().Set(native.HeaderLeaving, "1")
		}
		next.ServeHTTP(w, r)
	})
}

// announceGone announces StateGone. A crashed, killed or frozen server sends
// nothing.
func (a *announcer) announceGone() {
	if a.faults.endCause() != nil || a.faults.get().Freeze {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	a.announce(ctx, instance.StateGone)
}

// announce tries each entry once, starting with the current one, until one
// accepts.
func (a *announcer) announce(ctx context.Context, state instance.State) {
	body, err := json.Marshal(a.nextAnnouncement(state))
	if err != nil {
		a.log.Error("announcement cannot be encoded", "error", err)
		return
	}
	for range a.cfg.Entries {
		err := a.post(ctx, native.PathAnnounce, body)
		if err == nil || ctx.Err() != nil {
			return
		}
		a.log.Debug("announcement failed", "error", err)
		a.switchEntry()
	}
}

func (a *announcer) nextAnnouncement(state instance.State) instance.Announcement {
	msg := a.describe()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence++
	msg.Sequence = a.sequence
	msg.State = state
	if !a.leaveDeadline.IsZero() {
		msg.LeavingIn = int(max(0, time.Until(a.leaveDeadline).Milliseconds()))
	}
	return msg
}

func (a *announcer) currentEntry() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.cfg.Entries[a.entryIndex]
}

func (a *announcer) switchEntry() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.entryIndex = (a.entryIndex + 1) % len(a.cfg.Entries)
}

// post sends a JSON body to the current entry.
func (a *announcer) post(ctx context.Context, path string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	url := a.currentEntry() + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+a.cfg.Key)
	resp, err := a.client.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxSmallBodyBytes))
	if resp.StatusCode >= http.StatusMultipleChoices {
		return trace.Wrap(fmt.Errorf("POST %s: status %d", url, resp.StatusCode))
	}
	return nil
}
