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

// leaderLease says whether this replica surely leads; host.Host is one.
type leaderLease interface {
	HoldsLease() (term uint64, until time.Time, ok bool)
}

// limitLeases splits the workspaces' limits among the entries while this
// replica leads. The state is the leader's memory only: a new leader learns it
// from the entries' reports.
type limitLeases struct {
	leader     leaderLease
	machine    *Machine
	maxEntries int
	now        func() time.Time

	mu               sync.Mutex
	shares           *admit.Shares // of term; nil before this replica has led
	term             uint64
	catalogueVersion uint64          // catalogue version whose limits are set
	workspaces       map[string]bool // workspaces with limits set
}

var errNotLeader = &codedError{code: api.CodeNoLeader, err: trace.ConnectionProblem(nil, "this replica does not lead")}

// report answers one entry's report. The leader's lease is checked on both
// sides of the decision: leases given out by a leader that another has already
// replaced would put a part of a limit in two hands.
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
			shares.NoPredecessor() // earlier leaders knew no workspace, so they gave out nothing
		}
		l.shares, l.term, l.catalogueVersion, l.workspaces = shares, term, 0, map[string]bool{}
	}
	l.setLimits(now)
	return l.shares.Lease(now, r), nil
}

// setLimits follows the catalogue as this replica has applied it.
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
