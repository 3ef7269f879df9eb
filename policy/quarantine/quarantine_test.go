package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"savoryreel.example/savoryreel/policy"
)

var epoch = time.Unix(1_800_000_000, 0)

// poison is the fingerprint that crashes every server; the others are harmless.
const poison = 1

// fleet simulates entries and servers. Entries learn of crashes and of each other's records
// with a delay.
type fleet struct {
	now            time.Time
	ids            []string
	sets           []*Set
	incarnations   []uint64 // by server
	openRuns       []openRun
	notices        []func()
	refused        int
	lost           map[Server]bool // servers crashed by poison
	wronglyRefused map[uint64]bool // harmless fingerprints that were quarantined
}

type openRun struct {
	entry int
	run   Run
}

func newFleet(entries, servers int, askOwner bool) *fleet {
	f := &fleet{now: epoch, incarnations: make([]uint64, servers), lost: map[Server]bool{}, wronglyRefused: map[uint64]bool{}}
	cfg := DefaultConfig()
	cfg.Settle = 0 // the bound must hold without the delay; see TestTrialWaitsForSettleDelay
	cfg.AskOwner = askOwner
	for i := range entries {
		set, err := New(cfg)
		if err != nil {
			panic(err)
		}
		f.sets = append(f.sets, set)
		f.ids = append(f.ids, fmt.Sprint("entry-", i))
	}
	return f
}

func (f *fleet) server(i int) Server { return Server{fmt.Sprint("server-", i), f.incarnations[i]} }

func (f *fleet) view(entry int) *View {
	var servers []Server
	for i := range f.incarnations {
		servers = append(servers, f.server(i))
	}
	return NewView(f.ids[entry], f.ids, servers)
}

// send sends a request to an entry and follows the verdict.
func (f *fleet) send(entry int, fingerprint uint64, server int, reachable bool) Verdict {
	f.now = f.now.Add(time.Millisecond)
	set := f.sets[entry]
	query := Query{Now: f.now, Fingerprint: fingerprint, Server: f.server(server), View: f.view(entry)}
	v := set.Admit(query)
	if v.Action == ActionPass && reachable {
		for i, id := range f.ids {
			if id == v.Owner {
				f.sets[i].Merge(v.Record, f.now)
				query.View = f.view(i)
				v = f.sets[i].Admit(query)
			}
		}
		set.Merge(v.Record, f.now)
	}
	if v.Action == ActionPass && !reachable {
		query.Unreachable = true
		v = set.Admit(query)
	}
	switch v.Action {
	case ActionRun:
		f.openRuns = append(f.openRuns, openRun{entry, set.Start(fingerprint, v)})
	case ActionRefuse:
		f.refused++
		f.wronglyRefused[fingerprint] = f.wronglyRefused[fingerprint] || fingerprint != poison
	}
	return v
}

// finish ends an open run. A run of poison crashes the server and all other runs on it.
func (f *fleet) finish(i int) {
	ended := f.openRuns[i]
	if ended.run.Fingerprint != poison {
		f.openRuns = append(f.openRuns[:i:i], f.openRuns[i+1:]...)
		record := f.sets[ended.entry].Finish(ended.run, f.now)
		f.notices = append(f.notices, func() { f.broadcast([]Record{record}) })
		return
	}
	server := ended.run.Server
	f.lost[server] = true
	for i := range f.incarnations {
		if f.server(i) == server {
			f.incarnations[i]++
		}
	}
	var remaining []openRun
	for _, other := range f.openRuns {
		if other.run.Server != server {
			remaining = append(remaining, other)
		}
	}
	f.openRuns = remaining
	for _, set := range f.sets {
		f.notices = append(f.notices, func() { f.broadcast(set.Crashed(server, f.now)) })
	}
}

// broadcast merges records at all entries.
func (f *fleet) broadcast(records []Record) {
	for _, set := range f.sets {
		for _, record := range records {
			set.Merge(record, f.now)
		}
	}
}

// Guards against more than two servers crashed by one request that is resent through every
// entry while records of the crashes arrive late and more than once.
func TestAtMostTwoServersLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 5).Draw(t, "entries"), 6, true)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			f.now = f.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			switch action := rapid.IntRange(0, 9).Draw(t, "action"); {
			case action < 5:
				entry := rapid.IntRange(0, len(f.sets)-1).Draw(t, "entry")
				fingerprint := rapid.Uint64Range(poison, 4).Draw(t, "fingerprint")
				v := f.send(entry, fingerprint, rapid.IntRange(0, 5).Draw(t, "server"), action > 0)
				require.NotEqual(t, ActionPass, v.Action)
			case action < 8 && len(f.openRuns) > 0:
				f.finish(rapid.IntRange(0, len(f.openRuns)-1).Draw(t, "run"))
			case len(f.notices) > 0:
				i := rapid.IntRange(0, len(f.notices)-1).Draw(t, "notice")
				f.notices[i]()
				if action == 9 {
					f.notices = append(f.notices[:i:i], f.notices[i+1:]...)
				}
			}
			require.LessOrEqual(t, len(f.lost), 2)
		}
	})
}

// Guards against more than two crashed servers without AskOwner, if records of a crash reach
// every entry before the request is resent and only one copy runs at a time.
func TestAtMostTwoServersLostWithoutAskingOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(4, 6, false)
		for range rapid.IntRange(1, 40).Draw(t, "sends") {
			f.send(rapid.IntRange(0, 3).Draw(t, "entry"), poison, rapid.IntRange(0, 5).Draw(t, "server"), true)
			if len(f.openRuns) > 0 {
				f.finish(0)
			}
			for _, notice := range f.notices {
				notice()
			}
			f.notices = nil
			require.LessOrEqual(t, len(f.lost), 2)
		}
	})
}

// Guards against refusing the harmless requests that ran on a crashed server: each must be
// answered after one trial, and only the request that crashed it is refused.
func TestBystandersAreClearedAndTheGuiltyIsRefused(t *testing.T) {
	for _, askOwner := range []bool{true, false} {
		t.Run(fmt.Sprintf("AskOwner=%v", askOwner), func(t *testing.T) { testBystanders(t, newFleet(3, 6, askOwner)) })
	}
}

func testBystanders(t *testing.T, f *fleet) {
	for fingerprint := uint64(poison); fingerprint <= 5; fingerprint++ {
		f.send(int(fingerprint)%3, fingerprint, 2, true)
	}
	f.finish(0)
	for _, notice := range f.notices {
		notice()
	}
	f.notices = nil
	finished := map[uint64]bool{}
	for round := range 40 {
		busy := map[Server]int{}
		for fingerprint := uint64(poison); fingerprint <= 5; fingerprint++ {
			if !finished[fingerprint] {
				f.send(round%3, fingerprint, 3, true)
			}
		}
		for _, open := range f.openRuns {
			busy[open.run.Server]++
			require.Equal(t, 1, busy[open.run.Server], "suspects on one server")
			finished[open.run.Fingerprint] = true
		}
		for len(f.openRuns) > 0 {
			f.finish(0)
		}
		for _, notice := range f.notices {
			notice()
		}
		f.notices = nil
	}
	require.Len(t, f.lost, 2)
	require.Len(t, finished, 5)
	require.Empty(t, f.wronglyRefused)
	for fingerprint := uint64(poison + 1); fingerprint <= 5; fingerprint++ {
		require.Equal(t, ReasonKnownGood, f.send(0, fingerprint, 0, true).Reason)
	}
	for entry := range f.sets {
		v := f.send(entry, poison, 0, true)
		require.Equal(t, ActionRefuse, v.Action)
		require.Equal(t, ReasonQuarantined, v.Reason)
		require.True(t, v.Until.After(f.now))
	}
	f.now = f.now.Add(DefaultConfig().Keep)
	for _, set := range f.sets {
		set.Expire(f.now)
		require.Zero(t, set.Len())
	}
}

// Guards against treating a request as new when the entry that ran it is lost together with
// the server: the owner must count the crash.
func TestOwnerCountsCrashOfLostRunner(t *testing.T) {
	f := newFleet(2, 4, true)
	fingerprint := uint64(100)
	for f.view(0).Owner(fingerprint) != f.ids[1] {
		fingerprint++
	}
	v := f.send(0, fingerprint, 3, true)
	require.Equal(t, ReasonFirstRuns, v.Reason)
	require.Len(t, f.sets[1].Crashed(v.Server, f.now), 1)
	require.Equal(t, ReasonTrial, f.send(1, fingerprint, 3, true).Reason)
}

// Guards against quarantining a harmless suspect because it is tried, right after the crash,
// on a server that runs the cause of the crash.
func TestTrialWaitsForSettleDelay(t *testing.T) {
	cfg := DefaultConfig()
	set, err := New(cfg)
	require.NoError(t, err)
	first, second := Server{"a", 1}, Server{"b", 1}
	view := NewView("entry", []string{"entry"}, []Server{second})
	now := time.Unix(1000, 0)
	query := Query{Now: now, Fingerprint: 9, Server: first, View: view}
	set.Start(9, set.Admit(query))
	require.Len(t, set.Crashed(first, now), 1)
	require.Equal(t, ReasonSettling, set.Admit(query).Reason)
	guilty := Record{Fingerprint: poison, Exposures: []Exposure{
		{Server: first, Grant: 1, State: StateCrashed, At: now}, {Server: second, Grant: 2, State: StateTrial, At: now},
	}}
	set.Merge(guilty, now.Add(cfg.Settle/2))
	query.Now = now.Add(cfg.Settle)
	require.Equal(t, ReasonNoFreeServer, set.Admit(query).Reason)
	guilty.Exposures[1].State = StateCrashed
	set.Merge(guilty, query.Now)
	require.Equal(t, ReasonTrial, set.Admit(query).Reason)
}

// Guards against entries that disagree after receiving the same records in different orders:
// a request refused at one entry would run at another.
func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []Record
		for range rapid.IntRange(1, 8).Draw(t, "records") {
			record := Record{Fingerprint: poison}
			for range rapid.IntRange(1, 4).Draw(t, "exposures") {
				record.mergeExposure(Exposure{
					Server: Server{fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "server")), 1},
					Grant:  rapid.Uint64Range(0, 1).Draw(t, "grant"),
					State:  State(rapid.IntRange(0, 3).Draw(t, "state")),
					At:     epoch.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "at")) * time.Second),
				})
			}
			records = append(records, record)
		}
		a, b := newFleet(2, 1, true).sets[0], newFleet(2, 1, true).sets[1]
		for _, record := range records {
			a.Merge(record, epoch)
		}
		order := rapid.Permutation(append(records, records...)).Draw(t, "order")
		for _, record := range order {
			b.Merge(record, epoch)
		}
		left, right := *a.records[poison], *b.records[poison]
		left.changed, right.changed = 0, 0
		require.Equal(t, left, right)
	})
}

// Guards against unbounded memory, and against evicting a crash record before harmless ones.
func TestEvictionKeepsCrashRecords(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxRecords = 64
	set, err := New(cfg)
	require.NoError(t, err)
	crashed := Record{Fingerprint: poison}
	crashed.mergeExposure(Exposure{Server: Server{"s", 1}, State: StateCrashed, At: epoch})
	set.Merge(crashed, epoch)
	view := NewView("e", []string{"e"}, []Server{{"s", 2}})
	for fingerprint := range uint64(1000) {
		set.Admit(Query{Now: epoch, Fingerprint: fingerprint + 2, Server: Server{"s", 2}, View: view})
		require.LessOrEqual(t, set.Len(), 64)
	}
	delta, _ := set.Delta(0)
	require.Len(t, delta, 1, "the crash record is evicted after harmless ones")
}

// Guards against a configuration error that does not name the invalid field.
func TestConfigNamesTheField(t *testing.T) {
	cfg := DefaultConfig()
	cfg.Keep = time.Second
	_, err := New(cfg)
	var fault *policy.ConfigError
	require.ErrorAs(t, err, &fault)
	require.Equal(t, "Keep", fault.Field)
}
