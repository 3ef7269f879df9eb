package coordinator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/policy/origin"
)

// versionBoard holds the versions of services whose servers may have begun streams, and passes each to a
// majority of the voters before entries learn of its first server. It is safe for concurrent use.
type versionBoard struct {
	pool   *link.Pool
	saver  *sharedWrite
	voters func() (others []string, total int, self bool)
	now    func() time.Time
	asking chan struct{} // holds a value while other voters are being asked

	mu       sync.Mutex
	versions *origin.Versions
	held     map[origin.ServiceVersion]bool // by a majority; a set
}

func newVersionBoard(pool *link.Pool, saver *sharedWrite, voters func() ([]string, int, bool), complete bool, now func() time.Time) *versionBoard {
	return &versionBoard{
		pool: pool, saver: saver, voters: voters, now: now, asking: make(chan struct{}, 1),
		versions: origin.NewVersions(complete, now()), held: make(map[origin.ServiceVersion]bool),
	}
}

// restore takes over what was held before a restart.
func (b *versionBoard) restore(list []origin.ServiceVersion, complete bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.versions.Restore(list, complete, b.now())
}

// see records the versions of servers that this replica knows of. It reports whether one is new.
func (b *versionBoard) see(versions []origin.ServiceVersion) (added bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for _, sv := range versions {
		added = b.versions.See(sv, now) || added
	}
	return added
}

// expire forgets versions whose streams can no longer be taken up.
func (b *versionBoard) expire() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.versions.Expire(b.now()) {
		return
	}
	all := b.versions.All()
	for sv := range b.held {
		if !slices.Contains(all, sv) {
			delete(b.held, sv) // a later server of it is the first again
		}
	}
}

// of returns the versions of a service, and whether none is missing.
func (b *versionBoard) of(service string) (versions []string, complete bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	return b.versions.Of(service, now), b.versions.Complete(now)
}

func (b *versionBoard) mixed() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.versions.Mixed(b.now())
}

// all returns all that is held, and whether none is missing.
func (b *versionBoard) all() (list []origin.ServiceVersion, complete bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.versions.All(), b.versions.Complete(b.now())
}

// lacking returns those of the versions of which it is not known that a majority holds them.
func (b *versionBoard) lacking(versions []origin.ServiceVersion) (list []origin.ServiceVersion) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, sv := range versions {
		if !b.held[sv] {
			list = append(list, sv)
		}
	}
	return list
}

// markHeld records that a majority holds versions.
func (b *versionBoard) markHeld(versions []origin.ServiceVersion) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, sv := range versions {
		b.held[sv] = true
	}
}

// hold returns once a majority of the voters holds versions.
func (b *versionBoard) hold(ctx context.Context, versions []origin.ServiceVersion) error {
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	select {
	case b.asking <- struct{}{}:
		defer func() { <-b.asking }()
	case <-ctx.Done():
		return trace.Wrap(ctx.Err(), "step=hold versions")
	}
	versions = b.lacking(versions)
	if len(versions) == 0 { // held for another server meanwhile
		return nil
	}
	b.see(versions)
	others, total, self := b.voters()
	if total == 0 {
		return errNoMajorityHolds
	}
	outcomes := make(chan error, len(others)+1)
	var calls sync.WaitGroup
	for _, addr := range others {
		calls.Go(func() {
			_, err := link.Call[api.HoldVersionsReply](ctx, b.pool, addr, api.MethodHoldVersions, api.HoldVersionsRequest{Versions: versions})
			outcomes <- trace.Wrap(err, "step=hold versions peer=%s", addr)
		})
	}
	if self {
		calls.Go(func() { outcomes <- b.saver.save(ctx) })
	}
	go func() {
		calls.Wait()
		close(outcomes)
	}()
	if err := awaitMajority(outcomes, total); err != nil {
		return err
	}
	b.markHeld(versions)
	return nil
}

// holdForPeer holds versions that another replica has learned of.
func (b *versionBoard) holdForPeer(ctx context.Context, _ link.PeerInfo, req api.HoldVersionsRequest) (api.HoldVersionsReply, error) {
	b.see(req.Versions)
	return api.HoldVersionsReply{}, trace.Wrap(b.saver.save(ctx), "step=save versions")
}

// versionsOf returns the versions of services that a server belongs to.
func versionsOf(a *instance.Announcement) (list []origin.ServiceVersion) {
	for _, s := range a.Services {
		list = append(list, origin.ServiceVersion{Service: s, Version: a.Version})
	}
	return list
}

// holdVersion returns once a majority of the voters holds the version of a server that announces itself.
// Entries that learned of the first server of a version would begin streams there; if the replicas that
// know the version were lost, another entry would take the streams for those of the other version.
func (c *Coordinator) holdVersion(ctx context.Context, a *instance.Announcement) error {
	versions := versionsOf(a)
	if len(c.versions.lacking(versions)) == 0 {
		return nil
	}
	c.versions.markHeld(c.directory.ServiceVersions()) // they were held before any replica reported them
	if len(c.versions.lacking(versions)) == 0 {
		return nil
	}
	if _, document, _ := c.catalogue.get(); document == nil && c.cfg.Node.FirstStart {
		return nil // the system starts, and no stream can begin before there is a catalogue
	}
	return c.versions.hold(ctx, versions)
}

// seeVersions records the versions of all servers that are not known to be gone, and forgets those whose
// streams can no longer be taken up.
func (c *Coordinator) seeVersions() {
	if c.versions.see(c.directory.ServiceVersions()) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), holdTimeout)
			defer cancel()
			_ = c.versions.saver.save(ctx) // those that a majority must have on disk were saved by hold
		}()
	}
	c.versions.expire()
}
