package control

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"savoryreel.example/savoryreel/control/api"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/policy/admit"
)

// leaderLease reports whether this replica holds the leader's lease, that is, whether
// no other replica can lead before until. host.Host implements it.
type leaderLease interface {
	HoldsLease() (term uint64, until time.Time, ok bool)
}

// limitLeases divides the workspaces' limits among the entries while this replica
// leads. The state is in the leader's memory only; a new leader rebuilds it from the
// entries' reports.
type limitLeases struct {
	leader     leaderLease
	machine    *Machine
	maxEntries int
	now        func() time.Time

	mu               sync.Mutex
	shares           *admit.Shares // those of term; nil before this replica has led
	term             uint64
	catalogueVersion uint64          // catalogue version whose limits are set
	workspaces       map[string]bool // workspaces with limits set
}

var errNotLeader = &codedError{code: api.CodeNoLeader, err: trace.ConnectionProblem(nil, "this replica does not lead")}

// report handles one entry's report and returns the entry's leases. It checks the
// leader's lease before and after the decision: a leader that has been replaced
// must not grant a share that its successor may grant to another entry.
func (l *limitLeases) report(_ context.Context, _ link.PeerInfo, r admit.Report) (admit.Reply, error) {
	term, _, ok := l.leader.HoldsLease()
	if !ok {
		return admit.Reply{}, errNotLeader
	}
	reply, err := l.lease(term, r)
	if err != nil {
		return admit.Reply{}, err
	}
	if termAfter, _, ok := l.leader.HoldsLease(); !ok || termAfter != term {
		return admit.Reply{}, errNotLeader
	}
	return reply, nil
}

func (l *limitLeases) lease(term uint64, r admit.Report) (admit.Reply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if l.shares == nil || l.term != term {
		shares, err := admit.NewShares(admit.DefaultShareConfig(l.maxEntries), term, now)
		if err != nil {
			return admit.Reply{}, trace.Wrap(err)
		}
		if l.machine.FirstCatalogueTerm() == term {
			shares.NoPredecessor() // earlier leaders knew no workspace, so they granted no leases
		}
		l.shares, l.term, l.catalogueVersion, l.workspaces = shares, term, 0, map[string]bool{}
	}
	l.setLimits(now)
	return l.shares.Lease(now, r), nil
}

// setLimits updates the workspaces and their limits from the catalogue as applied
// here. The caller holds mu.
func (l *limitLeases) setLimits(now time.Time) {
	c := l.machine.Catalogue(0)
	if c.Version == l.catalogueVersion {
		return
	}
	l.catalogueVersion = c.Version
	current := map[string]bool{}
	for i := range c.Catalogue.Workspaces {
		w := &c.Catalogue.Workspaces[i]
		l.shares.SetLimits(now, w.Name, w.Limits)
		current[w.Name] = true
	}
	for name := range l.workspaces {
		if !current[name] {
			l.shares.RemoveWorkspace(name)
		}
	}
	l.workspaces = current
}
