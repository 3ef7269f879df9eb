package suspect

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

var epoch = time.Unix(1_700_000_000, 0)

func server(id string, incarnation uint64) Server { return Server{ID: id, Incarnation: incarnation} }

// Guards against a request that is taken to crash servers because one server broke off several
// of its attempts, or because of what happened long ago.
func TestDistinctServersCount(t *testing.T) {
	s := NewSet()
	count := func(fingerprint uint64) int { return s.requests[fingerprint].count() }
	s.RecordBreak(7, server("a", 1), epoch)
	s.RecordBreak(7, server("a", 1), epoch)
	require.Equal(t, 1, count(7))
	require.False(t, s.Suspect(7))
	s.RecordBreak(7, server("a", 2), epoch)
	require.Equal(t, 2, count(7))
	require.True(t, s.Suspect(7))
	s.RecordBreak(8, server("a", 2), epoch)
	require.Equal(t, 1, count(8))
	s.RecordBreak(7, server("b", 1), epoch.Add(TTL))
	require.Equal(t, 3, count(7))
	require.Equal(t, []uint64{7}, s.Suspects())
	s.Expire(epoch.Add(TTL + 1))
	require.False(t, s.Empty())
	require.False(t, s.Suspect(8))
	s.Expire(epoch.Add(2*TTL + 1))
	require.True(t, s.Empty())
}

// Guards against a request that many callers send and that is not run any more, although servers
// answer it.
func TestAnsweredRequestIsNoSuspect(t *testing.T) {
	s := NewSet()
	for _, id := range []string{"a", "b", "c"} {
		s.RecordBreak(7, server(id, 1), epoch)
	}
	require.True(t, s.Suspect(7))
	require.True(t, s.RecordAnswer(7, epoch.Add(time.Second)))
	require.False(t, s.RecordAnswer(7, epoch.Add(time.Second)))
	require.False(t, s.Suspect(7))
	require.True(t, s.Answered(7))
	s.RecordBreak(7, server("d", 1), epoch.Add(2*time.Second))
	require.False(t, s.Suspect(7), "one server since the answer")
	s.RecordBreak(7, server("e", 1), epoch.Add(2*time.Second))
	require.True(t, s.Suspect(7))
	require.False(t, s.Answered(7))
}

// Guards against unbounded memory while servers are lost, and against suspects that are forgotten
// for requests that broke off once.
func TestSuspectsOutlastOthers(t *testing.T) {
	s := NewSet()
	for _, id := range []string{"a", "b", "c"} {
		s.RecordBreak(7, server(id, 1), epoch)
	}
	for i := range uint64(2 * maxRequests) {
		s.RecordBreak(100+i, server("a", 1), epoch)
	}
	require.LessOrEqual(t, len(s.requests), maxRequests)
	require.True(t, s.Suspect(7))
}

// Guards against processes that disagree for ever, or records that never expire, since they pass
// on what they know in any order and more than once.
func TestSetsConverge(t *testing.T) {
	a, b := NewSet(), NewSet()
	a.RecordBreak(7, server("a", 1), epoch)
	b.RecordBreak(7, server("b", 1), epoch)
	exchange := func(from, to *Set, now time.Time) {
		records, _ := from.Since(0, 10, now.Add(-time.Second)) // a second on the way
		to.Merge(records, now)
	}
	now := epoch
	for range 5 {
		now = now.Add(time.Minute)
		exchange(a, b, now)
		exchange(b, a, now)
	}
	require.True(t, a.Suspect(7))
	require.True(t, b.Suspect(7))
	require.False(t, b.Merge(nil, now))
	require.True(t, a.RecordAnswer(7, now))
	exchange(a, b, now.Add(time.Second))
	require.False(t, b.Suspect(7))
	for _, s := range []*Set{a, b} {
		s.Expire(epoch.Add(TTL + 10*time.Second))
		require.True(t, s.Empty())
	}
}

// Guards against a report of many records that leaves some out.
func TestSinceReturnsAllChangesInParts(t *testing.T) {
	s := NewSet()
	for i := range uint64(25) {
		s.RecordBreak(i, server("a", 1), epoch)
	}
	seen, version := map[uint64]bool{}, uint64(0)
	for range 3 {
		var records []Record
		records, version = s.Since(version, 10, epoch)
		for _, r := range records {
			seen[r.Fingerprint] = true
		}
	}
	require.Len(t, seen, 25)
	records, _ := s.Since(version, 10, epoch)
	require.Empty(t, records)
}

// Guards against trials that never end, or that come before the last one's outcome is known.
func TestTrialsAreFewAndApart(t *testing.T) {
	trials := NewTrials(nil)
	granted := 0
	for now := epoch; now.Before(epoch.Add(TrialTTL)); now = now.Add(time.Second) {
		if trials.Take(7, now).Granted {
			granted++
			require.False(t, trials.Take(7, now.Add(firstTrialGap-1)).Granted)
		}
	}
	require.Equal(t, MaxTrials, granted)
	require.True(t, trials.Check(7, epoch.Add(TrialTTL/2)).Last)
	require.False(t, NewTrials(trials.Snapshot()).Check(7, epoch.Add(TrialTTL/2)).Granted)
	trials.Answered(7)
	require.True(t, trials.Check(7, epoch.Add(TrialTTL/2)).Granted)
	require.True(t, trials.Check(8, epoch).Granted)
}

// Guards against a leader whose clock is behind and that grants trials early.
func TestTrialsWithClocksThatDiffer(t *testing.T) {
	trials := NewTrials(nil)
	require.True(t, trials.Take(7, epoch).Granted)
	require.False(t, trials.Take(7, epoch.Add(-time.Hour)).Granted)
	require.False(t, trials.Take(7, epoch.Add(firstTrialGap-1)).Granted)
	require.True(t, trials.Take(7, epoch.Add(firstTrialGap)).Granted)
}

// Guards against a request that is refused by the list of a registry which is gone.
func TestListsOfLostRegistriesExpire(t *testing.T) {
	v := NewView()
	v.SetList("r1", []uint64{7}, epoch)
	require.True(t, v.Suspect(7))
	require.False(t, v.Empty())
	v.KeepList("r1", epoch.Add(listTTL))
	v.Expire(epoch.Add(2 * listTTL))
	require.True(t, v.Suspect(7))
	v.Expire(epoch.Add(2*listTTL + 1))
	require.False(t, v.Suspect(7))
}

// Guards against a suspect that stays one, although a server has answered it through an entry that
// saw none of its breaks.
func TestAnswerThroughAnyEntryReachesRegistries(t *testing.T) {
	r, v := NewRegistry(), NewView()
	r.Set.RecordBreak(7, server("a", 1), epoch)
	r.Set.RecordBreak(7, server("b", 1), epoch)
	require.True(t, r.Update())
	list, _ := r.List()
	v.SetList("r", list, epoch)
	changed, wasSuspect := v.RecordAnswer(7, epoch.Add(time.Second))
	require.True(t, changed && wasSuspect)
	changed, wasSuspect = v.RecordAnswer(8, epoch.Add(time.Second))
	require.False(t, changed || wasSuspect)
	records, _ := v.Set.Since(0, 10, epoch.Add(time.Second))
	require.True(t, r.Set.Merge(records, epoch.Add(time.Second)))
	require.True(t, r.Update())
	list, _ = r.List()
	require.Empty(t, list)
}

// Guards against a bound that is lost when all processes restart: a request that has had a trial
// stays listed until a server answers it.
func TestRequestsWithTrialsAreListed(t *testing.T) {
	r := NewRegistry()
	require.True(t, r.SetTrials([]uint64{7}))
	list, version := r.List()
	require.Equal(t, []uint64{7}, list)
	require.False(t, r.Update())
	r.Set.RecordBreak(7, server("a", 1), epoch)
	r.Set.RecordAnswer(7, epoch.Add(1))
	require.True(t, r.Update())
	list, next := r.List()
	require.Empty(t, list)
	require.Greater(t, next, version)
}

// Guards against a harmless request that is refused for an hour, since the replies to its trials were
// lost and each was asked for again: a trial that is granted again is the same one.
func TestTrialThatIsAskedForAgainCountsOnce(t *testing.T) {
	trials := NewTrials(nil)
	now := epoch
	for ask := uint64(1); ask <= MaxTrials; ask++ {
		for range 3 {
			require.True(t, trials.TakeOnce(7, ask, now).Granted)
			now = now.Add(time.Second)
		}
		require.False(t, trials.TakeOnce(7, ask+MaxTrials, now).Granted, "another entry's")
		now = now.Add(time.Minute * 5)
	}
	require.True(t, trials.TakeOnce(7, MaxTrials+1, now).Last)
	require.True(t, NewTrials(trials.Snapshot()).GrantedTo(7, MaxTrials), "restored from a snapshot")
	require.False(t, trials.GrantedTo(8, 0))
}

// Guards against a harmless suspect whose first trial has to wait, or that has fewer of them, since it
// was noted before.
func TestNotedSuspectHasAllItsTrials(t *testing.T) {
	trials := NewTrials(nil)
	trials.Note([]uint64{7, 8}, epoch)
	require.Equal(t, []uint64{9}, trials.Without([]uint64{7, 8, 9}))
	now := epoch
	for range MaxTrials {
		require.True(t, trials.Take(7, now).Granted)
		trials.Note([]uint64{7}, now)
		require.False(t, trials.Take(7, now).Granted)
		now = now.Add(5 * time.Minute)
	}
	require.True(t, trials.Take(7, now).Last)
	trials.Answered(8)
	require.Equal(t, []uint64{8}, trials.Without([]uint64{7, 8}))
}

// Guards against a memory of noted suspects that grows without bound.
func TestNotedSuspectsAreBounded(t *testing.T) {
	trials := NewTrials(nil)
	for fingerprint := range uint64(2 * maxTrialRequests) {
		trials.Note([]uint64{fingerprint}, epoch)
	}
	require.Equal(t, maxTrialRequests, trials.Requests())
	trials.Note([]uint64{1 << 60}, epoch.Add(TrialTTL+1))
	require.Equal(t, 1, trials.Requests())
}
