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
	// maxEndCheck bounds the check whether a server lives that ended an answer with its connection.
	maxEndCheck = 2 * time.Second
	// breakReportDelay collects the breaks of a server that ends under many requests.
	breakReportDelay = 20 * time.Millisecond
	// replicaCallTimeout bounds a call of callReplicas to one replica, and maxReplicaCalls the
	// replicas that are called.
	replicaCallTimeout = 400 * time.Millisecond
	maxReplicaCalls    = 2
	// maxTrialRetryAfter bounds Retry-After while a suspect may still get a trial: a request that
	// is no cause of crashes is cleared within one round trip of its answer.
	maxTrialRetryAfter = time.Second
	// maxPartsWatched bounds the parts of a prompt that count as properties of its request.
	maxPartsWatched = 16
)

// properties returns the fingerprints of what may crash servers about the request: the whole of it, the
// same whenever its caller sends it, whatever its id, and each part of its prompt but the last, which is
// the request's own.
func (j *job) properties() []uint64 {
	if j.propertyFingerprints == nil {
		j.propertyFingerprints = append(j.partFingerprints(), j.requestFingerprint())
	}
	return j.propertyFingerprints
}

func (j *job) requestFingerprint() uint64 {
	d := xxhash.New()
	for _, field := range [][]byte{[]byte(j.workspaceName()), []byte(j.Host), []byte(j.Method), []byte(j.Target), j.Body} {
		_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(field)))) // a digest never fails
		_, _ = d.Write(field)
	}
	return suspect.RequestFingerprint(d.Sum64())
}

func (j *job) partFingerprints() (list []uint64) {
	for i, segment := range j.PromptSegments {
		if i < min(len(j.PromptSegments)-1, maxPartsWatched) {
			list = append(list, suspect.PartFingerprint(xxhash.Sum64String(segment.ID)))
		}
	}
	return list
}

// suspects returns the properties of the request of which a send needs trials, as far as this entry knows.
func (j *job) suspects() []uint64 {
	b := j.gateway.breaks
	if b.empty() {
		return nil
	}
	return b.needTrials(j.properties())
}

// takeTrial takes trials for the next send of a request with suspect properties, or returns its refusal.
// Each send needs trials of its own.
func (j *job) takeTrial(ctx context.Context) *Refusal {
	if j.trial {
		return nil
	}
	suspects := j.suspects()
	if len(suspects) == 0 {
		return nil
	}
	grant, refused := j.gateway.breaks.lastRefusal(suspects)
	if !refused {
		grant = j.gateway.askForTrial(ctx, suspects)
		event.Log(ctx, j.gateway.log, slog.LevelWarn, event.SuspectTrial, slog.String("request", j.ID), slog.Uint64("fingerprint", j.requestFingerprint()),
			slog.Any("suspects", suspects), slog.Bool("granted", grant.Granted), slog.Duration("after", grant.After), slog.Uint64("refused", grant.Refused))
	}
	if grant.Granted {
		j.trial = true
		return nil
	}
	if !refused {
		j.gateway.breaks.recordRefusal(grant)
	}
	return j.suspectRefusal(&grant)
}

// maySendSuspect reports whether the request may be sent: it has no suspect property, or has trials, which
// this uses. A property may have become a suspect since the server was chosen.
func (j *job) maySendSuspect() bool {
	if j.trial {
		j.trial = false
		return true
	}
	return len(j.suspects()) == 0
}

// suspectRefusal returns the refusal of a request that gets no trial.
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

// askForTrial asks the control replicas for a trial of each suspect property. Without a majority of them
// there is none: it would not be counted.
func (g *Gateway) askForTrial(ctx context.Context, suspects []uint64) suspect.Grant {
	grant, err := callReplicas[suspect.Grant](ctx, g, api.MethodTrial, api.TrialRequest{Fingerprints: suspects, Ask: rand.Uint64()})
	if err != nil {
		return suspect.Grant{After: maxTrialRetryAfter, Refused: suspects[0]}
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
	j.properties() // computed here, since the goroutine only reads them
	if r.retryable && j.route.Repeatable() && j.runs < j.route.MaxServers {
		_ = j.recordBreak(ctx, c)
		return
	}
	go func() { _ = j.recordBreak(context.WithoutCancel(ctx), c) }()
}

// recordEnd records that the request was answered. An answer that ends with its connection looks the same
// if the server crashed under it: the request has broken off if the server is gone.
func (j *job) recordEnd(c *choice) {
	if !j.endsWithConnection {
		j.recordAnswered()
		return
	}
	j.properties() // computed here, since the goroutine only reads them
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), maxEndCheck)
		defer cancel()
		if !j.recordBreak(ctx, c) {
			j.recordAnswered()
		}
	}()
}

// recordBreak records that the request broke off on a server, if that is gone, and reports whether it is: a
// server that still takes connections, from this entry or from another one, has only broken this one.
func (j *job) recordBreak(ctx context.Context, c *choice) bool {
	g := j.gateway
	if err := g.pool.Alive(ctx, c.verdict.Address, aliveTimeout); !reach.Gone(err) || ctx.Err() != nil {
		return false
	}
	g.breaks.record(j.propertyFingerprints, suspect.Server{ID: c.verdict.Server, Incarnation: c.verdict.Incarnation})
	suspects := g.breaks.needTrials(j.propertyFingerprints)
	event.Log(ctx, g.log, slog.LevelInfo, event.BrokeOffOnGoneServer, slog.String("request", j.ID), slog.String("server", c.verdict.Server),
		slog.Uint64("fingerprint", j.requestFingerprint()), slog.Any("parts", j.partFingerprints()),
		slog.Bool("suspect", len(suspects) > 0), slog.Any("suspects", suspects))
	g.breakReporter.wake(g.follower.SendNow)
	return true
}

// recordAnswered records that a server has answered the request.
func (j *job) recordAnswered() {
	g := j.gateway
	if g.breaks.empty() {
		g.breaks.recordAnswer(j.partFingerprints())
		return
	}
	changed, suspects := g.breaks.recordAnswer(j.properties())
	if changed {
		g.breakReporter.wake(g.follower.SendNow)
	}
	if len(suspects) == 0 {
		return
	}
	req := api.TrialRequest{Fingerprints: suspects, Answered: true}
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
