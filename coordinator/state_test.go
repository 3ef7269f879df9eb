package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/policy/limit"
	"savoryreel.example/savoryreel/policy/origin"
	"savoryreel.example/savoryreel/policy/referral"
	"savoryreel.example/savoryreel/policy/suspect"
	"savoryreel.example/savoryreel/replica"
	"savoryreel.example/savoryreel/replica/roster"
	"savoryreel.example/savoryreel/replica/storage"
)

func newEntry(t *testing.T, kind uint8, v any) replica.Entry {
	data, err := msgpack.Marshal(v)
	require.NoError(t, err)
	return replica.Entry{Kind: kind, Data: data}
}

func applyTo(t *testing.T, s *state, kind uint8, v any) any {
	t.Helper()
	result, err := s.Apply(newEntry(t, kind, v))
	require.NoError(t, err)
	return result
}

func newEmptyState() *state {
	return newState(func(uint64, []byte) {}, func([]roster.Member) {}, func([]uint64) {}, func([]api.Rollout) {})
}

// An older change arrives after a newer one, or the same revision with another content.
// Guards against replacing the newer or the first one.
func TestRevisionNeverDecreases(t *testing.T) {
	s := newEmptyState()
	require.Equal(t, uint64(3), applyTo(t, s, kindRevise, reviseCommand{Revision: 3, Document: []byte("three")}))
	require.Equal(t, uint64(3), applyTo(t, s, kindRevise, reviseCommand{Revision: 2, Document: []byte("two")}))
	require.Equal(t, uint64(3), applyTo(t, s, kindRevise, reviseCommand{Revision: 3, Document: []byte("other")}))
	revision, document := s.catalogue()
	require.Equal(t, uint64(3), revision)
	require.Equal(t, "three", string(document))
}

// The reply to a register request is lost and the request is repeated. Guards against
// issuing a second id, which no replica would use.
func TestSameNonceGetsTheSameID(t *testing.T) {
	s := newEmptyState()
	applyTo(t, s, kindFound, foundCommand{Registrations: numberFounders([]string{"a", "b", "c"})})
	first := applyTo(t, s, kindRegister, registerCommand{Address: "d", Nonce: "n"})
	require.Equal(t, uint64(4), first)
	require.Equal(t, first, applyTo(t, s, kindRegister, registerCommand{Address: "d", Nonce: "n"}))
	applyTo(t, s, kindRetire, retireCommand{ID: 4})
	require.Equal(t, uint64(5), applyTo(t, s, kindRegister, registerCommand{Address: "d", Nonce: "m"}), "ids are never reused")
	_, known, given := s.lookupRegistration(4)
	require.True(t, !known && given)
	_, known, given = s.lookupRegistration(9)
	require.True(t, !known && !given)
}

// A replica requests an id while the group is being founded. Guards against issuing a
// founder's id, since two replicas with one id could elect two leaders.
func TestNoIDIsIssuedBeforeFounding(t *testing.T) {
	s := newEmptyState()
	require.Equal(t, uint64(0), applyTo(t, s, kindRegister, registerCommand{Address: "d", Nonce: "n"}))
	applyTo(t, s, kindFound, foundCommand{Registrations: numberFounders([]string{"a", "b", "c"})})
	require.Equal(t, uint64(4), applyTo(t, s, kindRegister, registerCommand{Address: "d", Nonce: "n"}))
}

// A leader decides a window's usage and stops. Guards against its successor sending
// other counts for the same window.
func TestUsageIsDecidedOnce(t *testing.T) {
	s := newEmptyState()
	require.Equal(t, true, applyTo(t, s, kindUsage, usageWindow{Window: 7, Counts: map[string]int64{"w": 3}}))
	require.Equal(t, false, applyTo(t, s, kindUsage, usageWindow{Window: 7, Counts: map[string]int64{"w": 4}}))
	applyTo(t, s, kindUsageSent, usageSentCommand{Window: 7})
	require.Equal(t, []usageWindow{{Window: 7, Counts: map[string]int64{"w": 3}, Sent: true}}, s.usageWindows())
	require.Equal(t, true, applyTo(t, s, kindUsage, usageWindow{Window: 12, Oldest: 8}))
	require.Equal(t, []usageWindow{{Window: 12, Oldest: 8}}, s.usageWindows(), "windows that are no longer reported are dropped")
	require.Equal(t, false, applyTo(t, s, kindUsage, usageWindow{Window: 7, Counts: map[string]int64{"w": 4}}))
}

// Guards against a snapshot that lacks part of the state.
func TestSnapshotRestoresAllState(t *testing.T) {
	s := newEmptyState()
	applyTo(t, s, kindFound, foundCommand{Registrations: numberFounders([]string{"a", "b"})})
	applyTo(t, s, kindRegister, registerCommand{Address: "d", Nonce: "n"})
	applyTo(t, s, kindRevise, reviseCommand{Revision: 3, Document: []byte("three")})
	applyTo(t, s, kindUsage, usageWindow{Window: 7, Counts: map[string]int64{"w": 3}})
	applyTo(t, s, kindSize, sizeCommand{Service: "chat", Servers: 12})
	applyTo(t, s, kindSize, sizeCommand{Service: "chat", Servers: 5})
	require.Equal(t, suspect.Grant{Granted: true}, applyTo(t, s, kindTrial, trialCommand{Fingerprint: 7, At: time.Unix(1, 0)}))
	enc, err := s.Snapshot()
	require.NoError(t, err)
	restored := uint64(0)
	other := newState(func(revision uint64, _ []byte) { restored = revision }, func([]roster.Member) {}, func([]uint64) {}, func([]api.Rollout) {})
	require.NoError(t, other.Restore(enc))
	require.Equal(t, uint64(3), restored)
	require.Equal(t, s.members(), other.members())
	require.Equal(t, s.usageWindows(), other.usageWindows())
	require.Equal(t, s.highestID, other.highestID)
	require.Equal(t, 12, other.initialSize("chat"), "the first size is kept")
	require.False(t, other.checkTrial([]uint64{7}, 0, time.Unix(2, 0)).Granted)
}

// Guards against a harmless suspect that loses its trials, and is refused for an hour, when replies are
// lost: a trial that is asked for again, through whatever replica, is granted again and counted once.
func TestTrialAskedForAgainIsGrantedAgain(t *testing.T) {
	s := newEmptyState()
	first := trialCommand{Fingerprint: 7, Ask: 1, At: time.Unix(1, 0)}
	again := first
	again.At = time.Unix(2, 0) // as another replica stamps it
	require.True(t, applyTo(t, s, kindTrial, first).(suspect.Grant).Granted)
	require.True(t, s.checkTrial([]uint64{7}, 1, again.At).Granted)
	require.True(t, applyTo(t, s, kindTrial, again).(suspect.Grant).Granted)
	require.False(t, s.checkTrial([]uint64{7}, 2, again.At).Granted)
	require.False(t, applyTo(t, s, kindTrial, trialCommand{Fingerprint: 7, Ask: 2, At: again.At}).(suspect.Grant).Granted)
	require.Equal(t, 1, s.trials.Snapshot()[7].Count)
}

// Guards against a replica with an empty disk that resumes under its old id and votes
// without the entries that it acknowledged.
func TestIdentityStore(t *testing.T) {
	store := identityStore{fs: storage.OS{}, dir: t.TempDir()}
	_, ok, err := store.load()
	require.NoError(t, err)
	require.False(t, ok)
	id := identity{ID: 2, Founders: numberFounders([]string{"a", "b"})}
	require.NoError(t, store.save(id))
	got, ok, err := store.load()
	require.NoError(t, err)
	require.True(t, ok)
	require.Equal(t, id, got)
	require.NoError(t, store.discard())
	_, ok, err = store.load()
	require.NoError(t, err)
	require.False(t, ok)
}

// Founders receive the same seeds in any order. Guards against different ids for the
// same founder.
func TestFounderIDsIgnoreSeedOrder(t *testing.T) {
	require.Equal(t, numberFounders([]string{"b", "a", "c"}), numberFounders([]string{"c", "b", "a", "a"}))
}

// Guards against a fencing number that is not higher than those issued before, in the
// same or an earlier term.
func TestFencingNumbersIncrease(t *testing.T) {
	var a, b fenceSequence
	x, y := a.issue(3), a.issue(3)
	require.Less(t, x, y)
	require.Less(t, y, b.issue(4))
	require.Less(t, y, a.issue(5))
}

// Guards against directing callers to another zone although their own has entries.
func TestEntriesOfTheCallersZoneFirst(t *testing.T) {
	require.Equal(t, []referral.Distance{0, 1, 2, 2}, []referral.Distance{distance(true, true), distance(true, false), distance(false, true), distance(false, false)})
}

// Guards against marking a server overdue whose heartbeat is a few seconds late.
func TestOverdueThresholdToleratesLateHeartbeats(t *testing.T) {
	require.Greater(t, overdueAfter(1200*time.Millisecond), 4*time.Second)
}

// Guards against shares of the limits, or versions, that are lost or granted twice when a replica starts from a
// snapshot.
func TestGrantsAndVersionsOutlastASnapshot(t *testing.T) {
	s := newEmptyState()
	first := limit.Change{Set: []limit.Grant{{Name: "a", Divisor: 2, Reserved: 2}, {Name: "b", Divisor: 2, Reserved: 2}}}
	e := newEntry(t, kindShares, first)
	e.Index = 7
	done, err := s.Apply(e)
	require.NoError(t, err)
	require.Equal(t, true, done)
	v1, v2 := origin.ServiceVersion{Service: "web", Version: "v1"}, origin.ServiceVersion{Service: "web", Version: "v2"}
	applyTo(t, s, kindVersions, versionsCommand{Add: []origin.ServiceVersion{v1, v2, v1}})
	applyTo(t, s, kindVersions, versionsCommand{Remove: []origin.ServiceVersion{v1}})
	enc, err := s.Snapshot()
	require.NoError(t, err)
	restored := newEmptyState()
	require.NoError(t, restored.Restore(enc))
	require.Equal(t, s.shares(), restored.shares())
	require.Equal(t, []origin.ServiceVersion{v2}, restored.serviceVersions())
	done, err = restored.Apply(e)
	require.NoError(t, err)
	require.Equal(t, false, done, "it is based on an earlier table")
}
