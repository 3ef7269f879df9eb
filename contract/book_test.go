package contract

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

func catalogueWithWorkspaces(names ...string) *Catalogue {
	c := &Catalogue{}
	for _, n := range names {
		c.Workspaces = append(c.Workspaces, Workspace{
			Name: n, Owner: "o", Class: ClassStandard, Weight: 1, Keys: []KeyHash{HashKey(n)},
		})
	}
	return c
}

func applyChange(id string, base uint64, names ...string) Change {
	return Change{ID: id, Kind: ChangeApply, Base: base, Catalogue: catalogueWithWorkspaces(names...)}
}

// Guards against accepting two changes with the same base: the second would
// silently undo the first.
func TestApplyRefusesOutdatedBase(t *testing.T) {
	b := NewState()
	require.Equal(t, CodeAccepted, b.Apply(applyChange("one", 0, "a")).Code)
	r := b.Apply(applyChange("two", 0, "b"))
	require.Equal(t, CodeConflict, r.Code)
	require.Equal(t, "one", r.Winner.ChangeID)
	require.Equal(t, "a", b.Catalogue().Workspaces[0].Name)
}

// Guards against refusing a resend of an accepted change as a conflict with
// itself, and against accepting another change under the same id.
func TestApplyReturnsFirstResultToResend(t *testing.T) {
	b := NewState()
	firstResult := b.Apply(applyChange("one", 0, "a"))
	b.Apply(applyChange("two", 1, "a", "b"))
	require.Equal(t, firstResult, b.Apply(applyChange("one", 0, "a")))
	require.EqualValues(t, 2, b.Version())
	require.Equal(t, CodeReused, b.Apply(applyChange("one", 2, "c")).Code)
}

// Guards against a stop that is planned twice, and one that cannot be cancelled.
func TestApplyPlansAndCancelsStops(t *testing.T) {
	b := NewState()
	stop := &Stop{ID: "zone-z1", Scope: StopZone, Name: "z1"}
	require.Equal(t, CodeAccepted, b.Apply(Change{ID: "1", Kind: ChangeStopPlan, Stop: stop}).Code)
	require.Equal(t, CodeInvalid, b.Apply(Change{ID: "2", Kind: ChangeStopPlan, Stop: stop}).Code)
	require.True(t, b.Stops()[0].Covers("any", "z1"))
	require.Equal(t, CodeAccepted, b.Apply(Change{ID: "3", Kind: ChangeStopCancel, Stop: stop}).Code)
	require.Equal(t, CodeNotFound, b.Apply(Change{ID: "4", Kind: ChangeStopCancel, Stop: stop}).Code)
	require.Empty(t, b.Stops())
}

// Guards against versions that repeat, skip or decrease, and against replicas
// that diverge under conflicts, resends and restarts from a snapshot: an accepted
// change would be in force at some entries only.
func TestReplicasAgreeAndVersionsAreConsecutive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := NewState(), NewState()
		var sent []Change
		for i := range rapid.IntRange(1, 60).Draw(t, "changes") {
			c := applyChange(fmt.Sprint("c", i), a.Version(), fmt.Sprint("w", i))
			if behind := rapid.Uint64Range(0, 2).Draw(t, "behind"); behind <= c.Base {
				c.Base -= behind
			}
			if len(sent) > 0 && rapid.Bool().Draw(t, "resend") {
				c = rapid.SampledFrom(sent).Draw(t, "which")
			}
			sent = append(sent, c)
			before := a.Version()
			r := a.Apply(c)
			require.Equal(t, r, b.Apply(c))
			require.LessOrEqual(t, a.Version(), before+1)
			require.GreaterOrEqual(t, a.Version(), before)
			if rapid.Bool().Draw(t, "restart") {
				snap, err := b.Snapshot()
				require.NoError(t, err)
				b, err = RestoreState(snap)
				require.NoError(t, err)
			}
		}
		for i, e := range a.History(HistoryLength) {
			require.EqualValues(t, a.Version()-uint64(i), e.Version)
		}
		require.Equal(t, a.Version(), b.Version())
		require.Empty(t, Diff(a.Catalogue(), b.Catalogue()))
	})
}

// Guards against a stop that is refused when its operator sends it again, since the replica that took
// it filled in the time from which it holds: that is the time of the first one.
func TestStopWithoutTimeBeginsWhenItIsFirstReceived(t *testing.T) {
	b := NewState()
	first := time.Unix(1_800_000_000, 0).UTC()
	stop := Stop{ID: "zone-z1", Scope: StopZone, Name: "z1"}
	result := b.Apply(Change{ID: "1", At: first, Kind: ChangeStopPlan, Stop: &stop})
	require.Equal(t, CodeAccepted, result.Code)
	require.Equal(t, result, b.Apply(Change{ID: "1", At: first.Add(time.Second), Kind: ChangeStopPlan, Stop: &stop}))
	require.Equal(t, first, b.Stops()[0].From)
	require.True(t, stop.From.IsZero(), "the change itself is not altered")
}

// Guards against a change that is taken for another one when it is sent again, since the first time a
// replica forwarded it, which encodes and decodes it once more.
func TestForwardedChangeHasTheSameDigest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Change{ID: "1", By: "ana", Kind: ChangeApply, Base: rapid.Uint64Range(0, 3).Draw(t, "base")}
		if rapid.Bool().Draw(t, "stop") {
			c.Kind = ChangeStopPlan
			c.Stop = &Stop{ID: "s", From: time.Unix(0, rapid.Int64Range(0, 1<<60).Draw(t, "from")).In(time.FixedZone("z", 3600))}
		} else {
			c.Catalogue = catalogueWithWorkspaces(rapid.SliceOfN(rapid.StringN(0, 3, 9), 0, 3).Draw(t, "names")...)
			if rapid.Bool().Draw(t, "empty lists") {
				c.Catalogue.Services = []Service{}
				c.Catalogue.Workspaces = append([]Workspace{}, c.Catalogue.Workspaces...)
				for i := range c.Catalogue.Workspaces {
					c.Catalogue.Workspaces[i].Keys = []KeyHash{}
				}
			}
		}
		forwarded := c
		for range rapid.IntRange(1, 3).Draw(t, "hops") {
			encoded, err := msgpack.Marshal(&forwarded)
			require.NoError(t, err)
			forwarded = Change{}
			require.NoError(t, msgpack.Unmarshal(encoded, &forwarded))
		}
		require.Equal(t, changeDigest(c), changeDigest(forwarded))
	})
}
