package shift

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"savoryreel.example/savoryreel/policy"
)

var epoch = time.Unix(1_800_000_000, 0)

// simulate shifts a service with 40 requests per second for 15 minutes. It returns the
// number of errors of the new version, the last verdict, and the time of the first verdict
// with ReasonDone.
func simulate(t require.TestingT, seed uint64, oldRate, newRate float64, decide func(State, Input) (State, Verdict)) (newErrors int, verdict Verdict, doneAfter time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 1))
	var state State
	in := Input{Rate: 40, OldCapacity: 60, NewCapacity: 60}
	for second := range 900 {
		in.Now = epoch.Add(time.Duration(second) * time.Second)
		state, verdict = decide(state, in)
		if verdict.Reason == ReasonDone && doneAfter == 0 {
			doneAfter = time.Duration(second) * time.Second
		}
		for range 40 {
			version, rate := &in.Old, oldRate
			if UsesNewVersion(rng.Uint64(), verdict.Share) {
				version, rate = &in.New, newRate
			}
			version.All++
			if rng.Float64() < rate {
				version.Errors++
				if version == &in.New {
					newErrors++
				}
			}
		}
	}
	return newErrors, verdict, doneAfter
}

// Guards against a faulty version that stays in use: callers would see its errors until an
// operator intervenes.
func TestBadVersionIsRolledBack(t *testing.T) {
	s, err := New(DefaultConfig())
	require.NoError(t, err)
	immediate := func(state State, _ Input) (State, Verdict) { return state, Verdict{1, ReasonDone} }
	for _, rate := range []float64{0.05, 0.2, 1} {
		immediateErrors, _, _ := simulate(t, 3, 0.01, rate, immediate)
		newErrors, verdict, doneAfter := simulate(t, 3, 0.01, rate, s.Decide)
		t.Logf("errors %3.0f%%: %d failed answers in 15 min at once, %d shifted, back after %v", 100*rate, immediateErrors, newErrors, doneAfter)
		require.Zero(t, verdict.Share)
		require.Less(t, newErrors*10, immediateErrors)
	}
}

// Guards against a good version that is rolled back by chance, or that never gets all
// traffic.
func TestGoodVersionGetsAllTraffic(t *testing.T) {
	s, err := New(DefaultConfig())
	require.NoError(t, err)
	rolledBack := 0
	for seed := range uint64(100) {
		_, verdict, doneAfter := simulate(t, seed, 0.02, 0.02, s.Decide)
		if verdict.Share != 1 {
			rolledBack++
		}
		if seed == 0 {
			t.Logf("done after %v", doneAfter)
		}
	}
	t.Logf("rolled back by chance: %d of 100", rolledBack)
	require.LessOrEqual(t, rolledBack, 2)
}

// Guards against a share that changes by more than its step, exceeds the capacity of the
// servers that the traffic moves to, or grows again after a rollback.
func TestShareStaysWithinStepsAndCapacity(t *testing.T) {
	cfg := DefaultConfig()
	s, err := New(cfg)
	require.NoError(t, err)
	rapid.Check(t, func(t *rapid.T) {
		state := State{Share: float64(rapid.IntRange(0, 10).Draw(t, "share")) / 10}
		in := Input{Now: epoch, Rate: 100}
		failing := rapid.IntRange(0, 1).Draw(t, "bad")
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			in.Now = in.Now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second)
			in.OldCapacity = float64(rapid.IntRange(0, 150).Draw(t, "old capacity"))
			in.NewCapacity = float64(rapid.IntRange(0, 150).Draw(t, "new capacity"))
			answers := rapid.IntRange(0, 200).Draw(t, "answers")
			in.Old.All += 100
			in.New.All += answers
			in.New.Errors += failing * rapid.IntRange(0, answers).Draw(t, "errors")
			next, v := s.Decide(state, in)
			again, _ := s.Decide(state, in)
			require.Equal(t, next, again)
			require.Equal(t, next.Share, v.Share)
			switch change := next.Share - state.Share; {
			case change > 0:
				require.False(t, state.RolledBack)
				require.True(t, state.Share == 0 || in.Now.Sub(state.LastStep) >= cfg.StepEvery)
				require.LessOrEqual(t, change, cfg.MaxStep+1e-9)
				require.LessOrEqual(t, next.Share, in.NewCapacity/in.Rate+1e-9)
			case change < 0:
				require.True(t, next.RolledBack)
				require.True(t, !state.RolledBack || in.Now.Sub(state.LastStep) >= cfg.BackEvery)
				require.LessOrEqual(t, -change, cfg.MaxBack+1e-9)
				require.GreaterOrEqual(t, in.OldCapacity/in.Rate, 1-next.Share-1e-9)
			}
			state = next
		}
	})
}

// Guards against a conversation that switches versions back and forth and is prefilled
// again at each switch.
func TestKeysChangeVersionOnce(t *testing.T) {
	onNew := 0
	for key := range uint64(1000) {
		wasOnNewVersion := false
		for share := 0.0; share <= 1; share += 0.05 {
			onNewVersion := UsesNewVersion(key, share)
			require.False(t, wasOnNewVersion && !onNewVersion)
			wasOnNewVersion = onNewVersion
		}
		if UsesNewVersion(key, 0.3) {
			onNew++
		}
	}
	require.InDelta(t, 300, onNew, 60)
}

// Guards against a configuration error that does not name the field at fault.
func TestConfigErrorNamesField(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxBack = 0
	_, err := New(cfg)
	var fault *policy.ConfigError
	require.ErrorAs(t, err, &fault)
	require.Equal(t, "MaxBack", fault.Field)
}
