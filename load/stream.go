package load

import (
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

// takeStream reads a streamed answer to its end.
func takeStream(d Dialect, body io.Reader, intended time.Time, state *streamState, r *report) (Outcome, error) {
	events := native.NewEventReader(body, maxEvent)
	for {
		event, err := events.Next()
		switch {
		case errors.Is(err, io.EOF) && !d.EndMark():
			return Answered, nil
		case errors.Is(err, io.EOF):
			return Broken, errCutStream
		case err != nil:
			return Broken, err
		}
		if len(event.ID) > 0 {
			state.lastID = string(event.ID)
		}
		chunk, err := d.ReadEvent(event)
		switch {
		case err != nil:
			return Broken, err
		case chunk.Failure != "":
			return chunk.Failure, fmt.Errorf("error event: %s", event.Data)
		case chunk.End:
			return Answered, nil
		}
		state.add(chunk, time.Since(intended), r)
	}
}

// add takes the tokens of one event in, which came at the time now.
func (s *streamState) add(chunk Chunk, now time.Duration, r *report) {
	for _, token := range chunk.Tokens {
		s.text.WriteString(token)
		r.addToken(now, s.last)
		s.last = now
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
