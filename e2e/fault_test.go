package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/contract"
)

// maxPropagationDelay is the time within which every entry applies an accepted change.
const maxPropagationDelay = 6 * time.Second

// Guards against truncated or mixed-up answers when an entry and two of three
// model servers get a reclaim notice at the same time while all are streaming.
func TestReclaimOfAZone(t *testing.T) {
	s, entries, servers := newSmallSite(t, 3, "--notice", "6s")
	errs := s.streamAll(t.Context(), 1, 9, 900, func() {
		s.waitForTokens(3, 60)
		servers[0].signal(t, syscall.SIGTERM)
		servers[1].signal(t, syscall.SIGTERM)
		s.reclaimEntry(1, 6*time.Second)
	})
	requireNoErrors(t, errs)
	select {
	case <-entries[0].done:
	case <-time.After(waitTimeout):
		t.Fatal("the entry has not ended")
	}
}

// Guards against lost answers when a model server crashes after it took over
// requests from a reclaimed one, so that they have to move a second time.
func TestDeathDuringAReclaim(t *testing.T) {
	s, _, servers := newSmallSite(t, 3, "--notice", "3s")
	errs := s.streamAll(t.Context(), 2, 9, 600, func() {
		s.waitForTokens(3, 60)
		servers[0].signal(t, syscall.SIGTERM)
		<-servers[0].done
		servers[1].kill(t)
	})
	requireNoErrors(t, errs)
}

// Guards against an entry that serves from a stale catalogue after its process was
// frozen, as in a live migration: a workspace removed meanwhile must be refused
// from the first request on, and the entry must still list the other entry.
func TestFrozenEntry(t *testing.T) {
	s, entries, _ := newSmallSite(t, 1)
	body, _ := chatBody("anything", 1, false)
	entries[0].freeze(t)
	c := newTestCatalogue()
	c.Workspaces = c.Workspaces[1:]
	s.apply(c)
	propagated := time.After(maxPropagationDelay)
	var wg sync.WaitGroup
	replies := make([]reply, 5)
	errs := make([]error, len(replies))
	for k := range replies { // the kernel accepts the connections while the entry is frozen
		wg.Go(func() { replies[k], errs[k] = s.call(t.Context(), 1, "POST", "/v1/chat/completions", body, nil) })
	}
	s.eventuallyWithin(waitTimeout, "the other entry applies the change", func() error {
		r, err := s.call(t.Context(), 2, "POST", "/v1/chat/completions", body, nil)
		if err == nil && r.status != http.StatusUnauthorized {
			err = fmt.Errorf("status %d", r.status)
		}
		return err
	})
	s.eventually("the other entry no longer lists the frozen one", func() error {
		r, err := s.call(t.Context(), 2, "GET", "/v1/entries", "", nil)
		if err == nil && strings.Contains(r.body, `"entry-1"`) {
			err = fmt.Errorf("still listed")
		}
		return err
	})
	<-propagated
	entries[0].signal(t, syscall.SIGCONT)
	wg.Wait()
	for k, r := range replies {
		require.NoError(t, errs[k])
		require.NotEqual(t, http.StatusOK, r.status, r.body)
		require.Equal(t, "not_run", r.header.Get("Savoryreel-Outcome"))
	}
	s.waitForEntries(1, 2)
	s.waitForEntries(2, 2)
}

// Guards against a stale control leader: after a freeze during which a new leader
// was elected and a change accepted, the old one must neither return the old
// catalogue as current nor accept a change based on it.
func TestFrozenLeader(t *testing.T) {
	s := newSite(t)
	replicas := s.startControl(3)
	first := s.apply(newTestCatalogue())
	leader := s.leaderIndex()
	replicas[leader].freeze(t)
	c := newTestCatalogue()
	c.Workspaces = c.Workspaces[1:]
	second := s.apply(c)
	require.Greater(t, second, first)
	replicas[leader].signal(t, syscall.SIGCONT)
	oldLeader := s.operatorAt(leader)
	s.eventually("the old leader answers", func() error {
		v, err := oldLeader.Catalogue(t.Context())
		if err == nil {
			require.Equal(t, second, v.Version)
			require.Len(t, v.Catalogue.Workspaces, 1)
		}
		return err
	})
	doc, err := contract.Format(newTestCatalogue())
	require.NoError(t, err)
	_, err = oldLeader.Apply(t.Context(), doc, first)
	require.ErrorContains(t, err, "conflict")
}

// Guards against lost changes when a control replica restarts hundreds of changes
// behind and another one crashes as soon as the first has caught up.
func TestReplicaFarBehind(t *testing.T) {
	s := newSite(t)
	replicas := s.startControl(3)
	s.apply(newTestCatalogue())
	replicas[2].kill(t)
	for k := range 300 {
		stop := contract.Stop{ID: fmt.Sprint("stop-", k), Scope: contract.StopZone, Name: "z9"}
		_, err := s.operator().PlanStop(t.Context(), stop)
		require.NoError(t, err)
	}
	members := make([]string, 3)
	for i := range members {
		members[i] = fmt.Sprintf("%d=%s", i+1, s.controlLinkAddrs[i])
	}
	s.startReplica(3, members)
	started := time.Now()
	s.eventually("the replica has caught up", func() error {
		r := s.operator().Replicas(t.Context())[2]
		if r.CatalogueVersion < 301 {
			return fmt.Errorf("version %d %s", r.CatalogueVersion, r.Error)
		}
		return nil
	})
	t.Logf("caught up with 300 changes after %s", time.Since(started).Round(time.Millisecond))
	replicas[0].kill(t)
	var stops []contract.Stop
	s.eventually("the stops can be listed", func() error {
		var err error
		stops, err = s.operator().Stops(t.Context())
		return err
	})
	require.Len(t, stops, 300)
	s.eventually("a further change is accepted", func() error {
		_, err := s.operator().CancelStop(t.Context(), "stop-7")
		return err
	})
}
