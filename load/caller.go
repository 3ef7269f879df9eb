package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"time"

	"savoryreel.example/savoryreel/native"
)

const (
	deadlineGrace = 2 * time.Second // how long a caller waits for the answer after the deadline
	maxRedirects  = 4               // requests sent to follow redirects, including the first one
	maxReconnects = 3               // of one stream
	maxEventBytes = 64 << 10
)

var (
	errWrongAnswer      = errors.New("the answer is not the one expected")
	errTruncated        = errors.New("the stream ended without its end mark")
	errTooManyRedirects = errors.New("too many redirects")
)

// Outcome is the result of a request as the caller sees it.
type Outcome string

// The outcomes. The system may report the first three with an error; the caller
// determines the others, and counts a complete answer as Answered.
const (
	Answered  Outcome = "answered"
	NotRun    Outcome = "not_run"
	Unknown   Outcome = "unknown"
	Failed    Outcome = "failed"    // an error status without a reported outcome
	Broken    Outcome = "broken"    // no answer, a truncated answer, or a timeout
	Wrong     Outcome = "wrong"     // complete, but not the expected answer
	Unstarted Outcome = "unstarted" // not sent before the end of the run
)

// callResult holds the measurements of one request. Durations are measured from its
// intended start, except for tokenGaps.
type callResult struct {
	outcome    Outcome
	startLag   time.Duration   // until the request was sent
	firstToken time.Duration   // until the first token, or the header of a plain answer; 0: none
	latency    time.Duration   // until the request ended
	tokenGaps  []time.Duration // between consecutive tokens
	tokens     int
	redials    int // entries to which no connection could be made
	err        error

	reconnects int // times that the broken stream was resumed
}

// caller sends requests. It is safe for concurrent use.
type caller struct {
	cfg     Config
	runID   string // makes idempotency keys unique across runs
	client  *http.Client
	entries *entryCache
}

func newClient(maxInFlight int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: maxInFlight,
			IdleConnTimeout:     native.DefaultIdleTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// call sends one request and measures it. A broken stream is resumed up to
// maxReconnects times if its events have IDs.
func (c *caller) call(ctx context.Context, a arrival, intendedStart time.Time) callResult {
	part := c.cfg.Parts[a.part]
	r := callResult{startLag: time.Since(intendedStart)}
	ctx, cancel := context.WithTimeout(ctx, part.timeout())
	defer cancel()
	var state streamState
	for {
		r.outcome, r.err = c.attempt(ctx, part, a, intendedStart, &state, &r)
		broken := r.outcome == Broken && ctx.Err() == nil
		if !broken || state.lastEventID == "" || r.reconnects == maxReconnects {
			break
		}
		r.reconnects++
	}
	r.latency = time.Since(intendedStart)
	return r
}

// attempt sends the request, or resumes its stream, and reads the answer.
func (c *caller) attempt(ctx context.Context, p Part, a arrival, intendedStart time.Time, state *streamState, r *callResult) (Outcome, error) {
	resp, err := c.send(ctx, p, a, state, r)
	if err != nil {
		return Broken, err
	}
	defer resp.Body.Close()
	if state.requestID == "" {
		state.requestID = resp.Header.Get(native.HeaderRequestID)
	}
	return c.readAnswer(resp, p, a, intendedStart, state, r)
}

// send sends the request to the first entry that can be reached. It tries the next
// entry only if no connection was made, so no request is sent twice.
func (c *caller) send(ctx context.Context, p Part, a arrival, state *streamState, r *callResult) (*http.Response, error) {
	if p.Direct != "" {
		return c.sendTo(ctx, "http://"+p.Direct, p, a, state)
	}
	urls, err := c.entries.get(ctx)
	if err != nil {
		return nil, err
	}
	for _, url := range urls {
		connected := false
		trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
		var resp *http.Response
		resp, err = c.sendTo(httptrace.WithClientTrace(ctx, trace), url, p, a, state)
		if err == nil {
			return resp, nil
		}
		c.entries.demote(url)
		if connected || ctx.Err() != nil {
			return nil, err
		}
		r.redials++
	}
	c.entries.expire()
	return nil, err
}

// sendTo sends the request to the entry or engine at base and follows temporary
// redirects (307), with which a draining entry sends callers to another one.
func (c *caller) sendTo(ctx context.Context, base string, p Part, a arrival, state *streamState) (*http.Response, error) {
	var location *url.URL
	for range maxRedirects {
		req, err := c.cfg.Dialect.NewRequest(ctx, base, p,
			Call{RunID: c.runID, Index: a.index, RequestID: state.requestID, LastEventID: state.lastEventID})
		if err != nil {
			return nil, err
		}
		if location != nil {
			if req.Host == req.URL.Host {
				req.Host = location.Host
			}
			req.URL = location
		}
		resp, err := c.client.Do(req)
		if err != nil || resp.StatusCode != http.StatusTemporaryRedirect {
			return resp, err
		}
		location, err = resp.Location()
		resp.Body.Close()
		if err != nil {
			return nil, err
		}
	}
	return nil, errTooManyRedirects
}

// readAnswer reads the answer and returns the outcome of the request.
func (c *caller) readAnswer(resp *http.Response, p Part, a arrival, intendedStart time.Time, state *streamState, r *callResult) (Outcome, error) {
	if resp.StatusCode >= http.StatusMultipleChoices {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxEventBytes))
		return c.cfg.Dialect.Refusal(resp.StatusCode, resp.Header), fmt.Errorf("status %d", resp.StatusCode)
	}
	if p.Kind == Plain {
		return readPlain(resp, intendedStart, r)
	}
	outcome, err := readStream(c.cfg.Dialect, resp.Body, intendedStart, state, r)
	if outcome != Answered || c.cfg.Expect == nil {
		return outcome, err
	}
	want := c.cfg.Expect(p.Model, promptMessages(p, a.index), p.MaxTokens)
	if state.text.String() != strings.Join(want, "") {
		return Wrong, errWrongAnswer
	}
	return Answered, nil
}

func readPlain(resp *http.Response, intendedStart time.Time, r *callResult) (Outcome, error) {
	r.firstToken = time.Since(intendedStart)
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return Broken, err
	}
	return Answered, nil
}
