package native

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// ErrEventTooLong is returned for an event whose data exceeds the bound. The
// stream is of no use after it.
var ErrEventTooLong = errors.New("server-sent event is too long")

// Event is one server-sent event. Its slices are valid until the next call of
// EventReader.Next.
type Event struct {
	ID   []byte // field "id", empty when absent
	Name []byte // field "event", empty when absent
	Data []byte // fields "data", joined by newlines
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

// NewEventReader returns a reader of the events in r. maxEvent bounds the bytes
// of one event's lines, so that a peer that never ends an event cannot fill
// the memory.
func NewEventReader(r io.Reader, maxEvent int) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(r, bufferBytes), maxEvent: maxEvent}
}

// Next returns the next event that has data. It returns io.EOF at the end of
// the stream between two events, and io.ErrUnexpectedEOF at an end within one:
// an event counts only once its empty line has come, because the cut may have
// shortened its data.
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

// readLine returns the next line without its end. The end of the stream counts
// as io.EOF only where an event could have ended.
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

// field takes one "name: value" line in. Comments and unknown fields are
// passed over, as the HTML standard has it.
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
