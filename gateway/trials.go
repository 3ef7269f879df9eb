package gateway

import (
	"context"
	"encoding/binary"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/policy/suspect"
	"savoryreel.example/savoryreel/reach"
)

const (
	// aliveTimeout is how long a server that broke a connection has to take another one.
	aliveTimeout = 100 * time.Millisecond
	// breakReportDelay collects the breaks of a server that ends under many requests.
	breakReportDelay = 20 * time.Millisecond
	// replicaCallTimeout bounds a call of callReplicas to one replica, and maxReplicaCalls the
	// replicas that are called.
	replicaCallTimeout = 400 * time.Millisecond
	maxReplicaCalls    = 2
	// maxTrialRetryAfter bounds Retry-After while a suspect may still get a trial: a request that
	// is no cause of crashes is cleared within one round trip of its answer.
	maxTrialRetryAfter = time.Second
)

// fingerprint identifies the request among those of its caller: the same request has the same
// one, whatever its id.
func (j *job) fingerprint() uint64 {
	if j.fingerprintKnown {
		return j.fingerprintSum
	}
	d := xxhash.New()
	for _, field := range [][]byte{[]byte(j.workspaceName()), []byte(j.Host), []byte(j.Method), []byte(j.Target), j.Body} {
		_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(field)))) // a digest never fails
		_, _ = d.Write(field)
	}
	j.fingerprintSum, j.fingerprintKnown = d.Sum64(), true
	return j.fingerprintSum
}

// isSuspect reports whether the request may be what ends servers, as far as this entry knows.
func (j *job) isSuspect() bool {
	b := j.gateway.breaks
	return !b.empty() && b.suspect(j.fingerprint())
}

// takeTrial takes a trial for the next send of a suspect, or returns the request's refusal. Each
// send needs a trial of its own.
func (j *job) takeTrial(ctx context.Context) *Refusal {
	if j.trial || !j.isSuspect() {
		return nil
	}
	grant, refused := j.gateway.breaks.lastRefusal(j.fingerprint())
	if !refused {
		grant = j.gateway.askForTrial(ctx, j.fingerprint())
		event.Log(ctx, j.gateway.log, slog.LevelWarn, event.SuspectTrial, slog.String("request", j.ID), slog.Uint64("fingerprint", j.fingerprint()),
			slog.Bool("granted", grant.Granted), slog.Duration("after", grant.After))
	}
	if grant.Granted {
		j.trial = true
		return nil
	}
	if !refused {
		j.gateway.breaks.recordRefusal(j.fingerprint(), grant)
	}
	return j.suspectRefusal(&grant)
}

// maySendSuspect reports whether the request may be sent: it is no suspect, or has a trial, which
// this uses. The request may have become a suspect since its server was chosen.
func (j *job) maySendSuspect() bool {
	if j.trial {
		j.trial = false
		return true
	}
	return !j.isSuspect()
}

// suspectRefusal returns the refusal of a suspect that gets no trial.
func (j *job) suspectRefusal(g *suspect.Grant) *Refusal {
	r := j.failureRefusal("crashes servers")
	if r.Reason != NoServer {
		return r
	}
	after := g.After
	if !g.Last {
		after = min(after, maxTrialRetryAfter)
	}
	return &Refusal{Reason: Quarantined, RetryAfter: after, Detail: r.Detail}
}

// askForTrial asks the control replicas for a trial of a suspect. Without a majority of them there
// is none: it would not be counted.
func (g *Gateway) askForTrial(ctx context.Context, fingerprint uint64) suspect.Grant {
	grant, err := callReplicas[suspect.Grant](ctx, g, api.MethodTrial, api.TrialRequest{Fingerprint: fingerprint, Ask: rand.Uint64()})
	if err != nil {
		return suspect.Grant{After: maxTrialRetryAfter}
	}
	return grant
}

// callReplicas sends a request to control replicas, in random order, until one replies.
func callReplicas[Resp any](ctx context.Context, g *Gateway, method string, req any) (reply Resp, err error) {
	replicas := g.follower.Replicas()
	rand.Shuffle(len(replicas), func(i, j int) { replicas[i], replicas[j] = replicas[j], replicas[i] })
	err = errNoReplica
	for _, addr := range replicas[:min(maxReplicaCalls, len(replicas))] {
		callCtx, cancel := context.WithTimeout(ctx, replicaCallTimeout)
		reply, err = link.Call[Resp](callCtx, g.links, addr, method, req)
		cancel()
		if err == nil || ctx.Err() != nil {
			return reply, err
		}
	}
	return reply, err
}

// errNoReplica reports that no control replica is known.
var errNoReplica = trace.ConnectionProblem(nil, "no control replica is known")

// recordBreakOf records that the request broke off. A request that may not be sent again is
// answered meanwhile.
func (j *job) recordBreakOf(ctx context.Context, c *choice, r *result) {
	j.fingerprint() // computed here, since the goroutine only reads it
	if r.retryable && j.route.Repeatable() && j.runs < j.route.MaxServers {
		j.recordBreak(ctx, c)
		return
	}
	go j.recordBreak(context.WithoutCancel(ctx), c)
}

// recordBreak records that the request broke off on a server, if that is gone: a server that still
// takes connections, from this entry or from another one, has only broken this one.
func (j *job) recordBreak(ctx context.Context, c *choice) {
	g := j.gateway
	if err := g.pool.Alive(ctx, c.verdict.Address, aliveTimeout); !reach.Gone(err) || ctx.Err() != nil {
		return
	}
	g.breaks.record(j.fingerprint(), suspect.Server{ID: c.verdict.Server, Incarnation: c.verdict.Incarnation})
	event.Log(ctx, g.log, slog.LevelInfo, event.BrokeOffOnGoneServer, slog.String("request", j.ID), slog.String("server", c.verdict.Server),
		slog.Uint64("fingerprint", j.fingerprint()), slog.Bool("suspect", g.breaks.suspect(j.fingerprint())))
	g.breakReporter.wake(g.follower.SendNow)
}

// recordAnswered records that a server has answered the request.
func (j *job) recordAnswered() {
	g := j.gateway
	if g.breaks.empty() {
		return
	}
	changed, wasSuspect := g.breaks.recordAnswer(j.fingerprint())
	if changed {
		g.breakReporter.wake(g.follower.SendNow)
	}
	if !wasSuspect {
		return
	}
	req := api.TrialRequest{Fingerprint: j.fingerprint(), Answered: true}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), maxReplicaCalls*replicaCallTimeout)
		defer cancel()
		_, _ = callReplicas[suspect.Grant](ctx, g, api.MethodTrial, req) // the replicas also learn of the answer by this entry's records
	}()
}

// delayedCall calls a function once for any number of calls within breakReportDelay.
type delayedCall struct{ pending atomic.Bool }

func (d *delayedCall) wake(f func()) {
	if !d.pending.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(breakReportDelay, func() {
		d.pending.Store(false)
		f()
	})
}
