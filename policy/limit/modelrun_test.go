package limit

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a workspace that gets more than its limit and burst in a window while
// entries are partitioned, paused, restarted, added and replaced, replicas restart, pause, are cut
// off and replaced by others without a disk, and messages are late or lost.
func TestPoolsStayWithinLimitUnderFaults(t *testing.T) {
	for seed := range uint64(modelSeeds()) {
		m := newModel(t, seed, 6, 5)
		for range int(120 * time.Second / modelStep) {
			m.step()
		}
		m.requireWindows(fmt.Sprint("seed ", seed))
	}
}

func (m *model) requireWindows(name string) {
	window := int(modelWindow / modelStep)
	maxAdmitted := m.limit.Rate*(modelWindow+MaxSavedAge).Seconds() + m.limit.Burst
	for from := 0; from+window <= len(m.admitted); from++ {
		require.LessOrEqual(m.t, sumOf(m.admitted[from:from+window]), maxAdmitted+1e-6, "%s, window from step %d", name, from)
	}
	require.False(m.t, slices.Max(m.admitted) == 0, name)
}

func sumOf(list []float64) (sum float64) {
	for _, n := range list {
		sum += n
	}
	return sum
}

// shareInUse returns the sum of the shares in all pools.
func (m *model) shareInUse() (sum float64) {
	for _, e := range m.entries {
		if e.up {
			sum += e.pools.Pool(modelKey, m.limit, m.now).ShareSum(m.now)
		}
	}
	return sum
}

// modelSeeds returns the number of seeds to play.
func modelSeeds() int {
	if n, err := strconv.Atoi(os.Getenv("SAVORYREEL_LIMIT_SEEDS")); err == nil {
		return n
	}
	return 40
}

// run simulates a time without further faults.
func (m *model) run(d time.Duration) {
	m.calm = true
	for range int(d / modelStep) {
		m.step()
	}
}

// Guards against a part of the limit that cannot be used although nothing fails, because
// shares are lent too late or not at all.
func TestWholeLimitIsAdmittedWithoutFaults(t *testing.T) {
	const seeds = 10
	admitted := 0.0
	for seed := range uint64(seeds) {
		m := newModel(t, seed, 8, 5)
		m.run(10 * time.Second)
		from := len(m.admitted)
		m.run(10 * time.Second)
		admitted += sumOf(m.admitted[from:]) / seeds
		granted := 0.0
		for _, e := range m.entries {
			granted += e.pools.Share()
		}
		require.InDelta(t, 1, granted, 1e-9, "seed %d", seed)
	}
	require.InDelta(t, 1000, admitted, 0.05*1000)
}

// Guards against callers who are refused because all entries were lost and replaced by others
// within a minute: nobody would have a share, also after a restart of all processes.
func TestEntriesThatReplaceLostOnesGetShares(t *testing.T) {
	m := newModel(t, 1, 3, 5)
	m.run(10 * time.Second)
	require.InDelta(t, 1, m.grantedShares(), 0.01)
	lost := m.now
	for _, e := range slices.Clone(m.entries) {
		m.lose(e)
		m.run(time.Second)
		m.addEntry()
		m.run(6 * time.Second)
		require.Greater(t, m.grantedShares(), 0.25, "lost shares are withheld, but the others can be used")
	}
	for _, r := range m.core.replicas {
		m.core.restart(r)
	}
	for _, e := range m.entries[3:] {
		m.startEntry(e)
	}
	m.run(4 * time.Second)
	require.Greater(t, m.grantedShares(), 0.25, "after a restart")
	m.run(2*ShareTTL + 30*time.Second - m.now.Sub(lost))
	require.InDelta(t, 1, m.grantedShares(), 0.01, "once the last lost one has expired")
}

// Guards against a share that is withheld for a minute although its entry has stopped in good order.
func TestShareThatIsGivenUpGoesToTheOthers(t *testing.T) {
	m := newModel(t, 1, 3, 5)
	m.run(10 * time.Second)
	m.entries[0].holder.GiveUp(m.now)
	m.run(3 * time.Second)
	m.lose(m.entries[0])
	m.run(10 * time.Second)
	require.InDelta(t, 1, m.grantedShares(), 0.01)
}

// Guards against callers who are refused because the replicas were replaced by others without a
// disk, faster than anything expires: entries would have no share, and a new one would get none.
func TestSharesOutlastReplacedReplicas(t *testing.T) {
	m := newModel(t, 1, 3, 5)
	m.run(10 * time.Second)
	for i, r := range m.core.replicas {
		m.core.replace(r)
		m.run(5 * time.Second)
		require.InDelta(t, 1, m.grantedShares(), 0.01, "replica %d", i)
	}
	m.run(2 * ShareTTL)
	require.InDelta(t, 1, m.grantedShares(), 0.01)
	m.addEntry()
	m.run(10 * time.Second) // calls are lost in this model, and repeated after three seconds
	require.InDelta(t, 0.25, m.entries[3].pools.Share(), 0.01)
}

// grantedShares returns the sum of the entries' own shares.
func (m *model) grantedShares() (sum float64) {
	for _, e := range m.entries {
		if e.up {
			sum += e.pools.Share()
		}
	}
	return sum
}
