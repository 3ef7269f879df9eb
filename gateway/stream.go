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

// events cuts a stream of server-sent events into whole events.
type events struct {
	rest []byte // of an event that has not ended
	tail []byte // the newest bytes of a stream that is passed on uncut
}

// pass notes bytes that are passed on uncut.
func (e *events) pass(p []byte) {
	e.tail = append(e.tail, p...)
	if extra := len(e.tail) - len(eventEnd); extra > 0 {
		e.tail = append(e.tail[:0], e.tail[extra:]...)
	}
}

// ended reports whether the stream stands between two events. One that ends with
// its connection and without a length looks whole wherever it is cut off.
func (e *events) ended() bool {
	return len(e.rest) == 0 && (len(e.tail) == 0 || bytes.Equal(e.tail, eventEnd))
}

// eventEnd ends an event: an empty line.
var eventEnd = []byte("\n\n")

// take adds bytes of the stream and returns those that make up whole events, with
// the id of the last one that has an id.
func (e *events) take(p []byte) (whole []byte, lastID string) {
	e.rest = append(e.rest, p...)
	end := bytes.LastIndex(e.rest, eventEnd)
	if end < 0 {
		return nil, ""
	}
	end += len(eventEnd)
	whole = e.rest[:end:end]
	e.rest = append([]byte(nil), e.rest[end:]...)
	return whole, lastEventID(whole)
}

// idField begins the line of an event that holds its id.
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

// withoutSeen drops the events up to the one with id seen, where ids are numbers.
// A server that goes on with a stream may begin too early, and a caller that gets
// an event twice takes it for a new one.
func withoutSeen(whole []byte, seen string) []byte {
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

// unknownLength is the length of an answer that ends when its server says so.
const unknownLength = -1

// streamBuffer is how much of a stream is read at a time: several events.
const streamBuffer = 4 << 10

// relayStream hands a stream's events on as they come. The answer's head goes to
// the caller with the first event: until then another server can still take
// over, or the caller can be told that nothing came of it.
//
// A stream that may be resumed is cut into whole events. The server may break off
// in the middle of one, and what a second server sends then begins with a whole
// one: without the cut the caller would read half an event and another one joined
// to it.
func (j *job) relayStream(ctx context.Context, c *choice, answer *backend.Answer) result {
	var cut events
	buf := make([]byte, streamBuffer)
	resumed := j.begun
	for {
		n, err := answer.Read(buf)
		if n > 0 {
			if werr := j.passOn(c, answer, &cut, buf[:n], resumed); werr != nil {
				j.service.end(c, endedByCaller, j.gateway.now())
				return result{refusal: &Refusal{Reason: CallerGone, Detail: werr.Error()}}
			}
		}
		switch {
		case errors.Is(err, io.EOF) && cut.ended():
			return j.streamEnded(c, answer)
		case errors.Is(err, io.EOF):
			return j.streamBroke(ctx, c, errors.New("ended in the middle of an event"))
		case err != nil:
			return j.streamBroke(ctx, c, err)
		}
	}
}

// passOn writes what has come of a stream.
func (j *job) passOn(c *choice, answer *backend.Answer, cut *events, p []byte, resumed bool) error {
	if j.route.Resumable {
		whole, lastID := cut.take(p)
		if resumed {
			whole = withoutSeen(whole, j.lastID)
		}
		if len(whole) == 0 {
			return nil
		}
		if lastID != "" {
			j.lastID = lastID
		}
		p = whole
	} else {
		cut.pass(p)
	}
	if !j.begun {
		j.begin(answer.Status, j.gateway.deps.Dialect.AnswerHeader(answer.Header), unknownLength)
	}
	j.service.firstByte(c, j.gateway.now())
	j.countBegun()
	if _, err := j.out.Write(p); err != nil {
		return err
	}
	return j.out.Flush()
}

// streamEnded ends a stream that came whole, also one without an event.
func (j *job) streamEnded(c *choice, answer *backend.Answer) result {
	if !j.begun {
		j.begin(answer.Status, j.gateway.deps.Dialect.AnswerHeader(answer.Header), 0)
	}
	return j.finished(c, endedWell, nil)
}

// streamBroke decides what becomes of a stream that broke off.
func (j *job) streamBroke(ctx context.Context, c *choice, err error) result {
	if ctx.Err() != nil {
		j.service.end(c, endedByCaller, j.gateway.now())
		return result{refusal: j.outOfTime(ctx)}
	}
	j.service.end(c, endedBadly, j.gateway.now())
	again := j.route.Resumable && (!j.begun || j.lastID != "")
	if again && j.begun {
		event.Log(ctx, j.gateway.log, slog.LevelInfo, event.StreamResumed, slog.String("request", j.ID),
			slog.String("server", c.verdict.Server), slog.String("after", j.lastID), slog.String("error", err.Error()))
	}
	return result{again: again, arrived: true, after: c.verdict.Server, refusal: j.failure(err.Error())}
}
