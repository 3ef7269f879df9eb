package coordinator

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/event"
)

const (
	// rolloutTimeout bounds an operator's call on rollouts. Operators turn to another replica after a
	// second without an answer.
	rolloutTimeout = 900 * time.Millisecond
	// repeatMargin is added to Bounds.Ack for the way of a repeated order to a replica.
	repeatMargin = time.Second
	// MaxRolloutDuration bounds the duration of a rollout.
	MaxRolloutDuration = 24 * time.Hour
)

// RolloutOrder is an operator's order to move a service to a version.
type RolloutOrder struct {
	Service, To string
	Duration    time.Duration // from the order to the deadline
}

// HasRollouts reports whether the site has rollouts.
func (c *Coordinator) HasRollouts() bool { return c.cfg.Node.Bounds.Rollout.Enabled() }

// StartRollout starts a rollout, and returns once the order is committed or was found to repeat a committed
// one. The error is trace.BadParameter for an invalid order, trace.CompareFailed if another rollout of the
// service is in progress, and ErrOutcomeUnknown if no leader has confirmed the order in time.
func (c *Coordinator) StartRollout(ctx context.Context, o RolloutOrder) error {
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	req := api.StartRolloutRequest{Service: o.Service, To: o.To, Duration: o.Duration, At: c.clock.Now()}
	reply, err := runOnLeader(ctx, c, api.MethodStartRollout, req, c.startRolloutAsLeader)
	if err != nil {
		err = errors.Join(ErrOutcomeUnknown, err)
	} else {
		err = refusalError(&reply)
	}
	if err != nil {
		event.Log(ctx, c.log, slog.LevelWarn, event.RolloutRefused, slog.String("service", o.Service), slog.String("to", o.To),
			slog.Duration("duration", o.Duration), slog.String("error", err.Error()))
	}
	return err
}

func refusalError(r *api.StartRolloutReply) error {
	switch r.Refusal {
	case api.RefusalNone:
		return nil
	case api.RefusalConflict:
		return trace.CompareFailed("%s", r.Reason)
	default:
		return trace.BadParameter("%s", r.Reason)
	}
}

// LastRollout returns the last rollout of a service as it was after all that was acknowledged before the
// call; exists is false if there was none. It returns ErrOutcomeUnknown if no leader confirmed the read.
func (c *Coordinator) LastRollout(ctx context.Context, service string) (last api.Rollout, exists bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	rollouts, err := c.readRollouts(ctx)
	if err != nil {
		return last, false, errors.Join(ErrOutcomeUnknown, err)
	}
	for _, r := range rollouts {
		if r.Service == service {
			return r, true, nil
		}
	}
	return last, false, nil
}

// readRollouts returns the rollouts of all services that were ordered before the call.
func (c *Coordinator) readRollouts(ctx context.Context) ([]api.Rollout, error) {
	reply, err := runOnLeader(ctx, c, api.MethodReadRollouts, api.ReadRolloutsRequest{}, c.readRolloutsAsLeader)
	return reply.Rollouts, err
}

func (c *Coordinator) readRolloutsAsLeader(ctx context.Context, m *member, _ api.ReadRolloutsRequest) (api.ReadRolloutsReply, error) {
	if err := m.host.ReadBarrier(ctx); err != nil {
		return api.ReadRolloutsReply{}, notLeaderError(err)
	}
	return api.ReadRolloutsReply{Rollouts: m.state.rolloutViews()}, nil
}

// startRolloutAsLeader commits an order unless it repeats an accepted one or is refused.
func (c *Coordinator) startRolloutAsLeader(ctx context.Context, m *member, req api.StartRolloutRequest) (api.StartRolloutReply, error) {
	if err := m.host.ReadBarrier(ctx); err != nil {
		return api.StartRolloutReply{}, notLeaderError(err)
	}
	now := c.clock.Now()
	at := now // of the arrival at the replica that took the call, whose clock may be wrong
	if req.At.Before(now) && now.Sub(req.At) <= rolloutTimeout {
		at = req.At
	}
	last, exists := m.state.lastRollout(req.Service)
	if exists && c.acks.repeats(&last, &req, at, c.repeatWindow()) {
		return api.StartRolloutReply{}, nil
	}
	if exists && !last.Phase.Ended() {
		return conflict(&last, req.Service), nil
	}
	from, err := c.checkRollout(&req, &last)
	if trace.IsBadParameter(err) {
		return api.StartRolloutReply{Refusal: api.RefusalInvalid, Reason: err.Error()}, nil
	}
	if err != nil {
		return api.StartRolloutReply{}, err
	}
	command := startRolloutCommand{Service: req.Service, To: req.To, From: from, At: at, Duration: req.Duration, Repeats: c.repeatWindow()}
	result, err := proposeResult[startRolloutResult](ctx, m, kindStartRollout, command)
	if err != nil {
		return api.StartRolloutReply{}, notLeaderError(err)
	}
	if result.Conflict {
		last, _ = m.state.lastRollout(req.Service)
		return conflict(&last, req.Service), nil
	}
	if result.Started {
		c.acks.record(req.Service, result.ID, c.clock.Now())
		event.Log(ctx, c.log, slog.LevelInfo, event.RolloutOrdered, slog.Uint64("rollout", result.ID), slog.String("service", req.Service),
			slog.String("to", req.To), slog.Any("from", from), slog.Duration("duration", req.Duration), slog.Time("at", at))
	}
	return api.StartRolloutReply{}, nil
}

// conflict returns the refusal of an order while a rollout is in progress.
func conflict(last *rolloutRecord, service string) api.StartRolloutReply {
	return api.StartRolloutReply{Refusal: api.RefusalConflict, Reason: fmt.Sprintf("a rollout of service %q to version %q is in progress until %s",
		service, last.To, last.Ordered.Add(last.Duration).UTC().Format(time.RFC3339))}
}

// repeatWindow returns how long after its acknowledgement an order may be repeated.
func (c *Coordinator) repeatWindow() time.Duration { return c.cfg.Node.Bounds.Ack + repeatMargin }

// errServersUnknown reports that this replica has not been up for long enough to know the servers.
var errServersUnknown = errors.New("the servers of the service are not known yet")

// checkRollout checks an order and returns the versions that the service has besides the ordered one and
// those that the last rollout excludes. An error is trace.BadParameter if the order is invalid.
func (c *Coordinator) checkRollout(req *api.StartRolloutRequest, last *rolloutRecord) (from []string, err error) {
	if req.To == "" {
		return nil, trace.BadParameter("the version to move to is empty")
	}
	if req.Duration <= 0 || req.Duration > MaxRolloutDuration {
		return nil, trace.BadParameter("duration %v, want more than 0 and at most %v", req.Duration, MaxRolloutDuration)
	}
	table := c.routeTable.Load()
	if table == nil {
		return nil, errors.New("there is no catalogue yet")
	}
	if table.Service(req.Service) == nil {
		return nil, trace.BadParameter("service %q is not in the catalogue", req.Service)
	}
	view := last.view()
	known, others := 0, make(map[string]bool)
	c.directory.EachServer(c.now(), func(rec *directory.Server) {
		if !slices.Contains(rec.Services, req.Service) || last.ID != 0 && rec.Version != req.To && view.Excludes(rec.Version) {
			return
		}
		known++
		if rec.Version != req.To {
			others[rec.Version] = true
		}
	})
	if len(others) == 0 && c.now().Sub(c.startedAt) < c.cfg.Node.AnnounceInterval+evidenceDelay {
		return nil, errServersUnknown
	}
	if known > 0 && len(others) == 0 {
		return nil, trace.BadParameter("all servers of service %q have version %q already", req.Service, req.To)
	}
	for version := range others {
		from = append(from, version)
	}
	slices.SortFunc(from, strings.Compare)
	return from, nil
}

// acknowledgements holds when this replica, as the leader, had the last order of each service committed.
// It is safe for concurrent use.
type acknowledgements struct {
	mu   sync.Mutex
	last map[string]acknowledgement // by service
}

type acknowledgement struct {
	id uint64
	at time.Time
}

func newAcknowledgements() *acknowledgements {
	return &acknowledgements{last: make(map[string]acknowledgement)}
}

func (a *acknowledgements) record(service string, id uint64, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last[service] = acknowledgement{id: id, at: at}
}

// repeats reports whether an order that arrived at a time repeats an accepted one. Where another leader has
// committed that, it was acknowledged up to rolloutTimeout after the time that the record has.
func (a *acknowledgements) repeats(last *rolloutRecord, req *api.StartRolloutRequest, at time.Time, window time.Duration) bool {
	a.mu.Lock()
	ack := a.last[req.Service]
	a.mu.Unlock()
	if ack.id == last.ID && last.To == req.To {
		return !last.Phase.Ended() || at.Sub(ack.at) <= window
	}
	_, repeated := last.repeatedOrder(req.To, at, window+rolloutTimeout)
	return repeated
}
