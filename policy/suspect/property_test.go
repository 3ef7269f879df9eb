package suspect

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	badPart    = PartFingerprint(1)
	sharedPart = PartFingerprint(2) // of all requests
)

// breakOff lets a request with properties break off on a new server.
func breakOff(v *View, n int, now time.Time, properties ...uint64) {
	v.RecordBreak(properties, server(fmt.Sprint("s", n), 1), now)
}

// Guards against a part that crashes servers in requests of which no two are alike, and against the part
// that precedes it in all requests being taken for it.
func TestPartIsFoundBehindASharedOne(t *testing.T) {
	v, now := NewView(), epoch
	for n := range 4 {
		v.RecordAnswer(sharedPart, now)
		now = now.Add(time.Second)
		breakOff(v, n, now, sharedPart, badPart, RequestFingerprint(uint64(100+n)))
		require.Equal(t, n >= 1, v.Suspect(badPart), "after %d", n+1)
		require.False(t, v.Suspect(sharedPart))
	}
}

// Guards against a shared part that is suspected as soon as the answers pause while servers crash, and
// against one that turns bad and is never suspected because it was sound before.
func TestProvenPartNeedsMoreEvidence(t *testing.T) {
	v, now := NewView(), epoch
	v.RecordAnswer(sharedPart, now)
	for n := range provenThreshold {
		now = now.Add(time.Second)
		breakOff(v, n, now, sharedPart)
		require.Equal(t, n == provenThreshold-1, v.Suspect(sharedPart), "after %d", n+1)
	}
	v.RecordAnswer(sharedPart, now.Add(time.Second))
	require.False(t, v.Suspect(sharedPart))
	now = now.Add(2 * provenTTL)
	breakOff(v, 20, now, sharedPart)
	breakOff(v, 21, now.Add(time.Second), sharedPart)
	require.True(t, v.Suspect(sharedPart), "the last answer is too long ago")
}

// Guards against parts that are suspected because many servers are lost at once, as with a zone.
func TestServersThatEndTogetherAreOneCrash(t *testing.T) {
	v, now := NewView(), epoch
	for n := range 8 {
		breakOff(v, n, now.Add(time.Duration(n)*separateCrashes/10), badPart)
	}
	require.False(t, v.Suspect(badPart))
	breakOff(v, 8, now.Add(2*separateCrashes), badPart)
	require.False(t, v.Suspect(badPart), "the record has room for so many servers only")
	v = NewView()
	breakOff(v, 0, now, badPart)
	breakOff(v, 1, now.Add(separateCrashes), badPart)
	require.True(t, v.Suspect(badPart))
}

// Guards against registries and entries that disagree on a part because only one of them saw its answers.
func TestAnswersTravelWithRecords(t *testing.T) {
	entry, registry, now := NewView(), NewRegistry(), epoch
	entry.RecordAnswer(sharedPart, now)
	for n := range 2 {
		now = now.Add(time.Second)
		breakOff(entry, n, now, sharedPart, badPart)
	}
	records, _ := entry.Set.Since(0, 100, now)
	registry.Set.Merge(records, now)
	registry.Update()
	list, _ := registry.List()
	require.Equal(t, []uint64{badPart}, list)
}

// Guards against a trial of a shared part that is lost to a request with a rarer one, so that sound
// requests wait for the next.
func TestTrialsAreTakenOfTheRarerPart(t *testing.T) {
	v := NewView()
	whole := RequestFingerprint(5)
	v.RecordAnswer(sharedPart, epoch)
	v.SetList("r", []uint64{sharedPart, badPart}, epoch)
	if sharedPart > badPart {
		v.SetList("r", []uint64{badPart, sharedPart}, epoch)
	}
	require.Equal(t, []uint64{badPart}, v.Needed([]uint64{sharedPart, badPart, whole}, epoch))
	require.Equal(t, []uint64{sharedPart}, v.Needed([]uint64{sharedPart, whole}, epoch))
	require.Empty(t, v.Needed([]uint64{whole}, epoch))
}

// Guards against trials that are taken though another one of the same send is refused.
func TestTrialsOfOneSendAreTakenTogether(t *testing.T) {
	trials, now := NewTrials(nil), epoch
	require.True(t, trials.Take(badPart, now).Granted)
	whole := RequestFingerprint(5)
	grant := trials.TakeAll([]uint64{whole, badPart}, 1, now)
	require.False(t, grant.Granted)
	require.Equal(t, badPart, grant.Refused)
	require.True(t, trials.Check(whole, now).Granted)
	require.True(t, NewTrials(nil).TakeAll([]uint64{whole, badPart}, 1, now).Granted)
	now = now.Add(firstTrialGap)
	require.True(t, trials.TakeAll([]uint64{whole, badPart}, 2, now).Granted)
	require.True(t, trials.TakeAll([]uint64{whole, badPart}, 2, now).Granted, "asked for again")
	require.False(t, trials.TakeAll([]uint64{whole, badPart}, 3, now).Granted)
}

// Guards against memory that grows with the parts that requests bring without end.
func TestAnsweredPartsAreBounded(t *testing.T) {
	v := NewView()
	for i := range uint64(2 * maxAnswered) {
		v.RecordAnswer(PartFingerprint(i), epoch)
	}
	require.Len(t, v.answered.at, maxAnswered)
	v.RecordAnswer(PartFingerprint(1<<40), epoch.Add(2*provenTTL))
	v.Expire(epoch.Add(2 * provenTTL))
	require.Len(t, v.answered.at, 1)
}

// Guards, with several entries that learn of each other late, against requests with a bad part that go on
// reaching servers, and against sound requests that are held back for what they share with it.
func TestPartsOverEntries(t *testing.T) {
	const (
		entries   = 6
		exchange  = 200 * time.Millisecond // until an entry and the registry know what the other does
		perSecond = 50
		seconds   = 60
		contact   = 3 * time.Second
	)
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		views, registry, trials := make([]*View, entries), NewRegistry(), NewTrials(nil)
		sent := make([]uint64, entries)
		for i := range views {
			views[i] = NewView()
		}
		crashes, late, heldBack, sound := 0, 0, 0, 0
		var fifthAt time.Time
		for step := range perSecond * seconds {
			now := epoch.Add(time.Duration(step) * time.Second / perSecond)
			i := rng.IntN(entries)
			v := views[i]
			properties := []uint64{sharedPart, PartFingerprint(1000 + rng.Uint64N(20)), RequestFingerprint(rng.Uint64())}
			bad := step > perSecond && rng.IntN(10) == 0
			if bad {
				properties[1] = badPart
			} else {
				sound++
			}
			needed := v.Needed(properties, now)
			switch {
			case len(needed) > 0 && !trials.TakeAll(needed, rng.Uint64(), now).Granted:
				if !bad {
					heldBack++
				}
			case bad:
				crashes++
				if crashes == 5 {
					fifthAt = now
				}
				if crashes > 5 && now.Sub(fifthAt) > contact {
					late++
				}
				v.RecordBreak(properties, server(fmt.Sprint("s", crashes), 1), now)
				// A sound request beside it breaks off too, at another entry.
				views[(i+1)%entries].RecordBreak([]uint64{sharedPart, PartFingerprint(1000 + rng.Uint64N(20))}, server(fmt.Sprint("s", crashes), 1), now)
			default:
				for _, p := range properties {
					if _, wasSuspect := v.RecordAnswer(p, now); wasSuspect {
						trials.Answered(p)
					}
				}
			}
			if step%int(perSecond*exchange/time.Second) != 0 {
				continue
			}
			for k, other := range views {
				var records []Record
				records, sent[k] = other.Set.Since(sent[k], 1000, now)
				registry.Set.Merge(records, now)
			}
			registry.Update()
			list, _ := registry.List()
			for k := range views {
				views[k].SetList("r", list, now)
			}
		}
		require.LessOrEqual(t, late, MaxTrials, "seed %d", seed)
		require.LessOrEqual(t, crashes, 15, "seed %d", seed)
		require.LessOrEqual(t, heldBack, sound/100, "seed %d: %d of %d", seed, heldBack, sound)
	}
}
