package entry

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"time"

	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/ledger"
	"savoryreel.example/savoryreel/request"
)

// ledgerClient sends commands to the ledger. api.Client implements it.
type ledgerClient interface {
	Ledger(ctx context.Context, cmd ledger.Command) (ledger.Result, error)
}

// Timeouts and delays of the ledger's use.
const (
	// recordTimeout bounds the wait for a request's record to be committed. It exceeds the
	// duration of an election at the default settings.
	recordTimeout = 3 * time.Second
	// ledgerUpdateTimeout bounds one attempt to record in the ledger how a request ended.
	// Each failed attempt is logged.
	ledgerUpdateTimeout = 30 * time.Second
	// The interval at which a resend checks whether the first arrival has ended doubles
	// between these bounds. It starts low, since most calls are short.
	minAttachInterval = 50 * time.Millisecond
	maxAttachInterval = time.Second
	// ledgerRetryDelay is sent as Retry-After if a request could not be recorded. It exceeds
	// the duration of an election.
	ledgerRetryDelay = 2 * time.Second
)

// recordAndRun runs a call that may run at most once.
//
// A majority of control replicas commits its key before the first byte is sent to a backend
// server. A caller whose connection breaks resends the call, often to another entry. Without
// the record, that entry would run the call a second time.
//
// The key is recorded before the call queues for a server, so that no slot is held idle
// while control elects a leader, and a resend takes none.
func (c *plainCall) recordAndRun() *request.Problem {
	c.entry.onceCalls.add(string(c.request.ID))
	defer c.entry.onceCalls.remove(string(c.request.ID))
	result, err := c.recordKey()
	if err != nil {
		c.updateLedger(ledger.OpRelease, nil) // the key may have been committed despite the error
		return request.NewProblem(request.CodeLedger, request.NotRun, "%v", err).After(ledgerRetryDelay)
	}
	if result.Verdict != ledger.VerdictStarted {
		return c.answerRecorded(result)
	}
	return c.queueAndRun()
}

// queueAndRun queues and runs a call whose key this entry has recorded.
func (c *plainCall) queueAndRun() *request.Problem {
	g, p := c.acquire()
	if p != nil {
		c.updateLedger(ledger.OpRelease, nil)
		return p
	}
	return c.sendOnce(g)
}

// recordKey records the request's key in the ledger. It is called before any byte is sent to
// a backend server.
func (c *plainCall) recordKey() (ledger.Result, error) {
	ctx, cancel := context.WithTimeout(c.ctx, recordTimeout)
	defer cancel()
	started := c.entry.deps.Now()
	result, err := c.entry.ledger.Ledger(ctx, c.command(ledger.OpBegin, nil))
	c.entry.metrics.ledgerCommit.UpdateDuration(started)
	if err != nil {
		event.Log(c.ctx, c.entry.deps.Log, slog.LevelWarn, event.LedgerFailed,
			slog.String("request", string(c.request.ID)), slog.String("error", err.Error()))
		return result, err
	}
	event.Log(c.ctx, c.entry.deps.Log, slog.LevelInfo, event.LedgerAnswered,
		slog.String("request", string(c.request.ID)), slog.String("verdict", result.Verdict.String()))
	return result, nil
}

func (c *plainCall) command(op ledger.Op, a *ledger.Answer) ledger.Command {
	return ledger.Command{
		Op: op, Key: c.key(), Fingerprint: c.request.Fingerprint(),
		RequestID: string(c.request.ID), Owner: c.entry.ledgerOwner(), Answer: a,
	}
}

func (c *plainCall) key() ledger.Key {
	return ledger.Key{Workspace: c.request.Workspace, Value: c.request.Key}
}

func (e *Entry) ledgerOwner() ledger.Owner {
	return ledger.Owner{Entry: e.cfg.ID, Incarnation: e.incarnation}
}

// sendOnce sends the call to the granted server. Another attempt follows only if the last one
// surely did not run: no byte of it was written, or the server refused it before running it.
// Otherwise the outcome is unknown.
func (c *plainCall) sendOnce(g *grant) *request.Problem {
	for attempts := 1; ; {
		resp, sent, err := c.send(g, c.entry.plainClient.DoOnce)
		if err == nil {
			return c.relayOnce(g, resp)
		}
		if sent {
			c.updateLedger(ledger.OpGiveUp, nil)
			return request.NewProblem(request.CodeOutcomeUnknown, request.Unknown, "the backend server broke off: %v", err)
		}
		next, p := c.nextGrant(g, attempts, err, request.NotRun)
		if p != nil {
			c.updateLedger(ledger.OpRelease, nil)
			return p
		}
		g = next
		attempts += countedAttempts(err)
	}
}

// relayOnce buffers an answer of up to maxBufferedAnswerBytes until it is complete, sends it
// and stores it in the ledger for resends. A larger answer is streamed, and the ledger stores
// only that the call was answered.
func (c *plainCall) relayOnce(g *grant, resp *http.Response) *request.Problem {
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedAnswerBytes+1))
	answer := &ledger.Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}
	if err == nil && len(body) <= maxBufferedAnswerBytes {
		c.closeGrant(g, nil)
		c.updateLedger(ledger.OpFinish, answer)
		c.writeHeader(resp)
		_, _ = c.writer.Write(body) // an error means that the caller has disconnected; a resend gets the stored answer
		c.entry.logEnd(c.request, request.Answered, "", 0)
		return nil
	}
	if err == nil {
		c.writeHeader(resp)
		_, err = io.Copy(flushWriter{c.writer}, io.MultiReader(bytes.NewReader(body), resp.Body))
	} else {
		c.closeGrant(g, err)
		c.updateLedger(ledger.OpGiveUp, nil)
		return request.NewProblem(request.CodeOutcomeUnknown, request.Unknown, "the answer broke off: %v", err)
	}
	c.closeGrant(g, err)
	if err != nil {
		c.updateLedger(ledger.OpGiveUp, nil)
		c.entry.logEnd(c.request, request.Unknown, request.CodeOutcomeUnknown, 0)
		panic(http.ErrAbortHandler) // the caller must not take a truncated answer for a complete one
	}
	c.updateLedger(ledger.OpFinish, &ledger.Answer{Status: answer.Status, ContentType: answer.ContentType, Omitted: true})
	c.entry.logEnd(c.request, request.Answered, "", 0)
	return nil
}

// updateLedger records in the ledger how the request ended. It retries in the background
// until the command is committed or the entry ends. Without the update, the record would
// stay in the running state, and every resend would wait.
func (c *plainCall) updateLedger(op ledger.Op, a *ledger.Answer) {
	cmd := c.command(op, a)
	e := c.entry
	e.onceCalls.add(cmd.RequestID)
	e.ledgerUpdates.Go(func() {
		defer e.onceCalls.remove(cmd.RequestID)
		for e.ctx.Err() == nil {
			ctx, cancel := context.WithTimeout(e.ctx, ledgerUpdateTimeout)
			_, err := e.ledger.Ledger(ctx, cmd)
			cancel()
			if err == nil {
				return
			}
			event.Log(e.ctx, e.deps.Log, slog.LevelError, event.LedgerFailed,
				slog.String("request", cmd.RequestID), slog.String("error", err.Error()))
		}
	})
}

// answerRecorded answers a call whose key the ledger has already recorded.
func (c *plainCall) answerRecorded(r ledger.Result) *request.Problem {
	switch r.Verdict {
	case ledger.VerdictAnswered:
		return c.sendStoredAnswer(r.Record)
	case ledger.VerdictRunning:
		return c.waitForFirstArrival(r.Record)
	case ledger.VerdictMismatch:
		return request.NewProblem(request.CodeKeyReused, request.NotRun, "the key was used for another request before")
	case ledger.VerdictFull:
		return request.NewProblem(request.CodeLedger, request.NotRun, "the ledger is full").After(time.Minute)
	default:
		return request.NewProblem(request.CodeOutcomeUnknown, request.Unknown, "an earlier arrival of this request may have run")
	}
}

// sendStoredAnswer answers a resend with the stored answer of the first arrival.
func (c *plainCall) sendStoredAnswer(r *ledger.Record) *request.Problem {
	a := r.Answer
	if a == nil || a.Omitted {
		return request.NewProblem(request.CodeAnswerNotKept, request.Answered, "request %s was answered", r.RequestID)
	}
	h := c.writer.Header()
	h.Set("Content-Type", a.ContentType)
	h.Set(request.HeaderRequestID, r.RequestID)
	h.Set(request.HeaderOutcome, string(request.Answered))
	c.writer.WriteHeader(a.Status)
	_, _ = c.writer.Write(a.Body) // an error means that the caller has disconnected; it may resend
	c.entry.logEnd(c.request, request.Answered, "", 0)
	return nil
}

// waitForFirstArrival waits, at most until the call's deadline, for the first arrival to end,
// and answers by its outcome. If the entry that ran it has ended, it records the outcome as
// unknown.
func (c *plainCall) waitForFirstArrival(r *ledger.Record) *request.Problem {
	for interval := minAttachInterval; ; interval = min(2*interval, maxAttachInterval) {
		if c.entry.ownerEnded(r.Owner) {
			return c.recordUnknown(r)
		}
		c.entry.checkOwner(c.ctx, r)
		select {
		case <-c.ctx.Done():
			return request.NewProblem(request.CodeConcurrentRequest, request.Unknown, "the first arrival of this request still runs").After(time.Second)
		case <-time.After(interval):
		}
		result, err := c.recordKey()
		if err != nil {
			return request.NewProblem(request.CodeLedger, request.Unknown, "%v", err).After(ledgerRetryDelay)
		}
		switch result.Verdict {
		case ledger.VerdictRunning:
			r = result.Record
		case ledger.VerdictStarted:
			return c.queueAndRun() // the first arrival was released as not run
		default:
			return c.answerRecorded(result)
		}
	}
}

// recordUnknown records that the outcome of a call is unknown because the entry that ran it
// has ended.
func (c *plainCall) recordUnknown(r *ledger.Record) *request.Problem {
	ctx, cancel := context.WithTimeout(c.ctx, recordTimeout)
	defer cancel()
	cmd := c.command(ledger.OpGiveUp, nil)
	cmd.RequestID, cmd.Owner = r.RequestID, r.Owner
	if _, err := c.entry.ledger.Ledger(ctx, cmd); err != nil {
		return request.NewProblem(request.CodeLedger, request.Unknown, "%v", err).After(ledgerRetryDelay)
	}
	return request.NewProblem(request.CodeOutcomeUnknown, request.Unknown, "the entry that ran this request is gone")
}
