package load

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"savoryreel.example/savoryreel/native"
)

// streamState is the state of a stream across reconnects. A broken stream is resumed
// as the HTML standard defines for server-sent events.
type streamState struct {
	text        strings.Builder
	lastEventID string        // empty: the stream cannot be resumed
	requestID   string        // from the first answer
	lastToken   time.Duration // arrival of the last token, since the intended start
}

// readStream reads a streamed answer to its end and returns its outcome.
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

// add adds the tokens of an event that arrived at now, since the intended start.
func (s *streamState) add(chunk Chunk, now time.Duration, r *callResult) {
	for _, token := range chunk.Tokens {
		s.text.WriteString(token)
		r.addToken(now, s.lastToken)
		s.lastToken = now
	}
}

// addToken records the arrival of a token; lastToken is the arrival of the one before.
func (r *callResult) addToken(now, lastToken time.Duration) {
	r.tokens++
	if r.tokens == 1 {
		r.firstToken = now
		return
	}
	r.tokenGaps = append(r.tokenGaps, now-lastToken)
}
