package origin

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// world is a site without a network: replicas hold versions and records, entries begin streams, and any
// process may lose its memory or its disk.
type world struct {
	t        *rapid.T
	now      time.Time
	replicas []*modelReplica
	entries  []*modelEntry
	servers  []modelServer // that serve
	streams  []modelStream
	started  int
}

type modelReplica struct {
	versions *Versions
	table    *Table
	disk     modelDisk
	records  []Record // on disk
	up       bool
}

// modelDisk is what a replica has on disk of the versions.
type modelDisk struct {
	versions []ServiceVersion
	complete bool
}

// save writes the versions that a replica holds.
func (r *modelReplica) save(now time.Time) {
	r.disk = modelDisk{r.versions.All(), r.versions.Complete(now)}
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
	w := &world{t: t, now: time.Unix(1_700_000_000, 0)}
	for range replicas {
		w.replicas = append(w.replicas, &modelReplica{versions: NewVersions(true, w.now), table: NewTable(), up: true})
	}
	for range entries {
		w.entries = append(w.entries, &modelEntry{own: NewTable()})
	}
	return w
}

// draw returns one of a list at random.
func draw[T any](w *world, list []T, label string) T { return rapid.SampledFrom(list).Draw(w.t, label) }

// startServer starts a server. Entries learn of it only once a majority of the replicas holds its version.
func (w *world) startServer() {
	s := modelServer{id: fmt.Sprint("i", w.started), version: draw(w, []string{"v1", "v2", "v3"}, "version")}
	w.started++
	sv := ServiceVersion{Service: modelService, Version: s.version}
	holders := 0
	for _, r := range w.replicas {
		if r.up && rapid.Float64().Draw(w.t, "reached") < 0.9 {
			r.versions.See(sv, w.now)
			r.save(w.now)
			holders++
		}
	}
	if holders > len(w.replicas)/2 {
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
		e.mixed = e.mixed || r.up && len(r.versions.Mixed(w.now)) > 0
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

// disturbReplica stops a replica, or starts it with its disk; wiped says that it lost that, which happens to
// one replica at a time.
func (w *world) disturbReplica(wiped bool) {
	r := draw(w, w.replicas, "replica")
	if r.up && !wiped {
		r.up = false
		return
	}
	if wiped {
		for _, other := range w.replicas {
			if other != r && !other.versions.Complete(w.now) {
				return // no more disks are lost than a majority survives
			}
		}
		r.disk, r.records = modelDisk{}, nil
	}
	r.up, r.table = true, NewTable()
	r.versions = NewVersions(false, w.now)
	r.versions.Restore(r.disk.versions, r.disk.complete, w.now)
	for i := range r.records {
		r.table.Add(&r.records[i], w.now)
	}
}

// sweep lets the replicas that are up see the servers that serve.
func (w *world) sweep() {
	for _, r := range w.replicas {
		if !r.up {
			continue
		}
		for _, s := range w.servers {
			r.versions.See(ServiceVersion{Service: modelService, Version: s.version}, w.now)
		}
		r.versions.Expire(w.now)
		r.save(w.now)
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
			reply := Reply{Versions: r.versions.Of(modelService, w.now), Complete: r.versions.Complete(w.now), Voter: true, Voters: len(w.replicas)}
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
// and go, and entries, replicas, disks and records are lost in any order.
func TestStreamsGoOnAtTheirVersionOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, draw(&world{t: t}, []int{1, 3, 5}, "replicas"), 3)
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			w.now = w.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "gap")) * time.Millisecond)
			w.sweep()
			switch rapid.IntRange(0, 11).Draw(t, "step") {
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
			default:
				w.takeUp()
			}
		}
		for range 10 {
			w.takeUp()
		}
	})
}
