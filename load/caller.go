package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"savoryreel.example/savoryreel/platform"
)

// Headers of the system towards callers.
const (
	headerDeadline = "Savoryreel-Deadline-Ms"
	headerOutcome  = "Savoryreel-Outcome"
	headerKey      = "Idempotency-Key"
)

const (
	deadlineGrace  = 2 * time.Second // how long past its deadline a caller still listens
	maxRedirects   = 4
	maxEvent       = 64 << 10
	doneMark       = "[DONE]"
	eventError     = "error"
	pathPlainCalls = "/svc/"
)

var (
	errWrongAnswer = errors.New("the answer is not the one expected")
	errCutStream   = errors.New("the stream ended without its end mark")
	errRedirects   = errors.New("too many redirects")
)

// Outcome is how a request ended at the caller.
type Outcome string

// The outcomes. The first three are the system's own word.
const (
	Answered  Outcome = "answered"
	NotRun    Outcome = "not_run"
	Unknown   Outcome = "unknown"
	Failed    Outcome = "failed"    // an error status without an outcome
	Broken    Outcome = "broken"    // no answer, a cut one, or none in time
	Wrong     Outcome = "wrong"     // answered, but not with the expected answer
	Unstarted Outcome = "unstarted" // still waiting for a free caller at the run's end
)

// report is what one request met. Times count from its intended start.
type report struct {
	outcome Outcome
	lag     time.Duration // of the real start
	first   time.Duration // to the first token, or to a plain answer's head; 0: none
	end     time.Duration
	gaps    []time.Duration // between tokens
	tokens  int
	redials int // entries that could not be reached before one could
	err     error
}

// caller makes requests. It is safe for concurrent use.
type caller struct {
	cfg    Config
	runID  string // makes idempotency keys unique over runs
	client *http.Client
	choice *entryChoice
}

func newClient(maxInFlight int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: maxInFlight,
			IdleConnTimeout:     platform.DefaultIdleTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// call makes one request whose start was intended at the given time.
func (c *caller) call(ctx context.Context, a arrival, intended time.Time) report {
	part := c.cfg.Parts[a.part]
	r := report{lag: time.Since(intended)}
	ctx, cancel := context.WithTimeout(ctx, part.timeout())
	defer cancel()
	resp, err := c.send(ctx, part, a, &r)
	if err == nil {
		defer resp.Body.Close()
		r.outcome, r.err = c.take(resp, part, a, intended, &r)
	} else {
		r.outcome, r.err = Broken, err
	}
	r.end = time.Since(intended)
	return r
}

// send tries the entries in their order until one can be reached. Nothing is
// sent twice: it goes on only while no connection was made.
func (c *caller) send(ctx context.Context, p Part, a arrival, r *report) (*http.Response, error) {
	if p.Direct != "" {
		return c.sendTo(ctx, "http://"+p.Direct, p, a)
	}
	urls, err := c.choice.get(ctx)
	if err != nil {
		return nil, err
	}
	for _, url := range urls {
		connected := false
		trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
		var resp *http.Response
		resp, err = c.sendTo(httptrace.WithClientTrace(ctx, trace), url, p, a)
		if err == nil {
			return resp, nil
		}
		c.choice.demote(url)
		if connected || ctx.Err() != nil {
			return nil, err
		}
		r.redials++
	}
	c.choice.expire()
	return nil, err
}

// sendTo sends the request to the entry or engine at base, and on to where a
// temporary redirect points: an entry that drains sends its callers away so.
func (c *caller) sendTo(ctx context.Context, base string, p Part, a arrival) (*http.Response, error) {
	url := base + p.path()
	for range maxRedirects {
		resp, err := c.sendOnce(ctx, url, p, a)
		if err != nil || resp.StatusCode != http.StatusTemporaryRedirect {
			return resp, err
		}
		location, err := resp.Location()
		resp.Body.Close()
		if err != nil {
			return nil, err
		}
		url = location.String()
	}
	return nil, errRedirects
}

func (p Part) path() string {
	if p.Kind == Chat {
		return platform.PathChat
	}
	return pathPlainCalls + p.Service + "/" + strings.TrimPrefix(p.Path, "/")
}

// sendOnce hides the body's type from net/http, which would otherwise repeat a
// request with a key on its own when a connection breaks: the run is to count
// what breaks.
func (c *caller) sendOnce(ctx context.Context, url string, p Part, a arrival) (*http.Response, error) {
	body, err := requestBody(p, a.index)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, p.method(), url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(body))
	c.setHeaders(req, p, a)
	return c.client.Do(req)
}

func (p Part) method() string {
	if p.Kind == Chat {
		return http.MethodPost
	}
	return p.Method
}

func (c *caller) setHeaders(req *http.Request, p Part, a arrival) {
	if p.Kind == Chat {
		req.Header.Set("Content-Type", "application/json")
	}
	if p.Key != "" {
		req.Header.Set("Authorization", "Bearer "+p.Key)
	}
	if p.Deadline > 0 {
		req.Header.Set(headerDeadline, strconv.FormatInt(p.Deadline.Milliseconds(), 10))
	}
	if p.Once {
		req.Header.Set(headerKey, fmt.Sprintf("load-%s-%s-%d", c.runID, p.Name, a.index))
	}
}

func requestBody(p Part, index int) ([]byte, error) {
	if p.Kind == Plain {
		return []byte(filler(index, p.BodyBytes)), nil
	}
	return json.Marshal(platform.ChatRequest{
		Model:     p.Service,
		Messages:  messages(p, index),
		MaxTokens: p.MaxTokens,
		Stream:    true,
	})
}

// messages returns the prompt of a part's request with an index.
func messages(p Part, index int) []platform.Message {
	var list []platform.Message
	if p.PrefixBytes > 0 {
		list = append(list, platform.Message{
			Role:    "system",
			Content: p.Name + " " + filler(index%p.Prefixes, p.PrefixBytes),
		})
	}
	text := p.Name + " request " + strconv.Itoa(index) + " " + filler(index, p.PromptBytes)
	return append(list, platform.Message{Role: "user", Content: text})
}

// filler returns n bytes of text that begins differently for each index.
func filler(index, n int) string {
	unit := "station " + strconv.Itoa(index) + " "
	return strings.Repeat(unit, n/len(unit)+1)[:n]
}

// take reads the answer and says how the request ended.
func (c *caller) take(resp *http.Response, p Part, a arrival, intended time.Time, r *report) (Outcome, error) {
	if resp.StatusCode >= http.StatusMultipleChoices {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxEvent))
		return statedOutcome(Outcome(resp.Header.Get(headerOutcome)), Failed),
			fmt.Errorf("status %d", resp.StatusCode)
	}
	if p.Kind == Plain {
		return takePlain(resp, intended, r)
	}
	text, outcome, err := takeStream(resp.Body, intended, r)
	if outcome != Answered || c.cfg.Expect == nil {
		return outcome, err
	}
	want := c.cfg.Expect(p.Model, messages(p, a.index), p.MaxTokens)
	if text != strings.Join(want, "") {
		return Wrong, errWrongAnswer
	}
	return Answered, nil
}

// statedOutcome returns the system's own word, or other where there is none.
// An error that calls itself answered is a plain service's own error status.
func statedOutcome(stated, other Outcome) Outcome {
	switch stated {
	case Answered, NotRun, Unknown:
		return stated
	default:
		return other
	}
}

func takePlain(resp *http.Response, intended time.Time, r *report) (Outcome, error) {
	r.first = time.Since(intended)
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return Broken, err
	}
	return Answered, nil
}

// takeStream reads a streamed chat to its end mark.
func takeStream(body io.Reader, intended time.Time, r *report) (string, Outcome, error) {
	events := platform.NewEventReader(body, maxEvent)
	var text strings.Builder
	var last time.Duration
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			err = errCutStream
		}
		if err != nil {
			return "", Broken, err
		}
		if string(event.Name) == eventError {
			return "", errorOutcome(event.Data), fmt.Errorf("error event: %s", event.Data)
		}
		if string(event.Data) == doneMark {
			return text.String(), Answered, nil
		}
		var chunk platform.ChatChunk
		if err := json.Unmarshal(event.Data, &chunk); err != nil {
			return "", Broken, err
		}
		for _, choice := range chunk.Choices {
			if choice.Delta.Content == "" {
				continue
			}
			text.WriteString(choice.Delta.Content)
			now := time.Since(intended)
			r.addToken(now, last)
			last = now
		}
	}
}

func (r *report) addToken(now, last time.Duration) {
	r.tokens++
	if r.tokens == 1 {
		r.first = now
		return
	}
	r.gaps = append(r.gaps, now-last)
}

// errorOutcome reads the outcome of a problem that ends a stream.
func errorOutcome(data []byte) Outcome {
	var problem struct {
		Outcome Outcome `json:"outcome"`
	}
	if json.Unmarshal(data, &problem) != nil {
		return Unknown
	}
	return statedOutcome(problem.Outcome, Unknown)
}
