package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"savoryreel.example/savoryreel/native"
)

const (
	streamCallers = 50
	tokenTime     = 5 * time.Millisecond
	askRequests   = 400
	askEngines    = 64 // enough that nearly every entry owns one
	methodAsk     = "entry.quarantine.ask"
	methodTell    = "entry.quarantine.tell"
)

// Streaming measures the processor time and heap objects of streamed answers by
// their length in tokens, through an entry and directly at the engine. The
// entry's cost is the difference, since caller and engine run in this process
// too. Tokens arrive one at a time, every 5 ms.
func Streaming(ctx context.Context, tokens ...int) (*Table, error) {
	t := &Table{SizeLabel: "tokens/answer", Columns: []string{
		"through µs/answer", "direct µs/answer", "entry µs/answer", "entry objects/answer",
	}}
	s, err := newServingSite(ctx, 1, 1, tokenTime)
	if err != nil {
		return nil, err
	}
	defer s.close()
	for _, n := range tokens {
		through, objects, err := s.measureStreaming(s.entries[0].callers, "chat", n)
		if err != nil {
			return nil, err
		}
		direct, directObjects, err := s.measureStreaming(s.engineAddress, model, n)
		if err != nil {
			return nil, err
		}
		t.Rows = append(t.Rows, Row{float64(n), []float64{through, direct, through - direct, objects - directObjects}})
	}
	return t, nil
}

// newServingSite starts a control replica, entries and engines. If there are
// engines, it waits until every entry serves requests. The caller must close the
// site.
func newServingSite(ctx context.Context, entries, engines int, tokenTime time.Duration) (*site, error) {
	s, err := newSite(ctx, 1, slog.New(slog.DiscardHandler))
	if err != nil {
		return nil, err
	}
	err = s.startEntries(entries)
	for range engines {
		if err == nil {
			err = s.startEngine(tokenTime)
		}
	}
	for _, e := range s.entries {
		if err == nil && engines > 0 {
			err = s.eventually("entry serves requests", func() error { return s.streamChat(s.ctx, e.callers, "chat", 1) })
		}
	}
	if err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// measureStreaming lets streamCallers concurrent callers request one answer each,
// several times, and returns the processor time in microseconds and the heap
// objects per answer.
func (s *site) measureStreaming(address, service string, tokens int) (processor, objects float64, err error) {
	streamAll := func() error {
		return runConcurrently(streamCallers, func() error { return s.streamChat(s.ctx, address, service, tokens) })
	}
	if err := streamAll(); err != nil { // opens the connections before the measurement
		return 0, 0, err
	}
	const rounds = 3
	m := newCPUMeter()
	for range rounds {
		if err := streamAll(); err != nil {
			return 0, 0, err
		}
	}
	return m.microsecondsPerUnit(rounds * streamCallers), m.objectsPerUnit(rounds * streamCallers), nil
}

// runConcurrently runs f in n goroutines, waits for all of them and returns one of
// their errors, if any.
func runConcurrently(n int, f func() error) error {
	errs := make(chan error, n)
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() { errs <- f() })
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// streamChat sends a chat request and reads the whole streamed answer. It returns
// an error if the answer has fewer than the requested tokens.
func (s *site) streamChat(ctx context.Context, address, service string, tokens int) error {
	resp, err := s.sendChat(ctx, address, service, tokens)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return trace.Wrap(err, "step=read answer peer=%s", address)
	}
	if received := bytes.Count(body, []byte(`"content":`)); resp.StatusCode != http.StatusOK || received < tokens {
		return fmt.Errorf("%s: status %d, %d tokens of %d", address, resp.StatusCode, received, tokens)
	}
	return nil
}

// sendChat sends a chat request with a unique prompt and returns the response,
// whose body the caller must close.
func (s *site) sendChat(ctx context.Context, address, service string, tokens int) (*http.Response, error) {
	body, err := json.Marshal(native.ChatRequest{
		Model: service, Stream: true, MaxTokens: tokens, Messages: []native.Message{{Role: "user", Content: fmt.Sprintf("Question %d", s.requestCount.Add(1))}},
	})
	if err != nil {
		return nil, trace.Wrap(err, "step=encode request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+workspaceKey)
	resp, err := http.DefaultClient.Do(req)
	return resp, trace.Wrap(err, "step=send request peer=%s", address)
}

// InFlight measures the memory of requests that wait for their second token, by
// their number, through an entry and directly at the engine. The entry's cost is
// the difference.
func InFlight(ctx context.Context, requests ...int) (*Table, error) {
	t := &Table{SizeLabel: "requests in flight", Columns: []string{"through B", "direct B", "entry B"}}
	s, err := newServingSite(ctx, 1, 1, time.Second)
	if err != nil {
		return nil, err
	}
	defer s.close()
	for _, n := range requests {
		through, err := s.measureInFlight(s.entries[0].callers, "chat", n)
		if err != nil {
			return nil, err
		}
		direct, err := s.measureInFlight(s.engineAddress, model, n)
		if err != nil {
			return nil, err
		}
		t.Rows = append(t.Rows, Row{float64(n), []float64{through, direct, through - direct}})
	}
	return t, nil
}

// measureInFlight returns the memory of n requests in flight at address, in bytes.
func (s *site) measureInFlight(address, service string, n int) (float64, error) {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	http.DefaultClient.CloseIdleConnections()
	<-time.After(settleTime) // lets the requests of the previous row end
	memoryBefore := memoryInUse()
	var mu sync.Mutex
	var responses []*http.Response
	err := runConcurrently(n, func() error {
		resp, err := s.sendChat(ctx, address, service, 1000)
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		responses = append(responses, resp)
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("%s: status %d", address, resp.StatusCode)
		}
		return nil
	})
	memory := memoryInUse() - memoryBefore
	cancel()
	for _, resp := range responses {
		_ = resp.Body.Close() // the request is cancelled already
	}
	return memory, err
}

// Asks measures the quarantine messages between an entry and the owner of a
// request's fingerprint, by the number of entries, with askEngines engines: the
// query before the request runs (ask) and the report of its outcome (tell). Every
// request has another fingerprint. The bytes of an ask include the reply.
func Asks(ctx context.Context, entries ...int) (*Table, error) {
	t := &Table{SizeLabel: "entries", Columns: []string{"asks/request", "B/ask", "B/tell"}}
	for _, n := range entries {
		s, err := newServingSite(ctx, n, askEngines, 0)
		if err != nil {
			return nil, err
		}
		values, err := s.measureAsks()
		s.close()
		if err != nil {
			return nil, err
		}
		t.Rows = append(t.Rows, Row{float64(n), values})
	}
	return t, nil
}

// measureAsks returns the row of this site, measured at the first entry.
func (s *site) measureAsks() ([]float64, error) {
	firstEntry := s.entries[0]
	before, err := s.scrapeLinkTraffic(firstEntry.ops)
	if err != nil {
		return nil, err
	}
	for range askRequests {
		if err := s.streamChat(s.ctx, firstEntry.callers, "chat", 1); err != nil {
			return nil, err
		}
	}
	after, err := s.scrapeLinkTraffic(firstEntry.ops)
	if err != nil {
		return nil, err
	}
	askTraffic, tellTraffic := after[methodAsk].since(before[methodAsk]), after[methodTell].since(before[methodTell])
	askCount := askTraffic.messages / 2 // request and reply
	if askCount == 0 {
		return []float64{0, 0, 0}, nil
	}
	return []float64{askCount / askRequests, askTraffic.bytes / askCount, tellTraffic.bytes / tellTraffic.messages}, nil
}
