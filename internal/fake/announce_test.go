package fake_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/internal/fake"
	"savoryreel.example/savoryreel/native"
)

const (
	announceKey   = "announce-key"
	testHeartbeat = 10 * time.Millisecond
)

// testEntry is an entry that records announcements and cache events.
type testEntry struct {
	*httptest.Server
	mu            sync.Mutex
	refuse        bool
	announcements []instance.Announcement
	events        []instance.CacheEvent
}

func startTestEntry(t *testing.T) *testEntry {
	l := &testEntry{}
	l.Server = httptest.NewServer(l)
	t.Cleanup(l.Close)
	return l
}

// ServeHTTP implements http.Handler.
func (l *testEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refuse || r.Header.Get("Authorization") != "Bearer "+announceKey {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if strings.HasSuffix(r.URL.Path, native.PathCacheEvents) {
		var batch native.CacheEventBatch
		_ = json.NewDecoder(r.Body).Decode(&batch)
		l.events = append(l.events, batch.Events...)
		return
	}
	var msg instance.Announcement
	_ = json.NewDecoder(r.Body).Decode(&msg)
	l.announcements = append(l.announcements, msg)
}

func (l *testEntry) setRefuse(refuse bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refuse = refuse
}

// received returns a condition: whether a matching announcement was received.
func (l *testEntry) received(match func(instance.Announcement) bool) func() bool {
	return func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, msg := range l.announcements {
			if match(msg) {
				return true
			}
		}
		return false
	}
}

func inState(s instance.State) func(instance.Announcement) bool {
	return func(msg instance.Announcement) bool { return msg.State == s }
}

// Guards against a server that doesn't switch to another entry when its entry
// refuses announcements or dies: a healthy server would become unreachable.
func TestAnnouncerMovesToTheNextEntry(t *testing.T) {
	first, second := startTestEntry(t), startTestEntry(t)
	e := startEngine(t, fake.EngineConfig{ID: "e1", Zone: "z1", Announcing: fake.Announcing{
		Entries:   []string{first.URL, second.URL},
		Key:       announceKey,
		Heartbeat: testHeartbeat,
	}})
	isE1 := func(msg instance.Announcement) bool {
		return msg.ID == "e1" && msg.Address == e.address && msg.Model == testModel
	}
	require.Eventually(t, first.received(isE1), waitTimeout, pollInterval)
	first.setRefuse(true)
	require.Eventually(t, second.received(isE1), waitTimeout, pollInterval)
	first.setRefuse(false)
	second.Close()
	e.Leave(time.Minute)
	require.Eventually(t, first.received(func(msg instance.Announcement) bool {
		return msg.State == instance.StateLeaving && msg.LeavingIn > 0 && msg.LeavingIn <= 60_000
	}), waitTimeout, pollInterval)
}

// Guards against a killed server that announces its end, and a cleanly stopped
// one that doesn't.
func TestAnnouncerReportsGoneOnlyOnCleanShutdown(t *testing.T) {
	for _, killed := range []bool{false, true} {
		entry := startTestEntry(t)
		p := fake.NewPlain(fake.PlainConfig{ID: "p1", Announcing: fake.Announcing{
			Entries:   []string{entry.URL},
			Key:       announceKey,
			Heartbeat: testHeartbeat,
		}}, fake.Deps{})
		server, ended := startPlain(t, p)
		require.Eventually(t, entry.received(inState(instance.StateServing)), waitTimeout, pollInterval)
		if killed {
			p.Kill()
			require.ErrorIs(t, <-ended, fake.ErrKilled)
		} else {
			server.cancel()
			require.NoError(t, <-ended)
		}
		require.Equal(t, !killed, entry.received(inState(instance.StateGone))())
	}
}

// Guards against a configured EventGap that drops other events, or affects the
// listing.
func TestEnginePushesCacheEventsWithGaps(t *testing.T) {
	entry := startTestEntry(t)
	e := startEngine(t, fake.EngineConfig{
		ID:          "e1",
		CacheTokens: 1 << 20,
		EventDelay:  testHeartbeat,
		EventGap:    2,
		Announcing:  fake.Announcing{Entries: []string{entry.URL}, Key: announceKey},
	})
	for _, text := range []string{"one", "two", "three"} {
		_, _ = readTokens(e.chat(t, text, chatRequest(text, 1)), -1)
	}
	require.Eventually(t, func() bool {
		entry.mu.Lock()
		defer entry.mu.Unlock()
		return len(entry.events) == 3
	}, waitTimeout, pollInterval)
	for i, event := range entry.events {
		require.EqualValues(t, 2*i+1, event.Sequence)
	}
	listing, err := e.client.Listing(context.Background(), e.address)
	require.NoError(t, err)
	require.EqualValues(t, 6, listing.Sequence)
	require.Len(t, listing.Entries, 6)
}

// Guards against a server with ChecksFences that executes an order of a replaced
// leader. A server without it must execute the order.
func TestEngineChecksFences(t *testing.T) {
	for _, checks := range []bool{true, false} {
		e := startEngine(t, fake.EngineConfig{ChecksFences: checks})
		ctx := context.Background()
		newer := native.Order{Fence: 7, Kind: native.OrderRole, Role: "prefill"}
		older := native.Order{Fence: 6, Kind: native.OrderRole, Role: "decode"}
		require.NoError(t, e.client.Order(ctx, e.address, newer))
		err := e.client.Order(ctx, e.address, older)
		require.Equal(t, checks, native.OldFence(err))
		want := []native.Order{newer}
		if !checks {
			want = append(want, older)
		}
		require.Equal(t, want, e.Stats().Orders)
	}
}

// Guards against a load order that is abandoned when the weight store answers 429
// with Retry-After.
func TestEngineLoadsAModelFromABusyStore(t *testing.T) {
	store := fake.NewStore(fake.StoreConfig{WeightBytes: 1 << 16, ReadsPerSecond: 5, Burst: 1}, fake.Deps{})
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	address := server.Listener.Addr().String()
	client := native.NewStore(native.StoreConfig{})
	defer client.Close()
	_, err := client.Fetch(context.Background(), address, "other", "1")
	require.NoError(t, err)

	entry := startTestEntry(t)
	e := startEngine(t, fake.EngineConfig{ID: "e1", Store: address, Announcing: fake.Announcing{
		Entries:   []string{entry.URL},
		Key:       announceKey,
		Heartbeat: testHeartbeat,
	}})
	order := native.Order{Fence: 1, Kind: native.OrderLoadModel, Model: "m2", Version: "3"}
	require.NoError(t, e.client.Order(context.Background(), e.address, order))
	require.Eventually(t, entry.received(func(msg instance.Announcement) bool {
		return msg.Model == "m2" && msg.Version == "3"
	}), waitTimeout, pollInterval)
	require.Equal(t, fake.StoreStats{Served: 2, Refused: 1}, store.Stats())
}

// Guards against a stand-in that leaves and doesn't say so in its answers: tests with it would
// show nothing about entries that hear of no announcement.
func TestLeavingStandInsSayItInTheirAnswers(t *testing.T) {
	e := startEngine(t, fake.EngineConfig{})
	p := fake.NewPlain(fake.PlainConfig{}, fake.Deps{})
	s, _ := startPlain(t, p)
	leaving := func() []bool {
		e.SetFaults(fake.Faults{})
		chat := e.chat(t, "q", chatRequest("x", 1))
		defer chat.Close()
		e.SetFaults(fake.Faults{Refuse: true})
		_, err := e.client.Chat(t.Context(), e.address, "q", chatRequest("x", 1))
		resp, doErr := s.do(t, http.MethodGet, "/", "", nil)
		require.NoError(t, doErr)
		return []bool{chat.Notice().Leaving, native.NoticeOfError(err).Leaving, native.NoticeOf(resp.StatusCode, resp.Header).Leaving}
	}
	require.Equal(t, []bool{false, false, false}, leaving())
	e.Leave(time.Minute)
	p.Leave(time.Minute)
	require.Equal(t, []bool{true, true, true}, leaving())
}
