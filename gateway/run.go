package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"savoryreel.example/savoryreel/backend"
	"savoryreel.example/savoryreel/intake"
	"savoryreel.example/savoryreel/reach"
	"savoryreel.example/savoryreel/routes"
)

// runAt sends the request once to the chosen server and relays the answer.
func (j *job) runAt(ctx context.Context, c *choice) result {
	g := j.gateway
	j.lastServer = c.verdict.Server
	sentAt := g.now()
	answer, err := g.pool.Do(ctx, c.verdict.Address, &backend.Call{
		Method: j.Method, Target: j.Target, Host: j.Host, Header: func() http.Header { return j.attemptHeader(c) }, Body: j.Body, Repeatable: j.route.Repeatable(),
		Matches: func(h http.Header) bool { return g.deps.Dialect.Matches(j.Request, h) },
		MaySend: func() bool { return j.maySend(c) },
	})
	if errors.Is(err, backend.ErrWithdrawn) {
		return j.withdrawn(c)
	}
	if err != nil {
		return j.sendFailed(ctx, c, sentAt, err)
	}
	defer answer.Close()
	j.recordSend(sentAt)
	j.recordNotice(ctx, c, answer, sentAt)
	return j.handleAnswer(ctx, c, answer)
}

// maySend reports whether the request may be sent to the chosen server now, and takes what that needs.
// It is called once a connection is open.
func (j *job) maySend(c *choice) bool {
	g := j.gateway
	if !g.freshness.knowsLeaves() || !j.service.maySend(c, g.now()) || !c.send.maySend() || !g.serverLimits.Spend(limitedServer(c)) || !j.maySendSuspect() || !j.takeRepeat() {
		return false
	}
	c.sentAt = g.now()
	j.service.recordSent(c, j.ID, c.sentAt)
	g.outcomes.recordMisplaced(j.service.name, c)
	c.send.sent()
	return true
}

// attemptHeader returns the header of an attempt that is sent now.
func (j *job) attemptHeader(c *choice) http.Header {
	return j.gateway.deps.Dialect.RequestHeader(j.Request, Attempt{
		Server: c.verdict.Server, Workspace: j.workspaceName(), Remaining: j.deadline.Sub(j.gateway.now()), Rank: c.rank, ResumeAfter: j.lastEventID,
	})
}

// takeRepeat takes a send beyond the request's first one from the retry budgets. It is called
// once a connection is open: every way to send a request again passes through here.
func (j *job) takeRepeat() bool {
	if j.sends == 0 {
		return true
	}
	v := j.gateway.repeats.take(j.call())
	if !v.Go {
		j.repeatRefused = v.Reason.String()
	}
	return v.Go
}

// recordSend counts a send of the request to a server.
func (j *job) recordSend(at time.Time) {
	if j.workspace != nil {
		j.gateway.limitUsage.recordSend(j.workspace.Name, j.cost, j.sends > 0, at.Sub(j.admittedAt))
	}
	if j.sends > 0 {
		j.gateway.repeatUse.recordRepeat(j.service.name)
	}
	j.sends++
}

// sendFailed returns the result of an exchange that ended without an answer.
func (j *job) sendFailed(ctx context.Context, c *choice, sentAt time.Time, err error) result {
	var e *backend.Error
	sent := errors.As(err, &e) && e.Sent
	if sent {
		j.recordSend(sentAt)
		j.runs++
	}
	ownPath := e != nil && j.gateway.ownPathLost(e)
	if ctx.Err() != nil {
		how := endedByCaller
		if sent && !ownPath && errors.Is(ctx.Err(), context.DeadlineExceeded) {
			how = endedFailed
		}
		j.service.end(c, how, j.gateway.now())
		return result{refusal: j.contextRefusal(ctx)}
	}
	j.service.end(c, endingOfFailure(sent, ownPath, err), j.gateway.now())
	r := result{retryable: true, notRun: !sent, reachedServer: sent, brokeOff: sent && !ownPath, server: c.verdict.Server}
	if ownPath {
		r.server = "" // it may be reached through another entry
	}
	r.refusal = j.failureRefusal(err.Error())
	return r
}

// endingOfFailure returns what an exchange that failed says about its server.
func endingOfFailure(sent, ownPath bool, err error) ending {
	switch {
	case ownPath:
		return endedByCaller
	case sent:
		return endedFailed
	case reach.Gone(err):
		return endedServerGone
	default:
		return endedByCaller
	}
}

// failureRefusal returns the refusal if no further attempt follows.
func (j *job) failureRefusal(detail string) *Refusal {
	switch {
	case j.answerStarted:
		return &Refusal{Reason: Truncated, Detail: detail}
	case j.runs > 0:
		return &Refusal{Reason: ServerFailed, Detail: detail}
	default:
		return &Refusal{Reason: NoServer, RetryAfter: serverRetryAfter, Detail: detail}
	}
}

// handleAnswer classifies an answer by its header and relays it if it is usable.
func (j *job) handleAnswer(ctx context.Context, c *choice, answer *backend.Answer) result {
	g := j.gateway
	j.endsWithConnection = answer.EndsWithConnection
	switch g.deps.Dialect.Classify(answer.Status, answer.Header) {
	case NotRun:
		return j.notRun(c, answer, Overloaded, endedByCaller)
	case WrongServer:
		return j.notRun(c, answer, NoServer, endedServerGone)
	case Unusable:
		j.runs++
		return j.unusable(c, "unusable answer")
	case Failed:
		j.runs++
		j.countUsage() // it ran, also if no other server answers it
		return j.serverFailed(ctx, c, answer)
	default:
		j.runs++
		return j.relay(ctx, c, answer)
	}
}

// relay relays an answer. On a route of streams only a successful answer is a stream: an
// error has no events, and after the events of a resumed stream it would be read as part of
// one.
func (j *job) relay(ctx context.Context, c *choice, answer *backend.Answer) result {
	success := answer.Status/100 == http.StatusOK/100
	switch {
	case j.route.Kind == routes.Stream && success:
		return j.relayStream(ctx, c, answer)
	case j.answerStarted:
		return j.unusable(c, "resumed stream got an answer that is not a stream")
	default:
		return j.relayWhole(ctx, c, answer, endedOK)
	}
}

// unusable returns the result of an answer that can't be relayed.
func (j *job) unusable(c *choice, detail string) result {
	j.service.end(c, endedFailed, j.gateway.now())
	return result{retryable: true, reachedServer: true, server: c.verdict.Server, refusal: j.failureRefusal(detail)}
}

// notRun handles a report of the server that it did not run the request.
func (j *job) notRun(c *choice, answer *backend.Answer, reason Reason, how ending) result {
	answer.Discard()
	j.service.end(c, how, j.gateway.now())
	r := result{retryable: true, notRun: true, reachedServer: true, server: c.verdict.Server}
	r.refusal = j.failureRefusal("server did not run the request")
	if !j.answerStarted && j.runs == 0 {
		r.refusal = &Refusal{Reason: reason, RetryAfter: fullServerRetryAfter, Detail: "server did not run the request"}
	}
	return r
}

// serverFailed handles a server's own error. It is relayed only if no other server may try.
func (j *job) serverFailed(ctx context.Context, c *choice, answer *backend.Answer) result {
	r := result{retryable: true, reachedServer: true, server: c.verdict.Server, refusal: j.failureRefusal("server failed")}
	if j.answerStarted {
		return j.unusable(c, "server failed")
	}
	if !j.mayRetry(ctx, &r) {
		return j.relayWhole(ctx, c, answer, endedFailed)
	}
	answer.Discard()
	j.service.end(c, endedFailed, j.gateway.now())
	r.reachedServer, r.notRun, r.server = false, true, "" // mayRetry has asked already
	return r
}

// maxBufferedAnswerBytes is how much of an answer is read before its header goes to the
// caller. If the answer is truncated before that, the request can still be retried or end
// with an error.
const maxBufferedAnswerBytes = 512 << 10

// bufferedAnswerBytes returns how much of an answer of a length, -1 if unknown, is read before its header goes to the
// caller: less than maxBufferedAnswerBytes while clients take all the room that this process has for them.
func bufferedAnswerBytes(ctx context.Context, length int64) int64 {
	const copies = 2 // a buffer that grows is copied
	expected := int64(maxBufferedAnswerBytes)
	if length >= 0 {
		expected = min(expected, length)
	}
	if expected <= intake.SmallBody || intake.TryClaim(ctx, copies*expected) {
		return maxBufferedAnswerBytes
	}
	return intake.SmallBody
}

// relayWhole relays an answer that is not a stream of events. how is its effect on the
// server's health: a failing server is always idle and fast, so if its errors counted as
// successes it would draw most requests.
func (j *job) relayWhole(ctx context.Context, c *choice, answer *backend.Answer, how ending) result {
	g := j.gateway
	if how == endedOK {
		g.outcomes.misplacedFirstByte(j.service.name, c, g.now())
		j.service.recordFirstByte(c, g.now())
	}
	j.countUsage()
	buffered := bufferedAnswerBytes(ctx, answer.Length)
	body, err := io.ReadAll(io.LimitReader(answer, buffered))
	if err != nil {
		return j.bodyFailed(ctx, c, err)
	}
	header := g.deps.Dialect.AnswerHeader(answer.Header)
	if int64(len(body)) < buffered {
		length := int64(len(body))
		if j.Method == http.MethodHead {
			length = answer.Length // of the body that GET would return
		}
		j.beginAnswer(answer.Status, header, length)
		_, err = j.out.Write(body)
		return j.finished(c, how, err)
	}
	j.beginAnswer(answer.Status, header, answer.Length)
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

// bodyFailed returns the result of an answer that was truncated.
func (j *job) bodyFailed(ctx context.Context, c *choice, err error) result {
	if ctx.Err() != nil {
		c.send.recordCutOff(ctx, j.gateway.now())
		j.service.end(c, endedByCaller, j.gateway.now())
		return result{refusal: j.contextRefusal(ctx)}
	}
	j.service.end(c, endedFailed, j.gateway.now())
	return result{retryable: !j.answerStarted, reachedServer: true, brokeOff: true, server: c.verdict.Server, refusal: j.failureRefusal(err.Error())}
}

// finished ends an attempt with a complete answer; err is that of writing it to the caller.
func (j *job) finished(c *choice, how ending, err error) result {
	j.service.end(c, how, j.gateway.now())
	if how == endedOK {
		j.recordEnd(c)
	}
	if err != nil {
		return result{refusal: &Refusal{Reason: CallerGone, Detail: err.Error()}}
	}
	return result{}
}

// beginAnswer sends the answer's header to the caller.
func (j *job) beginAnswer(status int, header http.Header, length int64) {
	j.answerStarted, j.status, j.firstByte = true, status, j.age(j.gateway.now())
	j.out.Begin(status, header, length)
	j.gateway.outcomes.firstByte(j, j.gateway.now())
}

// countUsage counts the request once in its workspace's usage.
func (j *job) countUsage() {
	if !j.usageCounted {
		j.usageCounted = true
		j.gateway.usage.recordStart(j.workspaceName())
	}
}

func (j *job) age(now time.Time) time.Duration { return now.Sub(j.startedAt) }
