package native

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// ErrEventTooLong is returned by EventReader.Next for an event that exceeds maxEvent
// bytes. The reader must not be used after it.
var ErrEventTooLong = errors.New("server-sent event is too long")

// Event is one server-sent event. Its slices are valid until the next call to
// EventReader.Next.
type Event struct {
	ID   []byte // field "id", empty if absent
	Name []byte // field "event", empty if absent
	Data []byte // all fields "data", joined by newlines
}

// EventReader decodes a text/event-stream. It is not safe for concurrent use.
type EventReader struct {
	r        *bufio.Reader
	maxEvent int
	line     []byte
	id       []byte
	name     []byte
	data     []byte
	hasData  bool
}

// NewEventReader returns a reader of the events in r. maxEvent bounds the bytes of one
// event's lines, and so the memory that a faulty peer can use.
func NewEventReader(r io.Reader, maxEvent int) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(r, bufferBytes), maxEvent: maxEvent}
}

// Next returns the next event that has data. It returns io.EOF if the stream ends
// between two events, and io.ErrUnexpectedEOF if it ends within one. An event is
// complete only with its empty line; without it, its data may be truncated.
func (e *EventReader) Next() (Event, error) {
	e.reset()
	budget := e.maxEvent
	for {
		line, err := e.readLine(budget)
		if err != nil {
			return Event{}, err
		}
		budget -= len(line)
		if len(line) > 0 {
			e.parseField(line)
			continue
		}
		if e.hasData {
			return Event{ID: e.id, Name: e.name, Data: e.data}, nil
		}
		e.reset()
		budget = e.maxEvent
	}
}

func (e *EventReader) reset() {
	e.id = e.id[:0]
	e.name = e.name[:0]
	e.data = e.data[:0]
	e.hasData = false
}

// readLine returns the next line without its line ending. At the end of the stream it
// returns io.EOF, or io.ErrUnexpectedEOF within a line or after a data field.
func (e *EventReader) readLine(budget int) ([]byte, error) {
	e.line = e.line[:0]
	for {
		fragment, err := e.r.ReadSlice('\n')
		e.line = append(e.line, fragment...)
		if len(e.line) > budget+len("\r\n") {
			return nil, ErrEventTooLong
		}
		if err == nil {
			return bytes.TrimRight(e.line, "\r\n"), nil
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) && (len(e.line) > 0 || e.hasData) {
			return nil, io.ErrUnexpectedEOF
		}
		return nil, err
	}
}

// parseField parses one "name: value" line. It ignores comments and unknown fields, as
// the HTML standard requires.
func (e *EventReader) parseField(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "data":
		if e.hasData {
			e.data = append(e.data, '\n')
		}
		e.data = append(e.data, value...)
		e.hasData = true
	case "event":
		e.name = append(e.name[:0], value...)
	case "id":
		e.id = append(e.id[:0], value...)
	}
}
