package entry

import (
	"context"
	"log/slog"
	"time"

	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/policy/quarantine"
	"savoryreel.example/savoryreel/policy/suspect"
	"savoryreel.example/savoryreel/request"
)

// methodPartTrials asks the entry that owns the trials of parts for some; it returns a suspect.Grant.
const methodPartTrials = "entry.quarantine.part_trials"

const (
	// partTrialsKey is the key by which the owner of the trials of all parts is chosen. It is one entry, since
	// a chat may need trials of several parts at once; suspects are few.
	partTrialsKey = 0
	// partTrialTimeout bounds a request for trials, which are committed by the control replicas.
	partTrialTimeout = 500 * time.Millisecond
	// maxTrialRetryAfter bounds Retry-After while a part may still get a trial: an answer to it clears it.
	maxTrialRetryAfter = time.Second
)

// partTrialRequest asks for a trial of each of the parts.
type partTrialRequest struct {
	Parts []uint64 `msgpack:"p"`
}

// takePartTrials takes the trials that a send of the request needs for parts of its prompt that are suspects,
// or returns the request's final problem.
func (q *guard) takePartTrials(ctx context.Context, t *ticket) *request.Problem {
	now := q.now()
	q.mu.Lock()
	needed, refusedUntil := q.parts.needed(t.parts, now)
	q.mu.Unlock()
	if len(needed) == 0 {
		return nil
	}
	if refusedUntil.After(now) {
		return partProblem(&suspect.Grant{After: refusedUntil.Sub(now)})
	}
	grant := q.askForPartTrials(ctx, t.lane.key, needed)
	event.Log(ctx, q.log, slog.LevelWarn, event.SuspectTrial, slog.String("request", string(t.request.ID)), slog.Any("suspects", needed),
		slog.Bool("granted", grant.Granted), slog.Duration("after", grant.After), slog.Uint64("refused", grant.Refused))
	if grant.Granted {
		return nil
	}
	q.mu.Lock()
	q.parts.recordRefusal(&grant, now)
	q.mu.Unlock()
	return partProblem(&grant)
}

// partProblem returns the problem of a request with a part that gets no trial.
func partProblem(g *suspect.Grant) *request.Problem {
	if g.Last {
		return request.NewProblem(request.CodeQuarantined, request.NotRun,
			"backend servers stopped while they ran requests with a message of this one; it is refused for %s", g.After.Round(time.Second))
	}
	return request.NewProblem(request.CodeNoServer, request.NotRun,
		"backend servers stopped while they ran requests with a message of this one").After(min(g.After, maxTrialRetryAfter))
}

// askForPartTrials asks the owner of the trials. Without it there are none: they would not be counted.
func (q *guard) askForPartTrials(ctx context.Context, key laneKey, parts []uint64) suspect.Grant {
	q.mu.Lock()
	owner := q.view(key).Owner(partTrialsKey)
	q.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, partTrialTimeout)
	defer cancel()
	if owner == q.entry.cfg.ID {
		return q.grantPartTrials(ctx, parts)
	}
	m, known := q.entry.members.View().Member(owner)
	if !known {
		return noTrial(parts)
	}
	grant, err := link.Call[suspect.Grant](ctx, q.entry.pool, m.LinkAddress, methodPartTrials, partTrialRequest{Parts: parts})
	if err != nil {
		return noTrial(parts)
	}
	return grant
}

func noTrial(parts []uint64) suspect.Grant {
	return suspect.Grant{After: maxTrialRetryAfter, Refused: parts[0]}
}

func (q *guard) handlePartTrials(ctx context.Context, _ link.PeerInfo, m partTrialRequest) (suspect.Grant, error) {
	if len(m.Parts) == 0 {
		return suspect.Grant{}, nil
	}
	return q.grantPartTrials(ctx, m.Parts), nil
}

// grantPartTrials decides on trials as their owner. They are committed to the replicated log before they are
// used, so that they count after a restart of this entry, and for the next owner.
func (q *guard) grantPartTrials(ctx context.Context, parts []uint64) suspect.Grant {
	q.mu.Lock()
	grant, changed := q.parts.grantTrials(parts, q.now())
	q.mu.Unlock()
	if !grant.Granted {
		return grant
	}
	ctx, cancel := context.WithTimeout(ctx, partTrialTimeout)
	defer cancel()
	if err := q.publisher.log.PublishQuarantine(ctx, changed); err != nil {
		return noTrial(parts)
	}
	for _, r := range changed {
		q.share(r)
	}
	return grant
}

// startRun records that a run of a ticket's request starts by the verdict v.
func (q *guard) startRun(t *ticket, fingerprint uint64, v quarantine.Verdict) quarantine.Run {
	q.mu.Lock()
	defer q.mu.Unlock()
	run := q.set.Start(fingerprint, v)
	q.parts.start(run, t.parts)
	return run
}
