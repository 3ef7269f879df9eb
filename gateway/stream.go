package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"strconv"

	"savoryreel.example/savoryreel/backend"
	"savoryreel.example/savoryreel/event"
)

// maxEventBytes bounds an event of a stream that is split, which is kept until its end has come.
const maxEventBytes = 1 << 20

// errEventTooLong reports an event without an end in sight.
var errEventTooLong = errors.New("an event of the stream is too long")

// eventSplitter splits a stream of server-sent events into whole events (add), or tracks
// whether a stream relayed as it is ends between two events (observe).
type eventSplitter struct {
	scanner eventScanner
	partial []byte // bytes of an incomplete event
}

// observe tracks bytes that are relayed unsplit.
func (e *eventSplitter) observe(p []byte) { e.scanner.scan(p) }

// atBoundary reports whether the stream is between two events. Without a length, a stream
// that ends with its connection looks complete wherever it is cut off.
func (e *eventSplitter) atBoundary() bool { return e.scanner.atBoundary() }

// add appends bytes of the stream. It returns the events that are now complete, and the id
// of the last one that has an id.
func (e *eventSplitter) add(p []byte) (whole []byte, lastID string, err error) {
	end := e.scanner.scan(p)
	if end < 0 {
		e.partial = append(e.partial, p...)
		if len(e.partial) > maxEventBytes {
			return nil, "", errEventTooLong
		}
		return nil, "", nil
	}
	whole = append(e.partial, p[:end]...)
	e.partial = append([]byte(nil), p[end:]...)
	return whole, lastEventID(whole), nil
}

// eventScanner finds the ends of events: empty lines. A line ends with a line feed, or a carriage return
// and a line feed.
type eventScanner struct {
	line    int  // bytes of the current line
	cr      bool // the last byte is a carriage return
	inEvent bool // a line of the current event was seen, or begins
}

// scan passes over bytes of a stream and returns where the last event that ends among them does; -1 if
// none does.
func (s *eventScanner) scan(p []byte) (end int) {
	end = -1
	for i, b := range p {
		if b != '\n' {
			s.line++
			s.cr = b == '\r'
			s.inEvent = true
			continue
		}
		if s.line == 0 || s.line == 1 && s.cr {
			s.inEvent = false
			end = i + 1
		}
		s.line, s.cr = 0, false
	}
	return end
}

func (s *eventScanner) atBoundary() bool { return !s.inEvent }

// firstEvent returns the length of the first event of whole ones.
func firstEvent(whole []byte) int {
	var s eventScanner
	for i := range whole {
		if s.scan(whole[i:i+1]) > 0 {
			return i + 1
		}
	}
	return len(whole)
}

// idField starts the line with an event's id.
var idField = []byte("id:")

func lastEventID(whole []byte) string {
	at := bytes.LastIndex(whole, append([]byte("\n"), idField...))
	switch {
	case at >= 0:
		at++
	case bytes.HasPrefix(whole, idField):
		at = 0
	default:
		return ""
	}
	line, _, _ := bytes.Cut(whole[at+len(idField):], []byte("\n"))
	return string(bytes.TrimSpace(line))
}

// dropSeen drops the events up to the one with id seen, if ids are numbers. A server may
// resume a stream too early, and the caller would take repeated events for new ones.
func dropSeen(whole []byte, seen string) []byte {
	last, err := strconv.ParseUint(seen, 10, 64)
	if err != nil {
		return whole
	}
	for len(whole) > 0 {
		end := firstEvent(whole)
		id, err := strconv.ParseUint(lastEventID(whole[:end]), 10, 64)
		if err != nil || id > last {
			return whole
		}
		whole = whole[end:]
	}
	return whole
}

// unknownLength is the length of an answer whose end is not known in advance.
const unknownLength = -1

// streamBufferBytes holds several events.
const streamBufferBytes = 4 << 10

// relayStream relays the events of a stream as they arrive. The answer's header goes to the
// caller with the first event: until then another server can take over, or the caller can
// get an error.
//
// A resumable stream is split into whole events. If the server fails within an event, the
// next server starts with a whole one; unsplit, the caller would read half an event joined
// to another one.
func (j *job) relayStream(ctx context.Context, c *choice, answer *backend.Answer) result {
	var splitter eventSplitter
	buf := make([]byte, streamBufferBytes)
	resumed := j.began != nil
	for {
		n, err := answer.Read(buf)
		if n > 0 {
			werr := j.relayChunk(c, answer, &splitter, buf[:n], resumed)
			if errors.Is(werr, errEventTooLong) {
				return j.streamFailed(ctx, c, werr)
			}
			if werr != nil {
				j.service.end(c, endedByCaller, j.gateway.now())
				return result{refusal: &Refusal{Reason: CallerGone, Detail: werr.Error()}}
			}
		}
		switch {
		case errors.Is(err, io.EOF) && splitter.atBoundary():
			return j.streamEnded(c, answer)
		case errors.Is(err, io.EOF):
			return j.streamFailed(ctx, c, errors.New("ended in the middle of an event"))
		case err != nil:
			return j.streamFailed(ctx, c, err)
		}
	}
}

// relayChunk relays a chunk of a stream.
func (j *job) relayChunk(c *choice, answer *backend.Answer, splitter *eventSplitter, p []byte, resumed bool) error {
	if j.route.Resumable {
		whole, lastID, err := splitter.add(p)
		if err != nil {
			return err
		}
		if resumed {
			whole = dropSeen(whole, j.lastEventID)
		}
		if len(whole) == 0 {
			return nil
		}
		if lastID != "" {
			j.lastEventID = lastID
		}
		p = whole
	} else {
		splitter.observe(p)
	}
	if j.began == nil {
		j.recordOrigin(c)
	}
	if !j.answerStarted {
		j.beginAnswer(answer.Status, j.gateway.deps.Dialect.AnswerHeader(answer.Header), unknownLength)
	}
	j.gateway.outcomes.misplacedFirstByte(j.service.name, c, j.gateway.now())
	j.service.recordFirstByte(c, j.gateway.now())
	j.countUsage()
	if _, err := j.out.Write(p); err != nil {
		return err
	}
	return j.out.Flush()
}

// streamEnded ends a complete stream, which may have no event.
func (j *job) streamEnded(c *choice, answer *backend.Answer) result {
	if !j.answerStarted {
		j.beginAnswer(answer.Status, j.gateway.deps.Dialect.AnswerHeader(answer.Header), 0)
	}
	return j.finished(c, endedOK, nil)
}

// streamFailed returns the result of a stream that was cut off.
func (j *job) streamFailed(ctx context.Context, c *choice, err error) result {
	if ctx.Err() != nil {
		c.send.recordCutOff(ctx, j.gateway.now())
		j.service.end(c, endedByCaller, j.gateway.now())
		return result{refusal: j.contextRefusal(ctx)}
	}
	j.service.end(c, endedFailed, j.gateway.now())
	retryable := j.route.Resumable && (!j.answerStarted || j.lastEventID != "")
	if retryable && j.answerStarted {
		event.Log(ctx, j.gateway.log, slog.LevelInfo, event.StreamResumed, slog.String("request", j.ID),
			slog.String("server", c.verdict.Server), slog.String("version", c.verdict.Version), slog.String("after", j.lastEventID), slog.String("error", err.Error()))
	}
	return result{retryable: retryable, reachedServer: true, brokeOff: true, server: c.verdict.Server, refusal: j.failureRefusal(err.Error())}
}
