package e2e

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/internal/fake"
)

// newSmallSite starts one control replica, two entries in two zones, the given number
// of engines that generate a token every 10 ms, and a plain service. It returns once
// both entries serve and list all servers and each other.
func newSmallSite(t *testing.T, engines int, engineArgs ...string) (s *site, entries, servers []*process) {
	s = newSite(t)
	s.startControl(1)
	for i := 1; i <= 2; i++ {
		entries = append(entries, s.startEntry(i, fmt.Sprint("z", i)))
	}
	for i := 1; i <= engines; i++ {
		servers = append(servers, s.startEngine(i, fmt.Sprint("z", i), append([]string{"--token-time", "10ms"}, engineArgs...)...))
	}
	s.startPlain(1, "z1")
	s.apply(newTestCatalogue())
	body, _ := chatBody("ready?", 1, false)
	for i := 1; i <= 2; i++ {
		s.waitUntilServing(i, "/v1/chat/completions", body)
		s.waitUntilServing(i, "/svc/echo/ready", "x")
		s.waitForServers(i, engines+1)
		s.waitForEntries(i, 2)
	}
	return s, entries, servers
}

// waitForServers waits until entry i's status shows n backend servers.
func (s *site) waitForServers(i, n int) {
	s.t.Helper()
	s.eventually(fmt.Sprintf("entry %d has %d servers", i, n), func() error {
		if count := strings.Count(s.status(i), `"machineClass"`); count != n {
			return fmt.Errorf("%d servers", count)
		}
		return nil
	})
}

// waitForEntries waits until entry i lists n entries to callers.
func (s *site) waitForEntries(i, n int) {
	s.t.Helper()
	s.eventually(fmt.Sprintf("entry %d lists %d entries", i, n), func() error {
		r, err := s.call(s.t.Context(), i, "GET", "/v1/entries", "", nil)
		if count := strings.Count(r.body, `"address"`); err == nil && count != n {
			err = fmt.Errorf("%d entries", count)
		}
		return err
	})
}

// status returns entry i's status document (JSON), or "" if the entry does not answer.
func (s *site) status(i int) string {
	req, err := http.NewRequestWithContext(s.t.Context(), "GET", "http://"+s.addr(entryPort(i)+2)+"/v1/status", nil)
	require.NoError(s.t, err)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	var b strings.Builder
	_, _ = fmt.Fprint(&b, readAll(resp))
	return b.String()
}

// streamAll runs n streamed chat requests at entry i, calls during once all are about to
// be sent, and returns an error for each answer that is not exactly the expected one.
func (s *site) streamAll(ctx context.Context, i, n, tokens int, during func()) []error {
	return s.streamPrompts(ctx, i, n, tokens, "question", during)
}

// streamPrompts is like streamAll, with prompts that begin with the given text.
func (s *site) streamPrompts(ctx context.Context, i, n, tokens int, prompt string, during func()) []error {
	errs := make([]error, n)
	var started, done sync.WaitGroup
	started.Add(n)
	for k := range n {
		done.Go(func() {
			body, want := chatBody(fmt.Sprintf("%s %d", prompt, k), tokens, true)
			started.Done()
			c, err := s.stream(ctx, i, body)
			switch {
			case err != nil:
				errs[k] = err
			case !c.done:
				errs[k] = fmt.Errorf("request %d: not done after %d tokens: %s", k, len(c.tokens), c.otherEvent)
			case strings.Join(c.tokens, "") != strings.Join(want, ""):
				errs[k] = fmt.Errorf("request %d: got %q want %q", k, c.tokens, want)
			}
		})
	}
	started.Wait()
	during()
	done.Wait()
	return errs
}

func requireNoErrors(t *testing.T, errs []error) {
	t.Helper()
	for _, err := range errs {
		require.NoError(t, err)
	}
}

// Guards against missing, repeated or mixed-up tokens when a backend server is
// reclaimed with a notice shorter than the answers it is streaming.
func TestReclaimOfABackendServer(t *testing.T) {
	s, _, servers := newSmallSite(t, 2)
	errs := s.streamAll(t.Context(), 1, 8, 500, func() {
		s.waitForTokens(2, 40)
		servers[0].signal(t, syscall.SIGTERM)
	})
	requireNoErrors(t, errs)
}

// Guards against broken streams when a backend server crashes: the answers continue
// on another server after the tokens already received.
func TestDeathOfABackendServer(t *testing.T) {
	s, _, servers := newSmallSite(t, 2)
	errs := s.streamAll(t.Context(), 1, 8, 300, func() {
		s.waitForTokens(2, 40)
		servers[0].kill(t)
	})
	requireNoErrors(t, errs)
}

// waitForTokens waits until engines 1 to engines have generated at least n tokens in
// total since their start.
func (s *site) waitForTokens(engines, n int) {
	s.t.Helper()
	s.eventually("the engines generate", func() error {
		total := 0
		for i := 1; i <= engines; i++ {
			total += s.engineStats(i).Tokens
		}
		if total < n {
			return fmt.Errorf("%d tokens", total)
		}
		return nil
	})
}

// Guards against streams that hang until the callers' deadlines when a server's open
// connections deliver nothing more while new ones work.
func TestSilentStream(t *testing.T) {
	s, _, _ := newSmallSite(t, 2)
	s.setFaults(7201, fake.Faults{StallAfterTokens: 5})
	errs := s.streamAll(t.Context(), 1, 4, 40, func() {})
	requireNoErrors(t, errs)
}

// Guards against missing or repeated tokens when an entry is reclaimed with a notice
// shorter than the answers it is streaming: callers are sent to another entry and
// resume after their last event.
// Fails without handOverAll in Entry.leave, or without the pause in Entry.handOver.
func TestReclaimOfAnEntry(t *testing.T) {
	const notice = 4 * time.Second
	s, entries, _ := newSmallSite(t, 2, "--token-time", "1ms")
	errs := s.streamAll(t.Context(), 1, 8, 6000, func() {
		s.waitForTokens(2, 40)
		s.reclaimEntry(1, notice)
		<-time.After(notice)
		entries[0].kill(t)
	})
	requireNoErrors(t, errs)
}

// reclaimEntry sends entry i a reclaim notice.
func (s *site) reclaimEntry(i int, notice time.Duration) {
	s.t.Helper()
	resp, err := http.Post("http://"+s.addr(entryPort(i)+2)+"/v1/leave?notice="+notice.String(), "", nil)
	require.NoError(s.t, err)
	_ = resp.Body.Close()
	require.Equal(s.t, http.StatusAccepted, resp.StatusCode)
}

// Guards against a lost answer when an entry is reclaimed before it has sent the first
// byte of an unstreamed answer: the client follows a redirect and gets it.
func TestReclaimOfAnEntryBeforeTheFirstByte(t *testing.T) {
	s, _, _ := newSmallSite(t, 2)
	body, want := chatBody("a long briefing", 600, false)
	var got reply
	var err error
	var done sync.WaitGroup
	done.Go(func() { got, err = s.call(t.Context(), 1, "POST", "/v1/chat/completions", body, nil) })
	s.waitForTokens(2, 10)
	s.reclaimEntry(1, 4*time.Second)
	done.Wait()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, got.status, got.body)
	require.Contains(t, got.body, want[len(want)-1])
	require.Contains(t, got.body, strings.Join(want, ""))
}

// counter returns the value of a counter without labels at entry i, 0 if it is absent.
func (s *site) counter(i int, name string) int {
	s.t.Helper()
	resp, err := http.Get("http://" + s.addr(entryPort(i)+2) + "/metrics")
	require.NoError(s.t, err)
	defer resp.Body.Close()
	n := 0
	for line := range strings.SplitSeq(readAll(resp), "\n") {
		if rest, found := strings.CutPrefix(line, name+" "); found {
			_, err := fmt.Sscan(rest, &n)
			require.NoError(s.t, err)
		}
	}
	return n
}

// Guards against prefilling tokens again when a backend server is reclaimed with
// enough notice to transfer its KV caches to another server.
// Fails without the call of transferKV in runner.attempt.
func TestReclaimCarriesTheCache(t *testing.T) {
	s, _, servers := newSmallSite(t, 1, "--notice", "10s")
	briefing := strings.Repeat("station history ", 1500)
	errs := s.streamPrompts(t.Context(), 1, 4, 1500, briefing, func() {
		s.waitForTokens(1, 100)
		s.startEngine(2, "z2", "--token-time", "10ms")
		s.waitForServers(1, 3)
		servers[0].signal(t, syscall.SIGTERM)
	})
	requireNoErrors(t, errs)
	t.Logf("tokens carried %d, recomputed %d", s.counter(1, "savoryreel_tokens_carried_total"), s.counter(1, "savoryreel_tokens_recomputed_total"))
	require.Positive(t, s.counter(1, "savoryreel_tokens_carried_total"))
	require.Zero(t, s.counter(1, "savoryreel_tokens_recomputed_total"))
}
