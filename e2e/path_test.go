package e2e

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/internal/fake"
	"savoryreel.example/savoryreel/native"
)

// chatBody returns the body of a chat request and the tokens of the expected answer.
func chatBody(prompt string, tokens int, stream bool) (body string, want []string) {
	messages := []native.Message{{Role: "user", Content: prompt}}
	enc, err := json.Marshal(native.ChatRequest{Model: "chat", Messages: messages, MaxTokens: tokens, Stream: stream})
	if err != nil {
		panic(err)
	}
	return string(enc), fake.Answer("demo", messages, tokens)
}

// streamedAnswer is a streamed answer as a caller collects it across reconnects.
type streamedAnswer struct {
	tokens      []string
	done        bool
	movedTo     string // URL at which the answer continues; empty: not moved
	events      int
	status      int
	requestID   string
	lastEventID string // id of the last event
	otherEvent  string // kind and data of the last event of an unknown kind
}

// read collects events until the stream ends or stop returns true.
func (c *streamedAnswer) read(resp *http.Response, stop func() bool) error {
	defer resp.Body.Close()
	c.status, c.requestID = resp.StatusCode, resp.Header.Get("X-Request-Id")
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, 1<<20)
	kind := ""
	for lines.Scan() {
		line := lines.Text()
		switch {
		case strings.HasPrefix(line, "id: "):
			c.lastEventID = line[4:]
		case strings.HasPrefix(line, "event: "):
			kind = line[7:]
		case line == "data: [DONE]":
			c.done = true
		case strings.HasPrefix(line, "data: "):
			if err := c.addEvent(kind, line[6:]); err != nil {
				return err
			}
			kind = ""
		}
		if stop() {
			return nil
		}
	}
	return lines.Err()
}

func (c *streamedAnswer) addEvent(kind, addEvent string) error {
	c.events++
	switch kind {
	case "":
		var chunk native.ChatChunk
		if err := json.Unmarshal([]byte(addEvent), &chunk); err != nil {
			return fmt.Errorf("chunk %q: %w", addEvent, err)
		}
		if text := chunk.Choices[0].Delta.Content; text != "" {
			c.tokens = append(c.tokens, text)
		}
	case "moved":
		var m struct{ Location string }
		if err := json.Unmarshal([]byte(addEvent), &m); err != nil {
			return err
		}
		c.movedTo = m.Location
	default:
		c.otherEvent = kind + ": " + addEvent
	}
	return nil
}

// stream sends a streamed chat request to entry i and reads the answer to its end,
// reconnecting to another entry after each "moved" event.
func (s *site) stream(ctx context.Context, i int, body string) (*streamedAnswer, error) {
	c := &streamedAnswer{}
	url := "http://" + s.addr(entryPort(i)) + "/v1/chat/completions"
	for method := http.MethodPost; ; method = http.MethodGet {
		c.movedTo = ""
		req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
		if err != nil {
			return c, err
		}
		req.Header.Set("Authorization", "Bearer "+workspaceKey)
		req.Header.Set("Savoryreel-Deadline-Ms", "60000")
		if c.lastEventID != "" {
			req.Header.Set("Last-Event-ID", c.lastEventID)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return c, err
		}
		if err := c.read(resp, func() bool { return false }); err != nil {
			return c, err
		}
		if c.movedTo == "" {
			return c, nil
		}
		url, body = c.movedTo, ""
	}
}

// Guards against a break anywhere between caller and backend server: whole, streamed,
// plain and idempotent calls and refusals, over two entries and three control replicas.
func TestWholePath(t *testing.T) {
	s := newSite(t)
	s.startControl(3)
	s.startEntry(1, "z1")
	s.startEntry(2, "z2")
	s.startEngine(1, "z1")
	s.startEngine(2, "z2")
	s.startPlain(1, "z1")
	s.apply(newTestCatalogue())
	body, want := chatBody("Good morning", 12, false)
	for i := 1; i <= 2; i++ {
		s.waitUntilServing(i, "/v1/chat/completions", body)
		s.waitUntilServing(i, "/svc/echo/ready", "x")
	}
	t.Run("entries", func(t *testing.T) {
		s.eventually("both entries are listed", func() error {
			r, err := s.call(t.Context(), 1, "GET", "/v1/entries", "", nil)
			if err == nil && strings.Count(r.body, `"address"`) != 2 {
				err = fmt.Errorf("entries: %s", r.body)
			}
			return err
		})
	})
	t.Run("whole", func(t *testing.T) {
		r, err := s.call(t.Context(), 1, "POST", "/v1/chat/completions", body, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, r.status, r.body)
		require.Equal(t, "answered", r.header.Get("Savoryreel-Outcome"))
		var answer native.ChatResponse
		require.NoError(t, json.Unmarshal([]byte(r.body), &answer))
		require.Equal(t, strings.Join(want, ""), answer.Choices[0].Message.Content)
	})
	t.Run("streamed", func(t *testing.T) {
		body, want := chatBody("Stream me", 20, true)
		c, err := s.stream(t.Context(), 2, body)
		require.NoError(t, err)
		require.True(t, c.done)
		require.Equal(t, want, c.tokens)
	})
	t.Run("plain", func(t *testing.T) {
		r, err := s.call(t.Context(), 2, "PUT", "/svc/echo/tiles/7?z=3", "body", nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, r.status, r.body)
		var answer fake.PlainAnswer
		require.NoError(t, json.Unmarshal([]byte(r.body), &answer))
		require.Equal(t, "/tiles/7", answer.Path)
		require.Equal(t, "z=3", answer.Query)
		require.EqualValues(t, 4, answer.BodyBytes)
	})
	t.Run("once", func(t *testing.T) {
		h := map[string]string{"Idempotency-Key": "credit-1"}
		first, err := s.call(t.Context(), 1, "POST", "/svc/echo/credit", "1 EUR", h)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, first.status, first.body)
		second, err := s.call(t.Context(), 2, "POST", "/svc/echo/credit", "1 EUR", h)
		require.NoError(t, err)
		require.Equal(t, first.body, second.body)
		require.Equal(t, 1, s.plainStats(1).Executions["credit-1"])
	})
	t.Run("refusals", func(t *testing.T) { s.checkRefusals(t, body) })
}

// checkRefusals sends invalid requests and checks the status, code and outcome of each refusal.
func (s *site) checkRefusals(t *testing.T, chat string) {
	cases := []struct {
		name, method, path, body string
		header                   map[string]string
		status                   int
		code                     string
	}{
		{"wrong key", "POST", "/v1/chat/completions", chat, map[string]string{"Authorization": "Bearer no"}, 401, "unauthorized"},
		{"unknown service", "POST", "/v1/chat/completions", `{"model":"x","messages":[{}]}`, nil, 404, "unknown_service"},
		{"malformed", "POST", "/v1/chat/completions", `{"model":`, nil, 400, "bad_request"},
		{"expired", "POST", "/v1/chat/completions", chat, map[string]string{"Savoryreel-Deadline-Ms": "0"}, 504, "deadline_expired"},
		{"no key for once", "POST", "/svc/echo/credit", "x", nil, 400, "idempotency_key_missing"},
		{"key of another", "POST", "/svc/echo/credit", "2 EUR", map[string]string{"Idempotency-Key": "credit-1"}, 422, "idempotency_key_reused"},
		{"too large", "PUT", "/svc/echo/x", strings.Repeat("x", 5<<20), nil, 413, "body_too_large"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, err := s.call(t.Context(), 1, c.method, c.path, c.body, c.header)
			require.NoError(t, err)
			require.Equal(t, c.status, r.status, r.body)
			require.Contains(t, r.body, `"code":"`+c.code+`"`)
			require.Equal(t, "not_run", r.header.Get("Savoryreel-Outcome"))
		})
	}
}
