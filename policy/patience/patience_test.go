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

// wait is how long one of many callers waits: 2.5 to 3 s.
func wait(rng *rand.Rand) time.Duration {
	return 2500*time.Millisecond + time.Duration(rng.Int64N(int64(500*time.Millisecond)))
}

// Callers that were refused come back a second later. Their answers are late whatever
// happens; taken for fresh ones, they would make those late as well.
func TestThoseThatComeBackAreTold(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	b := NewEstimator()
	for range 100 {
		b.ObjectivePassed("r", wait(rng), objective)
	}
	told, wrong := 0, 0
	for i := range 1000 {
		left := wait(rng)
		if back := i%3 == 0; back {
			if b.ObjectivePassed("r", left-time.Second, objective) {
				told++
			}
		} else if b.ObjectivePassed("r", left, objective) {
			wrong++
		}
	}
	require.Greater(t, told, 300, "of 334 that came back")
	require.Zero(t, wrong, "fresh ones")
}

// Callers of long answers differ by seconds in how long they wait, and ask for a first
// event within half of one. Those who wait less than most are at their first try all the
// same; taken for ones that came back, one in five was put behind all others.
func TestLessPatientCallersAreFresh(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	b := NewEstimator()
	patient := func() time.Duration {
		return 12750*time.Millisecond + time.Duration(rng.Int64N(int64(4500*time.Millisecond)))
	}
	for range 300 {
		b.ObjectivePassed("r", patient(), objective)
	}
	wrong, told := 0, 0
	for range 1000 {
		if b.ObjectivePassed("r", patient(), objective) {
			wrong++
		}
	}
	for range 100 {
		if b.ObjectivePassed("r", patient()-5*time.Second, objective) {
			told++
		}
	}
	require.LessOrEqual(t, wrong, 50, "one in twenty of those at their first try")
	require.Greater(t, told, 80, "of 100 that came back after 5 s")
}

// Callers of a route begin to wait for half as long, with a new release of theirs. They
// are taken for fresh ones again within some thousand requests.
func TestPatienceChanges(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	b := NewEstimator()
	for range 500 {
		b.ObjectivePassed("r", wait(rng), objective)
	}
	for range 1000 {
		b.ObjectivePassed("r", wait(rng)/2, objective)
	}
	late := 0
	for range 200 {
		if b.ObjectivePassed("r", wait(rng)/2, objective) {
			late++
		}
	}
	require.Zero(t, late)
}

// Callers that do not say how long they wait are never held to be late, nor is the
// first one of a route.
func TestNothingIsSaid(t *testing.T) {
	b := NewEstimator()
	require.False(t, b.ObjectivePassed("r", 0, objective))
	require.False(t, b.ObjectivePassed("r", time.Second, objective))
	require.False(t, b.ObjectivePassed("r", 0, objective))
	b.Retain(nil)
	require.Empty(t, b.routes)
}
