package instance

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMain fixes rapid's seed so that runs are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := f.Value.Set("20261202"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func server(id, model string, state State) *Server {
	return &Server{Announcement: Announcement{ID: id, Model: model, State: state}}
}

func member(id, role string, state State) *Member {
	return &Member{ID: id, Role: role, State: state}
}

// Guards against lost or misplaced updates and against changes to a snapshot that a
// reader still uses: compares every query with a simple model after each batch.
func TestViewAgainstModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		v := NewView()
		servers, members := map[string]*Server{}, map[string]*Member{}
		state := rapid.SampledFrom([]State{StateServing, StateLeaving, StateGone})
		name := rapid.SampledFrom([]string{"m1", "m2"})
		for range rapid.IntRange(1, 20).Draw(rt, "batches") {
			snapshot := v.Servers("m1")
			snapshotCopy := slices.Clone(snapshot)
			var batch []Update
			for range rapid.IntRange(1, 5).Draw(rt, "updates") {
				id := fmt.Sprintf("i%d", rapid.IntRange(0, 6).Draw(rt, "id"))
				switch rapid.IntRange(0, 3).Draw(rt, "kind") {
				case 0:
					servers[id] = server(id, name.Draw(rt, "model"), state.Draw(rt, "state"))
					batch = append(batch, Update{Server: servers[id]})
				case 1:
					members[id] = member(id, name.Draw(rt, "role"), state.Draw(rt, "state"))
					batch = append(batch, Update{Member: members[id]})
				case 2:
					delete(servers, id)
					batch = append(batch, Update{RemoveServer: id})
				case 3:
					delete(members, id)
					batch = append(batch, Update{RemoveMember: id})
				}
			}
			v.Apply(batch)
			require.Equal(rt, snapshotCopy, snapshot, "a returned snapshot has changed")
			requireViewEquals(rt, v, servers, members)
		}
	})
}

func requireViewEquals(t *rapid.T, v *View, servers map[string]*Server, members map[string]*Member) {
	var present, byModel []*Server
	var all, byRole []*Member
	for i := range 7 {
		id := fmt.Sprintf("i%d", i)
		s, ok := v.Server(id)
		require.Equal(t, servers[id] != nil, ok)
		if ok && s.State != StateGone {
			present = append(present, s)
		}
		if ok && s.State == StateServing && s.Model == "m1" {
			byModel = append(byModel, s)
		}
		m, ok := v.Member(id)
		require.Equal(t, members[id] != nil, ok)
		if ok && m.State != StateGone {
			all = append(all, m)
		}
		if ok && m.State != StateGone && m.Role == "m1" {
			byRole = append(byRole, m)
		}
	}
	require.True(t, slices.Equal(present, v.AllServers()), "present")
	require.True(t, slices.Equal(byModel, v.Servers("m1")), "by name")
	require.True(t, slices.Equal(all, v.Members("")), "all members")
	require.True(t, slices.Equal(byRole, v.Members("m1")), "members by role")
}

// Guards against a plain server that is listed under only one of its services, and
// against lost records.
func TestViewPlainServicesAndRecords(t *testing.T) {
	v := NewView()
	s := &Server{Announcement: Announcement{ID: "p", Services: []string{"tiles", "alerts"}, State: StateServing}}
	v.Apply([]Update{{Server: s}, {Record: &Record{Key: "k", Version: 3}}})
	require.Equal(t, []*Server{s}, v.Servers("tiles"))
	require.Equal(t, []*Server{s}, v.Servers("alerts"))
	r, ok := v.Record("k")
	require.True(t, ok)
	require.EqualValues(t, 3, r.Version)
	_, ok = v.Record("other")
	require.False(t, ok)
}

func viewWithServers(n int) *View {
	v := NewView()
	var batch []Update
	for i := range n {
		batch = append(batch, Update{Server: server(fmt.Sprintf("s%04d", i), "m", StateServing)})
	}
	v.Apply(batch)
	return v
}

// Guards against writes to a snapshot that a reader can see. Needs the race detector.
func TestViewReadersDuringWrites(t *testing.T) {
	v := viewWithServers(100)
	var readers sync.WaitGroup
	stop := make(chan struct{})
	for range 4 {
		readers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				for _, s := range v.Servers("m") {
					if s.State != StateServing {
						t.Error("a server that isn't serving was listed")
					}
				}
			}
		})
	}
	for i := range 300 {
		states := []State{StateLeaving, StateServing, StateGone}
		v.Apply([]Update{{Server: server(fmt.Sprintf("s%04d", i%100), "m", states[i%3])}})
	}
	close(stop)
	readers.Wait()
}

// Guards against allocations in queries that the router makes for every request.
func TestViewReadsDoNotAllocate(t *testing.T) {
	v := viewWithServers(600)
	require.Zero(t, testing.AllocsPerRun(100, func() {
		n := 0
		for _, s := range v.Servers("m") {
			n += s.Slots
		}
		_, _ = v.Server("s0001")
		_ = v.Members(RoleEntry)
		_ = v.AllServers()
	}))
}

func BenchmarkViewRead600(b *testing.B) {
	v := viewWithServers(600)
	b.ReportAllocs()
	for b.Loop() {
		n := 0
		for _, s := range v.Servers("m") {
			n += s.Slots
		}
	}
}

func BenchmarkViewApplyLoad600(b *testing.B) {
	v := viewWithServers(600)
	batch := []Update{{Server: server("s0300", "m", StateServing)}}
	b.ReportAllocs()
	for b.Loop() {
		v.Apply(batch)
	}
}
