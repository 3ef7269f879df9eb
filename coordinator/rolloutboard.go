package coordinator

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/instance"
)

// rolloutBoard holds the last rollout of each service that this replica knows of, from its own log or
// from another replica, and wakes the calls that wait for a change.
//
// A replica that lags may pass on a rollout before its own log contains it. This is safe, since every
// copy originates from a committed entry.
type rolloutBoard struct {
	mu       sync.Mutex
	rollouts map[string]api.Rollout
	version  uint64
	changed  chan struct{} // closed at the next change

	// confirmed holds the versions of each service for which the leader has been asked whether a
	// rollout to them is in progress. It is a set.
	confirmed map[serviceVersion]bool
	asking    chan struct{} // holds a value while the leader is being asked
}

type serviceVersion struct{ service, version string }

func newRolloutBoard() *rolloutBoard {
	return &rolloutBoard{
		rollouts: make(map[string]api.Rollout), changed: make(chan struct{}), confirmed: make(map[serviceVersion]bool), asking: make(chan struct{}, 1),
	}
}

// update takes over those of the rollouts that are newer than the known ones.
func (b *rolloutBoard) update(rollouts []api.Rollout) {
	b.mu.Lock()
	defer b.mu.Unlock()
	updated := false
	for _, r := range rollouts {
		if known, exists := b.rollouts[r.Service]; !exists || r.Newer(&known) {
			b.rollouts[r.Service] = r
			updated = true
		}
	}
	if updated {
		b.version++
		close(b.changed)
		b.changed = make(chan struct{})
	}
}

// current returns the rollouts sorted by service, their version, and a channel that is closed at the
// next change.
func (b *rolloutBoard) current() (rollouts []api.Rollout, version uint64, changed <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.rollouts {
		rollouts = append(rollouts, r)
	}
	slices.SortFunc(rollouts, func(x, y api.Rollout) int { return strings.Compare(x.Service, y.Service) })
	return rollouts, b.version, b.changed
}

// currentVersion returns the version of the rollouts and a channel that is closed at the next change.
func (b *rolloutBoard) currentVersion() (version uint64, changed <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.version, b.changed
}

// of returns the last rollout of a service.
func (b *rolloutBoard) of(service string) (api.Rollout, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, exists := b.rollouts[service]
	return r, exists
}

// unconfirmed returns those of the services for which a version has not been confirmed.
func (b *rolloutBoard) unconfirmed(services []string, version string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for _, s := range services {
		if !b.confirmed[serviceVersion{s, version}] {
			out = append(out, s)
		}
	}
	return out
}

// confirm records that a version of the services is confirmed.
func (b *rolloutBoard) confirm(services []string, version string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range services {
		b.confirmed[serviceVersion{s, version}] = true
	}
}

// acceptRollouts takes over committed rollouts, from this replica's log or from another replica.
func (c *Coordinator) acceptRollouts(rollouts []api.Rollout) {
	if len(rollouts) > 0 {
		c.rollouts.update(rollouts)
		c.evidence.update(rollouts)
	}
}

// addRollouts adds the rollouts to a reply to a process that has others. It is called after the
// directory was read: a server of a candidate's version is recorded here only once the rollout is known.
func (c *Coordinator) addRollouts(reply *api.WatchReply, req *api.WatchRequest) {
	rollouts, version, _ := c.rollouts.current()
	reply.RolloutsVersion = version
	if req.RolloutsVersion != version || req.Incarnation != c.incarnation {
		reply.HasRollouts, reply.Rollouts = true, rollouts
	}
}

// confirmTimeout bounds the wait of a heartbeat for the confirmation of its version. Backend servers wait
// for a second before they call another replica.
const confirmTimeout = 700 * time.Millisecond

// confirmVersion returns once this replica knows of every rollout that was ordered before the first
// heartbeat of a version. A replica that has been cut off from the leader would otherwise pass on the
// servers of a candidate without the rollout, and entries would send them everything.
func (c *Coordinator) confirmVersion(ctx context.Context, a *instance.Announcement) error {
	if !c.HasRollouts() || a.State != instance.StateServing || len(c.rollouts.unconfirmed(a.Services, a.Version)) == 0 {
		return nil
	}
	if _, document, _ := c.catalogue.get(); document == nil && c.cfg.Node.FirstStart {
		return nil // the system starts, and no service can be ordered to move before there is a catalogue
	}
	if known := c.servedServices(a.Version); len(known) > 0 {
		c.rollouts.confirm(known, a.Version)
	}
	if len(c.rollouts.unconfirmed(a.Services, a.Version)) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	select {
	case c.rollouts.asking <- struct{}{}:
		defer func() { <-c.rollouts.asking }()
	case <-ctx.Done():
		return trace.Wrap(ctx.Err(), "step=confirm version")
	}
	services := c.rollouts.unconfirmed(a.Services, a.Version)
	if len(services) == 0 { // confirmed for another server meanwhile
		return nil
	}
	rollouts, err := c.readRollouts(ctx)
	if err != nil {
		return trace.Wrap(err, "step=confirm version")
	}
	c.acceptRollouts(rollouts)
	c.rollouts.confirm(services, a.Version)
	return nil
}

// servedServices returns the services of the servers of a version that are known to serve. Their records
// came with their rollouts, from another replica or the data folder, so the leader need not be asked.
func (c *Coordinator) servedServices(version string) (services []string) {
	c.directory.EachServer(c.now(), func(rec *directory.Server) {
		if rec.Version == version && rec.State == instance.StateServing {
			services = append(services, rec.Services...)
		}
	})
	return services
}
