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
	text        strings.Builder
	lastEventID string // of the last event; empty: the stream cannot be taken up again
	requestID   string // as the first answer named it
	lastToken   time.Duration
}

// takeStream reads a streamed answer to its end.
func readStream(d Dialect, body io.Reader, intendedStart time.Time, state *streamState, r *callResult) (Outcome, error) {
	events := native.NewEventReader(body, maxEventBytes)
	for {
		event, err := events.Next()
		switch {
		case errors.Is(err, io.EOF) && !d.NeedsEndMark():
			return Answered, nil
		case errors.Is(err, io.EOF):
			return Broken, errTruncated
		case err != nil:
			return Broken, err
		}
		if len(event.ID) > 0 {
			state.lastEventID = string(event.ID)
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
		state.add(chunk, time.Since(intendedStart), r)
	}
}

// add takes the tokens of one event in, which came at the time now.
func (s *streamState) add(chunk Chunk, now time.Duration, r *callResult) {
	for _, token := range chunk.Tokens {
		s.text.WriteString(token)
		r.addToken(now, s.lastToken)
		s.lastToken = now
	}
}

func (r *callResult) addToken(now, lastToken time.Duration) {
	r.tokens++
	if r.tokens == 1 {
		r.firstToken = now
		return
	}
	r.tokenGaps = append(r.tokenGaps, now-lastToken)
}
