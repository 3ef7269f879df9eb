package native

import (
	"encoding/json"
	"errors"
	"io"
	"sync"

	"github.com/gravitational/trace"
)

// doneMark is the data of the event that ends a stream.
const streamEnd = "[DONE]"

// ChatStream is the streamed answer of a model engine. Next belongs to one
// goroutine; Close may be called from any, and ends a Next that waits.
type ChatStream struct {
	peer      string
	body      io.ReadCloser
	events    *EventReader
	usage     Usage
	done      bool
	closeOnce sync.Once
}

func newChatStream(peer string, body io.ReadCloser, maxEvent int) *ChatStream {
	return &ChatStream{peer: peer, body: body, events: NewEventReader(body, maxEvent)}
}

// Next returns the next chunk. It returns a bare io.EOF after the stream's end
// mark. Every other end is a *CallError with StepBody and MaybeRan; where the
// connection ended early, errors.Is(err, io.ErrUnexpectedEOF) holds, because an
// answer without its end mark is not whole even if its bytes look so.
//
// Next does not tell a slow engine from a silent link: it waits until a chunk
// comes, the stream is closed, or the context given to Chat ends.
func (s *ChatStream) Next() (ChatChunk, error) {
	if s.done {
		return ChatChunk{}, io.EOF
	}
	event, err := s.events.Next()
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return ChatChunk{}, s.streamError(err)
	}
	if string(event.Data) == streamEnd {
		s.done = true
		return ChatChunk{}, io.EOF
	}
	var chunk ChatChunk
	if err := json.Unmarshal(event.Data, &chunk); err != nil {
		return ChatChunk{}, s.streamError(err)
	}
	if chunk.Usage != nil {
		s.usage = *chunk.Usage
	}
	return chunk, nil
}

// Usage returns the engine's count of tokens; zero until the last chunk.
func (s *ChatStream) Usage() Usage { return s.usage }

// Close ends the stream. An engine takes the closed connection of an answer
// that has not ended as a cancel.
func (s *ChatStream) Close() error {
	var err error
	s.closeOnce.Do(func() { err = s.body.Close() })
	return err
}

func (s *ChatStream) streamError(err error) error {
	return trace.Wrap(&CallError{Step: StepBody, Peer: s.peer, Delivery: MaybeRan, Err: err})
}
