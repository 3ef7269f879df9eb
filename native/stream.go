package native

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/gravitational/trace"
)

// streamEnd is the data of the event that ends a stream.
const streamEnd = "[DONE]"

// ChatStream is the streamed answer of a model engine. Only one goroutine may call
// Next; Close may be called concurrently and makes a blocked Next return.
type ChatStream struct {
	peer      string
	body      io.ReadCloser
	events    *EventReader
	notice    AnswerNotice
	version   string
	usage     Usage
	done      bool
	closeOnce sync.Once
}

func newChatStream(peer string, resp *http.Response, maxEvent int) *ChatStream {
	return &ChatStream{
		peer: peer, body: resp.Body, events: NewEventReader(resp.Body, maxEvent), notice: NoticeOf(resp.StatusCode, resp.Header),
		version: resp.Header.Get(HeaderVersion),
	}
}

// Notice returns what the answer's header says about the engine.
func (s *ChatStream) Notice() AnswerNotice { return s.notice }

// Version returns the version that generates the answer; empty if the engine does not say so.
func (s *ChatStream) Version() string { return s.version }

// Next returns the next chunk. It returns io.EOF, not wrapped, after the event "[DONE]".
// Any other error is a *CallError with StepBody and MaybeRan. If the connection ends
// before "[DONE]", the answer is truncated and errors.Is(err, io.ErrUnexpectedEOF) is
// true.
//
// Next has no timeout: it blocks until a chunk arrives, the stream is closed or the
// context given to Chat ends.
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

// Usage returns the engine's token counts; zero before the last chunk.
func (s *ChatStream) Usage() Usage { return s.usage }

// Close closes the stream. Before the end of the answer it closes the connection, which
// the engine treats as a cancel.
func (s *ChatStream) Close() error {
	var err error
	s.closeOnce.Do(func() { err = s.body.Close() })
	return err
}

func (s *ChatStream) streamError(err error) error {
	return trace.Wrap(&CallError{Step: StepBody, Peer: s.peer, Delivery: MaybeRan, Err: err})
}
