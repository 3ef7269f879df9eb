package throttle

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"savoryreel.example/savoryreel/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

var (
	epoch  = time.Unix(1_700_000_000, 0)
	server = Server{ID: "s", Incarnation: 2}
)

// Guards against an answer that ends a limit although the server wrote it before it named one, and
// against a limit of an earlier incarnation.
func TestLimitLastsAsLongAsAnswersNameIt(t *testing.T) {
	a := NewAllowance()
	require.True(t, a.Empty())
	require.True(t, a.Named(server, 2, epoch))
	require.False(t, a.Named(server, 3, epoch.Add(time.Second)))
	limit, limited := a.Limit(server)
	require.True(t, limited)
	require.InDelta(t, 3, limit, 0)
	a.NotNamed(server, epoch)
	require.False(t, a.Empty(), "the request was sent before")
	require.False(t, a.Named(Server{"s", 1}, 1, epoch.Add(2*time.Second)))
	a.NotNamed(Server{"s", 1}, epoch.Add(time.Minute))
	require.False(t, a.Empty())
	a.NotNamed(server, epoch.Add(2*time.Second))
	require.True(t, a.Empty())
	a.Named(server, 2, epoch)
	next := Server{"s", 3}
	require.True(t, a.HasToken(next, epoch), "a new incarnation has named none")
	require.True(t, a.Named(next, 2, epoch))
}

// Guards against a token that is spent late, beside those granted meanwhile: an entry that stood
// still would send all that it had.
func TestTokensExpire(t *testing.T) {
	a := NewAllowance()
	require.True(t, a.Spend(server, epoch), "without a limit")
	a.Named(server, 2, epoch)
	require.False(t, a.Spend(server, epoch))
	a.Granted(server, 2, epoch)
	require.True(t, a.Spend(server, epoch.Add(TokenTTL)))
	require.False(t, a.Spend(server, epoch.Add(TokenTTL+1)))
}

// Guards against an entry that asks for a token again and again while there is none.
func TestRefusedServersWait(t *testing.T) {
	a := NewAllowance()
	a.Named(server, 2, epoch)
	a.Refused(server, epoch.Add(time.Second))
	servers, first := a.Waiting(epoch)
	require.Equal(t, []string{"s"}, servers)
	require.Equal(t, epoch.Add(time.Second), first)
	servers, _ = a.Waiting(epoch.Add(time.Second))
	require.Empty(t, servers)
	a.Granted(server, 1, epoch)
	servers, _ = a.Waiting(epoch)
	require.Empty(t, servers, "there is a token")
}

// Guards against a limit of which much goes unused while entries ask for it.
func TestEntriesUseWhatIsAllowed(t *testing.T) {
	for _, limit := range []float64{0.5, 1, 5, 100} {
		for _, entries := range []int{1, 6, 55} {
			g := NewGrants()
			next := make([]time.Time, entries)
			granted := 0
			const seconds = 60
			for now := epoch; now.Before(epoch.Add(seconds * time.Second)); now = now.Add(5 * time.Millisecond) {
				for i := range next {
					if now.Before(next[i]) {
						continue
					}
					n, after := g.Take(server, limit, fmt.Sprint(i), 1, now)
					granted += n
					next[i] = now.Add(after)
				}
			}
			require.Greater(t, float64(granted), 0.8*limit*seconds, "limit %v, %d entries", limit, entries)
		}
	}
}

// Guards against more than a server allows, in whatever order processes that grant follow each
// other, entries learn the limit, pause or start anew: any four seconds count.
func TestSendsStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.SampledFrom([]float64{0, 0.1, 0.5, 1, 2, 7, 50, 400}).Draw(t, "limit")
		grants := NewGrants()
		entries := make([]*Allowance, rapid.IntRange(1, 12).Draw(t, "entries"))
		pausedUntil := make([]time.Time, len(entries))
		for i := range entries {
			entries[i] = NewAllowance()
			entries[i].Named(server, limit, epoch)
		}
		var sends []time.Time
		now := epoch
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(entries)-1).Draw(t, "entry")
			if now.Before(pausedUntil[i]) {
				continue
			}
			switch rapid.IntRange(0, 20).Draw(t, "event") {
			case 0:
				grants = NewGrants() // another process grants from now on
			case 1:
				entries[i] = NewAllowance()
				entries[i].Named(server, limit, now)
			case 2:
				pausedUntil[i] = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "pause")) * time.Millisecond)
			default:
				askedAt := now
				now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "on the way")) * time.Millisecond)
				n, _ := grants.Take(server, limit, fmt.Sprint(i), rapid.IntRange(1, 20).Draw(t, "want"), now)
				entries[i].Granted(server, n, askedAt)
			}
			for range rapid.IntRange(0, 25).Draw(t, "sends") {
				if entries[i].Spend(server, now) {
					sends = append(sends, now)
				}
			}
		}
		const window = 4 * time.Second
		for i, from := range sends {
			end, _ := slices.BinarySearchFunc(sends, from.Add(window+1), time.Time.Compare)
			require.LessOrEqual(t, float64(end-i), 1.5*limit*window.Seconds()+5)
		}
	})
}

// Guards against a higher limit that one entry has received and that counts for all while others know
// a lower one.
func TestLowerLimitCounts(t *testing.T) {
	g := NewGrants()
	g.Take(server, 1, "a", 1, epoch)
	granted := 0
	for now := epoch; now.Before(epoch.Add(limitMemory)); now = now.Add(10 * time.Millisecond) {
		n, _ := g.Take(server, 100, "b", 10, now)
		granted += n
	}
	require.LessOrEqual(t, granted, 5)
	n, _ := g.Take(server, 100, "b", 10, epoch.Add(limitMemory+2*time.Second))
	require.Positive(t, n)
}
