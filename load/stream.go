package load

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"savoryreel.example/savoryreel/native"
)

// streamState is what a caller knows of a stream that it may have to take up
// again, as the HTML standard has it for server-sent events.
type streamState struct {
	text      strings.Builder
	lastID    string // of the last event; empty: the stream cannot be taken up again
	requestID string // as the first answer named it
	last      time.Duration
}

// takeStream reads a streamed chat to its end mark.
func takeStream(body io.Reader, intended time.Time, state *streamState, r *report) (Outcome, error) {
	events := native.NewEventReader(body, maxEvent)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			err = errCutStream
		}
		if err != nil {
			return Broken, err
		}
		if len(event.ID) > 0 {
			state.lastID = string(event.ID)
		}
		if string(event.Name) == eventError {
			return errorOutcome(event.Data), fmt.Errorf("error event: %s", event.Data)
		}
		if string(event.Data) == doneMark {
			return Answered, nil
		}
		if err := state.addChunk(event.Data, time.Since(intended), r); err != nil {
			return Broken, err
		}
	}
}

// addChunk takes the tokens of one event in, which came at the time now.
func (s *streamState) addChunk(data []byte, now time.Duration, r *report) error {
	var chunk native.ChatChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return err
	}
	for _, choice := range chunk.Choices {
		if choice.Delta.Content == "" {
			continue
		}
		s.text.WriteString(choice.Delta.Content)
		r.addToken(now, s.last)
		s.last = now
	}
	return nil
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
