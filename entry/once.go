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

// ledgerClient is how an entry reaches the ledger; api.Client is one.
type ledgerClient interface {
	Ledger(ctx context.Context, cmd ledger.Command) (ledger.Result, error)
}

// Bounds of the ledger's use.
const (
	// recordTimeout is how long a request waits for its record to be committed:
	// an election at the default settings, with room.
	recordTimeout = 3 * time.Second
	// ledgerUpdateTimeout bounds one try to tell the ledger how a request ended; a log
	// line follows each.
	ledgerUpdateTimeout = 30 * time.Second
	// minAttachInterval and attachMax are how often a second arrival looks whether the
	// first has ended: soon at first, for most calls are short.
	minAttachInterval = 50 * time.Millisecond
	maxAttachInterval = time.Second
	// ledgerRetryDelay is when a caller should come back after a request that could
	// not be recorded: an election takes less.
	ledgerRetryDelay = 2 * time.Second
)

// recordAndRun runs a call that may run at most recordAndRun.
//
// Its key is committed by a majority of control replicas before the first byte
// goes to a backend server. A caller whose connection breaks sends the call
// again, often to another entry; without the record that entry would run it a
// second time, and a cedent would be credited twice.
//
// The key is recorded before the call queues for a server: a slot that is held
// while control elects a leader serves nobody, and a second arrival needs none.
func (c *plainCall) recordAndRun() *request.Problem {
	c.entry.onceCalls.add(string(c.request.ID))
	defer c.entry.onceCalls.remove(string(c.request.ID))
	result, err := c.recordKey()
	if err != nil {
		c.updateLedger(ledger.OpRelease, nil) // it may have been recorded all the same
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

// recordKey records the request's key. It is called before any byte goes out.
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

// sendOnce sends the call. Only an attempt of which surely no byte was written,
// or which the server refused before running it, is followed by another.
func (c *plainCall) sendOnce(g *grant) *request.Problem {
	for n := 1; ; n++ {
		resp, sent, err := c.send(g, c.entry.plainClient.DoOnce)
		if err == nil {
			return c.relayOnce(g, resp)
		}
		if sent {
			c.updateLedger(ledger.OpGiveUp, nil)
			return request.NewProblem(request.CodeOutcomeUnknown, request.Unknown, "the backend server broke off: %v", err)
		}
		next, p := c.nextGrant(g, n, err, request.NotRun)
		if p != nil {
			c.updateLedger(ledger.OpRelease, nil)
			return p
		}
		g = next
	}
}

// relayOnce holds a small answer until it is whole, then sends it and has it
// kept for resends. A larger one is streamed, and only its end is kept.
func (c *plainCall) relayOnce(g *grant, resp *http.Response) *request.Problem {
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedAnswerBytes+1))
	answer := &ledger.Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}
	if err == nil && len(body) <= maxBufferedAnswerBytes {
		c.closeGrant(g, nil)
		c.updateLedger(ledger.OpFinish, answer)
		c.writeHeader(resp)
		_, _ = c.writer.Write(body) // the caller is gone; a resend finds the kept answer
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
		panic(http.ErrAbortHandler) // part of an answer must not pass for the whole
	}
	c.updateLedger(ledger.OpFinish, &ledger.Answer{Status: answer.Status, ContentType: answer.ContentType, Omitted: true})
	c.entry.logEnd(c.request, request.Answered, "", 0)
	return nil
}

// updateLedger tells the ledger how the request ended, in the background and
// again and again until it is committed: a record left as begun makes every
// resend wait although this entry knows better.
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

// answerRecorded answers a call whose key is in the ledger already.
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

// sendStoredAnswer gives a resend the answer of the first arrival.
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
	_, _ = c.writer.Write(a.Body) // the caller is gone; it may ask again
	c.entry.logEnd(c.request, request.Answered, "", 0)
	return nil
}

// waitForFirstArrival waits for the first arrival to end, for as long as the entry that runs
// it lives. When that entry is gone, nobody can tell whether the call ran.
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

// recordUnknown records that nobody can tell whether the call of a dead entry ran.
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
