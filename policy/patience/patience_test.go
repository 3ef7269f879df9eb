package patience

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

const objective = 500 * time.Millisecond

// randomTimeout returns a caller's timeout, 2.5 to 3 s.
func randomTimeout(rng *rand.Rand) time.Duration {
	return 2500*time.Millisecond + time.Duration(rng.Int64N(int64(500*time.Millisecond)))
}

// Retries that are already late, taken for first attempts, would delay those as well.
func TestRetriesAreDetected(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	b := NewEstimator()
	for range 100 {
		b.ObjectivePassed("r", randomTimeout(rng), objective)
	}
	detected, falsePositives := 0, 0
	for i := range 1000 {
		remaining := randomTimeout(rng)
		if retried := i%3 == 0; retried {
			if b.ObjectivePassed("r", remaining-time.Second, objective) {
				detected++
			}
		} else if b.ObjectivePassed("r", remaining, objective) {
			falsePositives++
		}
	}
	require.Greater(t, detected, 300, "detected of 334 retries")
	require.Zero(t, falsePositives, "first attempts taken for retries")
}

// On routes whose callers' timeouts differ by seconds, a first attempt with a short timeout
// must not be taken for a retry, which would rank it behind all others.
func TestShortTimeoutsAreNotTakenForRetries(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	b := NewEstimator()
	longTimeout := func() time.Duration {
		return 12750*time.Millisecond + time.Duration(rng.Int64N(int64(4500*time.Millisecond)))
	}
	for range 300 {
		b.ObjectivePassed("r", longTimeout(), objective)
	}
	falsePositives, detected := 0, 0
	for range 1000 {
		if b.ObjectivePassed("r", longTimeout(), objective) {
			falsePositives++
		}
	}
	for range 100 {
		if b.ObjectivePassed("r", longTimeout()-5*time.Second, objective) {
			detected++
		}
	}
	require.LessOrEqual(t, falsePositives, 50, "of 1,000 first attempts taken for retries")
	require.Greater(t, detected, 80, "detected of 100 retries after 5 s")
}

// After callers have halved their timeout, their first attempts must count as such again
// within some thousand requests.
func TestEstimateFollowsShorterTimeouts(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	b := NewEstimator()
	for range 500 {
		b.ObjectivePassed("r", randomTimeout(rng), objective)
	}
	for range 1000 {
		b.ObjectivePassed("r", randomTimeout(rng)/2, objective)
	}
	late := 0
	for range 200 {
		if b.ObjectivePassed("r", randomTimeout(rng)/2, objective) {
			late++
		}
	}
	require.Zero(t, late)
}

// Neither a caller without a stated timeout nor the first caller of a route may count as
// late.
func TestCallersWithoutTimeoutAreNeverLate(t *testing.T) {
	b := NewEstimator()
	require.False(t, b.ObjectivePassed("r", 0, objective))
	require.False(t, b.ObjectivePassed("r", time.Second, objective))
	require.False(t, b.ObjectivePassed("r", 0, objective))
	b.Retain(nil)
	require.Empty(t, b.routes)
}
