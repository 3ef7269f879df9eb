package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/routes"
)

// confirmRevision lets the only control replica report that revision is its newest one.
func (r *rig) confirmRevision(revision uint64) {
	r.freshness.record("replica", &api.WatchReply{Revision: revision, Share: lone, SentAt: r.now()})
}

// Guards against a final answer by a catalogue that may be old: to the caller of a route that was
// just added, or with a key that was, it says not to come back.
func TestUnconfirmedCatalogueGivesNoFinalAnswer(t *testing.T) {
	for name, makeUnsure := range map[string]func(r *rig){
		"no reply of replicas for long": func(r *rig) { r.clockOffset.Add(int64(r.freshness.applyWithin)) },
		"a replica has a newer one":     func(r *rig) { r.confirmRevision(2) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.setRoutes(routes.Route{Prefix: "/a/", Kind: routes.Idempotent})
			_, refusal := r.serve("/b")
			require.Equal(t, NoRoute, refusal.Reason)
			makeUnsure(r)
			started := time.Now()
			_, refusal = r.serve("/b")
			require.Equal(t, NoCatalogue, refusal.Reason)
			require.True(t, refusal.Reason.NotRun())
			require.Positive(t, refusal.RetryAfter)
			require.Less(t, time.Since(started), 2*maxConfirmWait)
		})
	}
}

// Guards against callers of a new route that are sent away although the catalogue with it is about
// to arrive.
func TestRequestWaitsForNewerCatalogue(t *testing.T) {
	r := newRig(t)
	r.setRoutes(routes.Route{Prefix: "/a/", Kind: routes.Idempotent})
	r.server("web", respond("ok"))
	r.confirmRevision(2)
	time.AfterFunc(maxConfirmWait/5, func() {
		c := &routes.Catalogue{Revision: 2, Services: []routes.Service{{Name: "web"}}, Routes: []routes.Route{{
			Name: "b", Host: "a.example", Prefix: "/b", Kind: routes.Idempotent, Timeout: time.Second, MaxServers: 1,
			Split: []routes.WeightedService{{Service: "web", Weight: 1}},
		}}}
		r.table.Store(routes.NewTable(c))
		r.freshness.notify()
	})
	out, refusal := r.serve("/b")
	require.Nil(t, refusal)
	require.Equal(t, "ok", string(out.body))
}

// Guards against an entry that goes on serving by a catalogue that must not be in force any more:
// requests run by routes, keys, time-outs and limits that the operator has changed.
func TestOutdatedCatalogueDecidesNothing(t *testing.T) {
	r := newRig(t)
	r.setRoutes(routes.Route{Prefix: "/a/", Kind: routes.Idempotent})
	server := r.server("web", respond("ok"))
	r.confirmRevision(2)
	_, refusal := r.serve("/a/x")
	require.Nil(t, refusal, "the change need not be in force yet")
	r.clockOffset.Add(int64(r.freshness.applyWithin))
	_, refusal = r.serve("/a/x")
	require.Equal(t, NoCatalogue, refusal.Reason)
	require.Equal(t, 1, server.count())
}

// Guards against an entry without control replicas that refuses what it can serve.
func TestEntryWithoutRepliesServes(t *testing.T) {
	r := newRig(t)
	r.setRoutes(routes.Route{Prefix: "/a/", Kind: routes.Idempotent})
	r.server("web", respond("ok"))
	r.clockOffset.Add(int64(time.Minute))
	_, refusal := r.serve("/a/x")
	require.Nil(t, refusal)
}

// Guards against a caller that has left and whose request goes on waiting.
func TestCallerLeavesWhileCatalogueIsUnconfirmed(t *testing.T) {
	r := newRig(t)
	r.setRoutes(routes.Route{Prefix: "/a/", Kind: routes.Idempotent})
	r.confirmRevision(2)
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	started := time.Now()
	_, refusal := r.serveContext(ctx, "/b")
	require.NotNil(t, refusal)
	require.Less(t, time.Since(started), maxConfirmWait)
}

// Guards against an entry that stood still, or was starved of its processor, and serves by the
// catalogue of before: a key that was taken away since is still good there.
func TestStarvedEntryServesByConfirmedCatalogueOnly(t *testing.T) {
	r := newRig(t)
	r.setRoutes(routes.Route{Prefix: "/a/", Kind: routes.Idempotent})
	r.server("web", respond("ok"))
	r.freshness.tick()
	serve := func() Reason {
		if _, refusal := r.serve("/a/x"); refusal != nil {
			return refusal.Reason
		}
		return 0
	}
	require.Zero(t, serve())
	r.clockOffset.Add(int64(10 * time.Second))
	require.Equal(t, NoCatalogue, serve(), "the tick is overdue")
	r.freshness.tick()
	require.Equal(t, NoCatalogue, serve(), "it was late")
	r.confirmRevision(1)
	require.Zero(t, serve())
	for range 5 {
		r.clockOffset.Add(int64(upkeepInterval))
		r.freshness.tick()
	}
	require.Zero(t, serve(), "it is in time, and only cut off")
}

// Guards against an entry that stood still, or was starved of its processor, and sends requests to
// servers that have left meanwhile: it knows of no leave before it has read the replies of a majority of
// the control replicas.
func TestStarvedEntrySendsByConfirmedLeavesOnly(t *testing.T) {
	r := newRig(t)
	r.setRoutes(routes.Route{Prefix: "/a/", Kind: routes.Idempotent})
	r.freshness.applyWithin = time.Minute // the catalogue is in doubt later than the servers
	leaving := r.server("web", respond("leaving"))
	r.freshness.tick()
	r.confirmRevision(1)
	r.clockOffset.Add(int64(upkeepInterval + 2*maxTickDelay)) // longer than half of the bound on leaves
	r.freshness.tick()
	_, refusal := r.serve("/a/x")
	require.Equal(t, NoServer, refusal.Reason)
	require.Zero(t, leaving.count(), "nothing is known of the servers since the pause")

	r.server("web", respond("staying"))
	time.AfterFunc(maxConfirmWait/5, func() {
		rec, _ := r.directory.Lookup("s1", r.now())
		rec.State = instance.StateLeaving
		r.applyReply("replica", api.WatchReply{Revision: 1, Share: lone, SentAt: r.now(), Servers: []directory.Server{rec}})
	})
	out, refusal := r.serve("/a/x")
	require.Nil(t, refusal)
	require.Equal(t, "staying", string(out.body))
	require.Zero(t, leaving.count())
}
