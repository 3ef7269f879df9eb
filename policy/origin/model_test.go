package origin

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"savoryreel.example/savoryreel/policy/quorum"
)

// world is a site without a network: replicas hold versions and records, entries begin streams, and any
// process may lose its memory, its disk, or its place to another. The replicated log of versions is taken to
// be correct.
type world struct {
	t        *rapid.T
	now      time.Time
	replicas []*modelReplica
	log      [][]ServiceVersion // the versions after each commit
	voters   []quorum.View      // the sets of voters that followed each other; Self is not set
	lastID   uint64
	entries  []*modelEntry
	servers  []modelServer // that serve
	streams  []modelStream
	started  int
}

type modelReplica struct {
	id       uint64
	versions *Versions
	table    *Table
	logged   int      // index in world.log of the last commit that is in its log
	applied  int      // of the last that it has applied
	saved    int      // of the last that it has on disk as applied
	view     int      // index in world.voters
	records  []Record // on disk
	up       bool
}

type modelEntry struct {
	own   *Table
	view  []modelServer // what it knows, which may be old
	mixed bool
}

type modelServer struct {
	id      string
	version string
}

type modelStream struct {
	key     Key
	version string // that truly began it
	at      time.Time
}

const modelService = "s"

func newWorld(t *rapid.T, replicas, entries int) *world {
	w := &world{t: t, now: time.Unix(1_700_000_000, 0), log: [][]ServiceVersion{nil}}
	var ids []uint64
	for range replicas {
		w.lastID++
		ids = append(ids, w.lastID)
		w.replicas = append(w.replicas, &modelReplica{id: w.lastID, versions: NewVersions(), table: NewTable(), up: true})
	}
	w.voters = []quorum.View{{Voters: ids}}
	for range entries {
		w.entries = append(w.entries, &modelEntry{own: NewTable()})
	}
	return w
}

// draw returns one of a list at random.
func draw[T any](w *world, list []T, label string) T { return rapid.SampledFrom(list).Draw(w.t, label) }

// viewOf returns a replica's view of the voters.
func (w *world) viewOf(r *modelReplica) quorum.View {
	v := w.voters[r.view]
	v.Self = r.id
	return v
}

// newestVoters returns the voters of today.
func (w *world) newestVoters() quorum.View { return w.voters[len(w.voters)-1] }

// isMajority reports whether these replicas are a majority of the voters.
func (w *world) isMajority(list []*modelReplica) bool {
	var views []quorum.View
	for _, r := range list {
		views = append(views, quorum.View{Self: r.id})
	}
	return quorum.Majority(views, []quorum.View{w.newestVoters()})
}

// commit appends versions to the log of some replicas, and reports whether they are a majority of the voters
// that had all of the log before.
func (w *world) commit(versions []ServiceVersion) bool {
	var holders []*modelReplica
	for _, r := range w.replicas {
		if r.up && r.logged == len(w.log)-1 && rapid.Float64().Draw(w.t, "reached") < 0.9 {
			holders = append(holders, r)
		}
	}
	if !w.isMajority(holders) {
		return false
	}
	w.log = append(w.log, versions)
	for _, r := range holders {
		r.logged = len(w.log) - 1
	}
	holders[0].applied = holders[0].logged // the leader
	return true
}

// startServer starts a server. Entries learn of it only once its version is committed.
func (w *world) startServer() {
	s := modelServer{id: fmt.Sprint("i", w.started), version: draw(w, []string{"v1", "v2", "v3"}, "version")}
	w.started++
	sv := ServiceVersion{Service: modelService, Version: s.version}
	last := w.log[len(w.log)-1]
	if slices.Contains(last, sv) || w.commit(append(slices.Clone(last), sv)) {
		w.servers = append(w.servers, s)
	}
}

// stopServer ends a server for good.
func (w *world) stopServer() {
	if len(w.servers) > 0 {
		i := rapid.IntRange(0, len(w.servers)-1).Draw(w.t, "server")
		w.servers = slices.Delete(w.servers, i, i+1)
	}
}

// inform updates what an entry knows of the servers, and whether a replica has seen several versions.
func (w *world) inform() {
	e := draw(w, w.entries, "entry")
	e.view = slices.Clone(w.servers)
	for _, r := range w.replicas {
		e.mixed = e.mixed || r.up && len(r.versions.Mixed(w.log[r.applied], w.now)) > 0
	}
	for _, s := range e.view {
		e.mixed = e.mixed || s.version != e.view[0].version
	}
}

// beginStream has an entry begin a stream at a server that it knows and that still serves. Its record is
// sent to two replicas if the entry knows of several versions, and may be lost.
func (w *world) beginStream() {
	e := draw(w, w.entries, "entry")
	serving := slices.DeleteFunc(slices.Clone(e.view), func(s modelServer) bool { return !slices.Contains(w.servers, s) })
	if len(serving) == 0 {
		return
	}
	s := draw(w, serving, "server")
	key := Key(len(w.streams) + 1)
	w.streams = append(w.streams, modelStream{key: key, version: s.version, at: w.now})
	r := Record{Key: key, Origin: Origin{Service: modelService, Version: s.version, Server: s.id, Incarnation: 1}, Left: Retention}
	e.own.Add(&r, w.now)
	if !e.mixed {
		return
	}
	for range 2 {
		if h := draw(w, w.replicas, "holder"); h.up && rapid.Float64().Draw(w.t, "sent") < 0.8 {
			h.table.Add(&r, w.now)
			if rapid.Bool().Draw(w.t, "synced") {
				h.records = append(h.records, r)
			}
		}
	}
}

// restartEntries takes the memory of one entry or of all.
func (w *world) restartEntries() {
	all := rapid.Bool().Draw(w.t, "all")
	for i := range w.entries {
		if all || rapid.Bool().Draw(w.t, "this") {
			w.entries[i] = &modelEntry{own: NewTable()}
		}
	}
}

// disturbReplica stops a replica, or starts it with its disk; lost says that another takes its place, without a
// disk, which happens only while a majority of the voters without it has all of the log.
func (w *world) disturbReplica(lost bool) {
	r := draw(w, w.replicas, "replica")
	switch {
	case lost && !w.isMajority(w.wholeWithout(r)):
		return
	case lost:
		w.lastID++
		r.id, r.logged, r.saved, r.view, r.records = w.lastID, 0, 0, 0, nil
	case r.up:
		r.up = false
		return
	}
	w.startReplica(r)
}

// startReplica starts a replica with what it has on disk.
func (w *world) startReplica(r *modelReplica) {
	r.up, r.applied, r.table, r.versions = true, r.saved, NewTable(), NewVersions()
	for i := range r.records {
		r.table.Add(&r.records[i], w.now)
	}
}

// restartAll restarts all processes.
func (w *world) restartAll() {
	for _, r := range w.replicas {
		w.startReplica(r)
	}
	for i := range w.entries {
		w.entries[i] = &modelEntry{own: NewTable()}
	}
}

// wholeWithout returns the replicas but one that run and have all of the log.
func (w *world) wholeWithout(but *modelReplica) (list []*modelReplica) {
	for _, r := range w.replicas {
		if r != but && r.up && r.logged == len(w.log)-1 {
			list = append(list, r)
		}
	}
	return list
}

// sweep lets the replicas that are up see the servers that serve, and those that reach a majority apply their
// logs. The voters change by one at a time, and versions of which no server is known are removed.
func (w *world) sweep() {
	known := make([]ServiceVersion, 0, len(w.servers))
	for _, s := range w.servers {
		known = append(known, ServiceVersion{Service: modelService, Version: s.version})
	}
	whole := w.wholeWithout(nil)
	for _, r := range w.replicas {
		if !r.up {
			continue
		}
		if w.isMajority(whole) && rapid.Float64().Draw(w.t, "follows") < 0.5 {
			r.logged, r.applied, r.view = len(w.log)-1, len(w.log)-1, len(w.voters)-1
		}
		if rapid.Bool().Draw(w.t, "saved") {
			r.saved = r.applied
		}
		for _, sv := range known {
			if rapid.Bool().Draw(w.t, "heard") {
				r.versions.See(sv, w.now)
			}
		}
		gone := r.versions.Expire(w.log[r.applied], w.now)
		if r.applied == len(w.log)-1 && len(gone) > 0 { // if it leads
			last := slices.DeleteFunc(slices.Clone(w.log[r.applied]), func(sv ServiceVersion) bool { return slices.Contains(gone, sv) })
			w.commit(last)
		}
	}
	if w.isMajority(w.wholeWithout(nil)) {
		w.changeVoters()
	}
}

// changeVoters removes a voter that is lost, or adds a replica that has all of the log.
func (w *world) changeVoters() {
	last := w.newestVoters()
	next := quorum.View{Index: last.Index + 1, Voters: slices.Clone(last.Voters)}
	isReplica := func(id uint64) bool {
		return slices.ContainsFunc(w.replicas, func(r *modelReplica) bool { return r.id == id })
	}
	for _, id := range last.Voters {
		if !isReplica(id) {
			next.Voters = slices.DeleteFunc(next.Voters, func(o uint64) bool { return o == id })
			w.voters = append(w.voters, next)
			return
		}
	}
	for _, r := range w.wholeWithout(nil) {
		if !slices.Contains(last.Voters, r.id) {
			next.Voters = append(next.Voters, r.id)
			w.voters = append(w.voters, next)
			return
		}
	}
}

// takeUp takes a stream up at any entry and checks that no other version than its own is chosen.
func (w *world) takeUp() (known bool) {
	if len(w.streams) == 0 {
		return false
	}
	s := draw(w, w.streams, "stream")
	if w.now.Sub(s.at) >= Retention {
		return false
	}
	e := draw(w, w.entries, "entry")
	began, ok := e.own.Get(s.key, w.now)
	if !ok {
		var replies []Reply
		reached := 0
		for _, r := range w.replicas {
			if !r.up || rapid.Float64().Draw(w.t, "answers") < 0.1 {
				continue
			}
			reached++
			reply := Reply{Versions: r.versions.Of(modelService, w.now), Applied: r.applied == r.logged, View: w.viewOf(r)}
			for _, sv := range w.log[r.applied] {
				reply.Versions = append(reply.Versions, sv.Version)
			}
			reply.Origin, reply.Found = r.table.Get(s.key, w.now)
			replies = append(replies, reply)
		}
		var knowledge Knowledge
		began, knowledge = Decide(modelService, replies, reached == len(w.replicas))
		ok = knowledge == Known
	}
	if ok {
		require.Equal(w.t, s.version, began.Version, "a stream goes on at another version than the one that began it")
	}
	return ok
}

// Guards against a stream that goes on at another version than the one that began it, while versions come
// and go, and entries, replicas, disks and records are lost, and replicas replaced, in any order.
func TestStreamsGoOnAtTheirVersionOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, draw(&world{t: t}, []int{1, 3, 5}, "replicas"), 3)
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			w.now = w.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "gap")) * time.Millisecond)
			w.sweep()
			switch rapid.IntRange(0, 12).Draw(t, "step") {
			case 0, 1:
				w.startServer()
			case 2:
				w.stopServer()
			case 3, 4:
				w.inform()
			case 5, 6, 7:
				w.beginStream()
			case 8:
				w.restartEntries()
			case 9:
				w.disturbReplica(false)
			case 10:
				w.disturbReplica(true)
			case 11:
				w.restartAll()
			default:
				w.takeUp()
			}
		}
		for range 10 {
			w.takeUp()
		}
	})
}
