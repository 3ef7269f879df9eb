package coordinator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/daemon"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/policy/origin"
)

// versionsCommand adds versions whose servers may begin streams from now on, and removes those whose streams
// can no longer be taken up.
type versionsCommand struct {
	Add    []origin.ServiceVersion `msgpack:"add,omitempty"`
	Remove []origin.ServiceVersion `msgpack:"rm,omitempty"`
}

// applyVersions changes the versions.
func (s *state) applyVersions(c versionsCommand) struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions = slices.DeleteFunc(slices.Clone(s.versions), func(sv origin.ServiceVersion) bool { return slices.Contains(c.Remove, sv) })
	for _, sv := range c.Add {
		if !slices.Contains(s.versions, sv) {
			s.versions = append(s.versions, sv)
		}
	}
	return struct{}{}
}

// serviceVersions returns the versions whose servers may have begun streams that can still be taken up. The
// caller must not modify them.
func (s *state) serviceVersions() []origin.ServiceVersion {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.versions
}

// versionBoard holds the versions of the servers that this replica knows of. Those in the replicated log
// outlast the replicas. It is safe for concurrent use.
type versionBoard struct {
	now        func() time.Time
	commit     func(ctx context.Context, versions []origin.ServiceVersion) error // to the replicated log
	committing chan struct{}                                                     // holds a value while versions are being committed

	mu       sync.Mutex
	versions *origin.Versions
}

func newVersionBoard(commit func(context.Context, []origin.ServiceVersion) error, now func() time.Time) *versionBoard {
	return &versionBoard{now: now, commit: commit, committing: make(chan struct{}, 1), versions: origin.NewVersions()}
}

// update records the versions of servers that this replica knows of, and returns those in the log of which it
// has known no server for so long that they no longer matter.
func (b *versionBoard) update(known, logged []origin.ServiceVersion) (gone []origin.ServiceVersion) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for _, sv := range known {
		b.versions.See(sv, now)
	}
	return b.versions.Expire(logged, now)
}

// of returns the versions of a service, of those in the log and those of servers that this replica knows of.
func (b *versionBoard) of(service string, logged []origin.ServiceVersion) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	versions := b.versions.Of(service, b.now())
	for _, sv := range logged {
		if sv.Service == service {
			versions = append(versions, sv.Version)
		}
	}
	slices.Sort(versions)
	return slices.Compact(versions)
}

// mixed returns the services with several versions.
func (b *versionBoard) mixed(logged []origin.ServiceVersion) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.versions.Mixed(logged, b.now())
}

// loggedVersions returns the versions in the log, as far as this replica has applied it.
func (c *Coordinator) loggedVersions() []origin.ServiceVersion {
	if m := c.group.current.Load(); m != nil {
		return m.state.serviceVersions()
	}
	return nil
}

// appliedVersions returns the versions in the log, and whether the log holds none that is not applied yet.
func (m *member) appliedVersions() (versions []origin.ServiceVersion, all bool) {
	logged := m.host.LastIndexOf(kindVersions) // before what is applied is read
	all = logged <= m.host.Status().Applied
	return m.state.serviceVersions(), all
}

// versionsOf returns the versions of services that a server belongs to.
func versionsOf(a *instance.Announcement) (list []origin.ServiceVersion) {
	for _, s := range a.Services {
		list = append(list, origin.ServiceVersion{Service: s, Version: a.Version})
	}
	return list
}

// uncommittedVersions returns those of the versions that are not known to be in the log. Those of servers in
// the directory are: they were committed before any replica reported them.
func (c *Coordinator) uncommittedVersions(versions []origin.ServiceVersion) []origin.ServiceVersion {
	lacking := without(versions, c.loggedVersions())
	if len(lacking) == 0 {
		return nil
	}
	return without(lacking, c.directory.ServiceVersions())
}

// without returns the elements of list that are not in other.
func without(list, other []origin.ServiceVersion) (rest []origin.ServiceVersion) {
	for _, sv := range list {
		if !slices.Contains(other, sv) {
			rest = append(rest, sv)
		}
	}
	return rest
}

// commitVersion returns once the version of a server that announces itself is in the log. Entries that learned
// of the first server of a version would begin streams there; if the replicas that know the version were
// lost, another entry would take the streams for those of the other version.
func (c *Coordinator) commitVersion(ctx context.Context, a *instance.Announcement) error {
	versions := versionsOf(a)
	if len(c.uncommittedVersions(versions)) == 0 {
		return nil
	}
	if _, document, _ := c.catalogue.get(); document == nil && c.cfg.Node.FirstStart {
		return nil // the system starts, and no stream can begin before there is a catalogue
	}
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	select {
	case c.versions.committing <- struct{}{}:
		defer func() { <-c.versions.committing }()
	case <-ctx.Done():
		return trace.Wrap(ctx.Err(), "step=commit versions")
	}
	lacking := c.uncommittedVersions(versions)
	if len(lacking) == 0 { // committed for another server meanwhile
		return nil
	}
	return trace.Wrap(c.versions.commit(ctx, lacking), "step=commit versions")
}

// commitVersions adds versions to the log through the leader.
func (c *Coordinator) commitVersions(ctx context.Context, versions []origin.ServiceVersion) error {
	_, err := runOnLeader(ctx, c, api.MethodCommitVersions, api.CommitVersionsRequest{Versions: versions}, c.commitVersionsAsLeader)
	return err
}

// commitVersionsAsLeader adds versions to the log, and returns once they are committed.
func (c *Coordinator) commitVersionsAsLeader(ctx context.Context, m *member, req api.CommitVersionsRequest) (api.CommitVersionsReply, error) {
	lacking := without(req.Versions, m.state.serviceVersions())
	if len(lacking) == 0 {
		return api.CommitVersionsReply{}, nil
	}
	return api.CommitVersionsReply{}, notLeaderError(propose(ctx, m, kindVersions, versionsCommand{Add: lacking}))
}

// keepVersions updates the versions until ctx ends.
func (c *Coordinator) keepVersions(ctx context.Context) error {
	return daemon.Every(ctx, sweepInterval, func() { c.updateVersions(ctx) })
}

// updateVersions records the versions of all servers that are not known to be gone. The leader also adds those
// that were announced before the first catalogue to the log, and removes those that no longer matter.
func (c *Coordinator) updateVersions(ctx context.Context) {
	known := c.directory.ServiceVersions()
	gone := c.versions.update(known, c.loggedVersions())
	m := c.group.current.Load()
	if m == nil || !m.leading() {
		return
	}
	command := versionsCommand{Add: without(known, m.state.serviceVersions()), Remove: gone}
	if len(command.Add)+len(command.Remove) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	if err := propose(ctx, m, kindVersions, command); err != nil {
		c.log.DebugContext(ctx, "versions not committed", "error", err)
	}
}
