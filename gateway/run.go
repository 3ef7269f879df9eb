package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"savoryreel.example/savoryreel/backend"
	"savoryreel.example/savoryreel/routes"
)

// runAt runs the request once at the chosen server and hands the answer on.
func (j *job) runAt(ctx context.Context, c *choice) result {
	g := j.gateway
	server := c.verdict.Server
	j.lastSent = server
	run := Attempt{
		Server: server, Workspace: j.workspaceName(), Remaining: j.deadline.Sub(g.now()), Rank: c.rank, ResumeAfter: j.lastID,
	}
	sentAt := g.now()
	answer, err := g.pool.Do(ctx, c.verdict.Address, &backend.Call{
		Method: j.Method, Target: j.Target, Host: j.Host, Header: g.deps.Dialect.RequestHeader(j.Request, run), Body: j.Body,
		Belongs: func(h http.Header) bool { return g.deps.Dialect.Matches(j.Request, h) },
	})
	if err != nil {
		return j.sendFailed(ctx, c, sentAt, err)
	}
	defer answer.Close()
	j.noteSent(sentAt)
	return j.answered(ctx, c, answer)
}

// noteSent counts that a server has got the request.
func (j *job) noteSent(at time.Time) {
	if j.workspace != nil {
		j.gateway.uses.noteSent(j.workspace.Name, j.cost, j.sends > 0, at.Sub(j.letIn))
	}
	j.sends++
}

// sendFailed says what an exchange that ended without an answer means.
func (j *job) sendFailed(ctx context.Context, c *choice, sentAt time.Time, err error) result {
	var e *backend.Error
	sent := errors.As(err, &e) && e.Sent
	if sent {
		j.noteSent(sentAt)
		j.runs++
	}
	if ctx.Err() != nil {
		how := endedByCaller
		if sent && errors.Is(ctx.Err(), context.DeadlineExceeded) {
			how = endedBadly
		}
		j.service.end(c, how, j.gateway.now())
		return result{refusal: j.outOfTime(ctx)}
	}
	how := endedBadly
	if !sent {
		how = endedGone
	}
	j.service.end(c, how, j.gateway.now())
	r := result{again: true, notRun: !sent, arrived: sent, after: c.verdict.Server}
	r.refusal = j.failure(err.Error())
	return r
}

// failure is how the request ends if nothing more is tried.
func (j *job) failure(detail string) *Refusal {
	switch {
	case j.begun:
		return &Refusal{Reason: Truncated, Detail: detail}
	case j.runs > 0:
		return &Refusal{Reason: ServerFailed, Detail: detail}
	default:
		return &Refusal{Reason: NoServer, RetryAfter: serverRetry, Detail: detail}
	}
}

// answered judges an answer's head and hands the answer on if it is of use.
func (j *job) answered(ctx context.Context, c *choice, answer *backend.Answer) result {
	g := j.gateway
	switch g.deps.Dialect.Classify(answer.Status, answer.Header) {
	case NotRun:
		return j.notRun(c, answer, Overloaded, endedByCaller)
	case WrongServer:
		return j.notRun(c, answer, NoServer, endedGone)
	case Unusable:
		j.runs++
		return j.unusable(c, "unusable answer")
	case Failed:
		j.runs++
		return j.serverFailed(ctx, c, answer)
	default:
		j.runs++
		return j.relay(ctx, c, answer)
	}
}

// relay hands an answer on. Only a success on a stream's route is a stream: an error
// has no events, and behind those of a stream that is being resumed it would be read
// as one.
func (j *job) relay(ctx context.Context, c *choice, answer *backend.Answer) result {
	success := answer.Status/100 == http.StatusOK/100
	switch {
	case j.route.Kind == routes.Stream && success:
		return j.relayStream(ctx, c, answer)
	case j.begun:
		return j.unusable(c, "a stream cannot go on with an answer of another kind")
	default:
		return j.relayWhole(ctx, c, answer, endedWell)
	}
}

// unusable handles an answer that can't be passed on.
func (j *job) unusable(c *choice, detail string) result {
	j.service.end(c, endedBadly, j.gateway.now())
	return result{again: true, arrived: true, after: c.verdict.Server, refusal: j.failure(detail)}
}

// notRun handles a server's word that it did not run the request.
func (j *job) notRun(c *choice, answer *backend.Answer, reason Reason, how ending) result {
	_, _ = io.Copy(io.Discard, answer) // to keep the connection; a failure only closes it
	j.service.end(c, how, j.gateway.now())
	r := result{again: true, notRun: true, arrived: true, after: c.verdict.Server}
	r.refusal = j.failure("server did not run it")
	if !j.begun && j.runs == 0 {
		r.refusal = &Refusal{Reason: reason, RetryAfter: fullRetry, Detail: "server did not run it"}
	}
	return r
}

// serverFailed handles a server's own failure. It is passed on unless another
// server may try: an error that one server gave in a moment is not the caller's
// last word while there is time.
func (j *job) serverFailed(ctx context.Context, c *choice, answer *backend.Answer) result {
	r := result{again: true, arrived: true, after: c.verdict.Server, refusal: j.failure("server failed")}
	if j.begun {
		return j.unusable(c, "server failed")
	}
	if !j.mayRepeat(ctx, &r) {
		return j.relayWhole(ctx, c, answer, endedBadly)
	}
	_, _ = io.Copy(io.Discard, answer) // to keep the connection; a failure only closes it
	j.service.end(c, endedBadly, j.gateway.now())
	r.arrived, r.notRun, r.after = false, true, "" // the repeat has been paid for
	return r
}

// wholeBytes is how much of an answer is collected before its head goes to the
// caller. An answer that breaks off before that can still be asked for again, or
// end as an error instead of half an answer.
const wholeBytes = 512 << 10

// relayWhole hands on an answer that is not a stream of events. how is what it says
// of the server: a failing one is always free and quick, so an error that counted
// as an answer would draw most requests to it.
func (j *job) relayWhole(ctx context.Context, c *choice, answer *backend.Answer, how ending) result {
	g := j.gateway
	if how == endedWell {
		j.service.firstByte(c, g.now())
	}
	j.countBegun()
	body, err := io.ReadAll(io.LimitReader(answer, wholeBytes))
	if err != nil {
		return j.bodyFailed(ctx, c, err)
	}
	header := g.deps.Dialect.AnswerHeader(answer.Header)
	if len(body) < wholeBytes {
		length := int64(len(body))
		if j.Method == http.MethodHead {
			length = answer.Length // of the body that GET would bring
		}
		j.begin(answer.Status, header, length)
		_, err = j.out.Write(body)
		return j.finished(c, how, err)
	}
	j.begin(answer.Status, header, answer.Length)
	if _, err := j.out.Write(body); err != nil {
		return j.finished(c, how, err)
	}
	buf := make([]byte, 32<<10)
	for {
		n, err := answer.Read(buf)
		if n > 0 {
			if _, werr := j.out.Write(buf[:n]); werr != nil {
				return j.finished(c, how, werr)
			}
		}
		if errors.Is(err, io.EOF) {
			return j.finished(c, how, nil)
		}
		if err != nil {
			return j.bodyFailed(ctx, c, err)
		}
	}
}

// bodyFailed handles an answer that broke off.
func (j *job) bodyFailed(ctx context.Context, c *choice, err error) result {
	if ctx.Err() != nil {
		j.service.end(c, endedByCaller, j.gateway.now())
		return result{refusal: j.outOfTime(ctx)}
	}
	j.service.end(c, endedBadly, j.gateway.now())
	return result{again: !j.begun, arrived: true, after: c.verdict.Server, refusal: j.failure(err.Error())}
}

// finished ends a run whose answer was whole; err is that of writing it to the
// caller.
func (j *job) finished(c *choice, how ending, err error) result {
	j.service.end(c, how, j.gateway.now())
	if err != nil {
		return result{refusal: &Refusal{Reason: CallerGone, Detail: err.Error()}}
	}
	return result{}
}

func (j *job) begin(status int, header http.Header, length int64) {
	j.begun, j.status, j.firstByte = true, status, j.age(j.gateway.now())
	j.out.Begin(status, header, length)
	j.gateway.outcomes.firstByte(j, j.gateway.now())
}

// countBegun counts the request in its workspace's usage, once.
func (j *job) countBegun() {
	if !j.counted {
		j.counted = true
		j.gateway.usage.began(j.workspaceName())
	}
}

func (j *job) age(now time.Time) time.Duration { return now.Sub(j.began) }
