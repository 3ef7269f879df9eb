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

// eventSplitter splits a stream of server-sent events into whole events (add), or tracks
// whether a stream relayed as it is ends between two events (observe).
type eventSplitter struct {
	partial []byte // bytes of an incomplete event
	tail    []byte // last bytes passed to observe
}

// observe tracks bytes that are relayed unsplit.
func (e *eventSplitter) observe(p []byte) {
	e.tail = append(e.tail, p...)
	if extra := len(e.tail) - len(eventEnd); extra > 0 {
		e.tail = append(e.tail[:0], e.tail[extra:]...)
	}
}

// atBoundary reports whether the stream is between two events. Without a length, a stream
// that ends with its connection looks complete wherever it is cut off.
func (e *eventSplitter) atBoundary() bool {
	return len(e.partial) == 0 && (len(e.tail) == 0 || bytes.Equal(e.tail, eventEnd))
}

// eventEnd, an empty line, ends an event.
var eventEnd = []byte("\n\n")

// add appends bytes of the stream. It returns the events that are now complete, and the id
// of the last one that has an id.
func (e *eventSplitter) add(p []byte) (whole []byte, lastID string) {
	e.partial = append(e.partial, p...)
	end := bytes.LastIndex(e.partial, eventEnd)
	if end < 0 {
		return nil, ""
	}
	end += len(eventEnd)
	whole = e.partial[:end:end]
	e.partial = append([]byte(nil), e.partial[end:]...)
	return whole, lastEventID(whole)
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
		end := bytes.Index(whole, eventEnd) + len(eventEnd)
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
	resumed := j.answerStarted
	for {
		n, err := answer.Read(buf)
		if n > 0 {
			if werr := j.relayChunk(c, answer, &splitter, buf[:n], resumed); werr != nil {
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
		whole, lastID := splitter.add(p)
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
	if !j.answerStarted {
		j.beginAnswer(answer.Status, j.gateway.deps.Dialect.AnswerHeader(answer.Header), unknownLength)
	}
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
		j.service.end(c, endedByCaller, j.gateway.now())
		return result{refusal: j.contextRefusal(ctx)}
	}
	j.service.end(c, endedFailed, j.gateway.now())
	retryable := j.route.Resumable && (!j.answerStarted || j.lastEventID != "")
	if retryable && j.answerStarted {
		event.Log(ctx, j.gateway.log, slog.LevelInfo, event.StreamResumed, slog.String("request", j.ID),
			slog.String("server", c.verdict.Server), slog.String("after", j.lastEventID), slog.String("error", err.Error()))
	}
	return result{retryable: retryable, reachedServer: true, brokeOff: true, server: c.verdict.Server, refusal: j.failureRefusal(err.Error())}
}
