package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"savoryreel.example/savoryreel/native"
)

// Names of the native client protocol.
const (
	headerDeadline       = "Savoryreel-Deadline-Ms"
	headerOutcome        = "Savoryreel-Outcome"
	headerIdempotencyKey = "Idempotency-Key"
	headerLastEventID    = "Last-Event-ID"
	pathEntries          = "/v1/entries"
	pathPlainCalls       = "/svc/"
	doneMark             = "[DONE]"
	eventError           = "error"
)

// Native is the native client protocol of Savoryreel.
type Native struct{}

// ListPath implements Dialect.
func (Native) ListPath() string { return pathEntries }

// EntriesServeList implements Dialect.
func (Native) EntriesServeList() bool { return true }

// ReadList implements Dialect.
func (Native) ReadList(body []byte) (EntryList, error) {
	var in struct {
		Entries []struct {
			Address string `json:"address"` // host:port
		} `json:"entries"`
		ValidSeconds float64 `json:"validSeconds"`
	}
	if err := json.Unmarshal(body, &in); err != nil {
		return EntryList{}, err
	}
	list := EntryList{TTL: time.Duration(in.ValidSeconds * float64(time.Second))}
	for _, e := range in.Entries {
		list.Addresses = append(list.Addresses, e.Address)
	}
	return list, nil
}

// NewRequest implements Dialect.
func (Native) NewRequest(ctx context.Context, base string, p Part, call Call) (*http.Request, error) {
	method, path := http.MethodPost, native.PathChat
	if p.Kind == Plain {
		method, path = p.Method, pathPlainCalls+p.Service+"/"+strings.TrimPrefix(p.Path, "/")
	}
	body, err := nativeBody(p, call.Index)
	if err != nil {
		return nil, err
	}
	req, err := NewRequest(ctx, method, base+path, body)
	if err != nil {
		return nil, err
	}
	setNativeHeaders(req.Header, p, call)
	return req, nil
}

func setNativeHeaders(h http.Header, p Part, call Call) {
	if p.Kind == Chat {
		h.Set("Content-Type", "application/json")
	}
	if p.Key != "" {
		h.Set("Authorization", "Bearer "+p.Key)
	}
	if p.Deadline > 0 {
		h.Set(headerDeadline, strconv.FormatInt(p.Deadline.Milliseconds(), 10))
	}
	if p.Once {
		h.Set(headerIdempotencyKey, fmt.Sprintf("load-%s-%s-%d", call.RunID, p.Name, call.Index))
	}
	if call.LastEventID != "" {
		h.Set(headerLastEventID, call.LastEventID)
		h.Set(native.HeaderRequestID, call.RequestID)
	}
}

func nativeBody(p Part, index int) ([]byte, error) {
	if p.Kind == Plain {
		return []byte(Filler(index, p.BodyBytes)), nil
	}
	return json.Marshal(native.ChatRequest{
		Model:     p.Service,
		Messages:  promptMessages(p, index),
		MaxTokens: p.MaxTokens,
		Stream:    true,
	})
}

// promptMessages returns the prompt of a part's request. The prefix repeats every
// p.Prefixes requests; the user message is different for each index.
func promptMessages(p Part, index int) []native.Message {
	var list []native.Message
	if p.PrefixBytes > 0 {
		list = append(list, native.Message{
			Role:    "system",
			Content: p.Name + " " + Filler(index%p.Prefixes, p.PrefixBytes),
		})
	}
	text := p.Name + " request " + strconv.Itoa(index) + " " + Filler(index, p.PromptBytes)
	return append(list, native.Message{Role: "user", Content: text})
}

// Filler returns n bytes of text that starts with the index.
func Filler(index, n int) string {
	unit := "station " + strconv.Itoa(index) + " "
	return strings.Repeat(unit, n/len(unit)+1)[:n]
}

// Refusal implements Dialect.
func (Native) Refusal(_ int, h http.Header) Outcome {
	return statedOutcome(Outcome(h.Get(headerOutcome)), Failed)
}

// statedOutcome returns the outcome that the system reported, or fallback if it
// reported none. An error status reported as answered is the service's own error.
func statedOutcome(stated, fallback Outcome) Outcome {
	switch stated {
	case Answered, NotRun, Unknown:
		return stated
	default:
		return fallback
	}
}

// ReadEvent implements Dialect.
func (Native) ReadEvent(event native.Event) (Chunk, error) {
	if string(event.Name) == eventError {
		return Chunk{Failure: errorOutcome(event.Data)}, nil
	}
	if string(event.Data) == doneMark {
		return Chunk{End: true}, nil
	}
	var in native.ChatChunk
	if err := json.Unmarshal(event.Data, &in); err != nil {
		return Chunk{}, err
	}
	var out Chunk
	for _, choice := range in.Choices {
		if choice.Delta.Content != "" {
			out.Tokens = append(out.Tokens, choice.Delta.Content)
		}
	}
	return out, nil
}

// errorOutcome returns the outcome in the error event that ends a stream, or Unknown
// if there is none.
func errorOutcome(data []byte) Outcome {
	var problem struct {
		Outcome Outcome `json:"outcome"`
	}
	if json.Unmarshal(data, &problem) != nil {
		return Unknown
	}
	return statedOutcome(problem.Outcome, Unknown)
}

// NeedsEndMark implements Dialect.
func (Native) NeedsEndMark() bool { return true }
