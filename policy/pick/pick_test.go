package pick

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/policy"
)

var epoch = time.Unix(1_800_000_000, 0)

// client is one process of a caller: it uses the first serving entry of its list and
// requests a new list when that one has expired.
type client struct {
	Request
	rate    float64
	list    Verdict
	expires time.Time
}

// simulate runs seven entries and their callers for ten minutes in steps of a second, and
// stops one entry halfway without notice. For each half it returns the highest mean load
// of an entry and the highest load over 10 s, both relative to the fair load.
func simulate(t *testing.T, pickEntries func(Request, []Entry) Verdict) (mean, peak [2]float64) {
	rng := rand.New(rand.NewPCG(4, 2))
	entries := make([]Entry, 7)
	for i := range entries {
		entries[i] = Entry{ID: fmt.Sprint("entry-", i), Zone: string(rune('a' + i%3)), Region: "r", State: instance.StateServing}
	}
	var clients []*client
	add := func(caller string, share float64, n int) {
		for i := range n {
			c := &client{rate: share / float64(n)}
			c.Request = Request{Caller: caller, Client: uint64(i), Zone: string(rune('a' + rng.IntN(3))), Region: "r", Share: share}
			clients = append(clients, c)
		}
	}
	for i, n := range []int{1, 2, 8} {
		add(fmt.Sprint("large-", i), []float64{0.25, 0.2, 0.15}[i], n)
	}
	for i := range 100 {
		add(fmt.Sprint("small-", i), 0.004, 1)
	}
	for half := range 2 {
		var sums [7]float64
		var per10s [30][7]float64
		alive := 7 - half
		if half == 1 {
			entries[6].State = instance.StateGone
		}
		for second := range 300 {
			now := epoch.Add(time.Duration(300*half+second) * time.Second)
			for _, c := range clients {
				if !now.Before(c.expires) {
					c.Now = now
					c.list = pickEntries(c.Request, entries)
					c.expires = now.Add(c.list.Validity)
				}
				for _, e := range c.list.Entries {
					i := slices.IndexFunc(entries, func(x Entry) bool { return x.ID == e.ID })
					if entries[i].State == instance.StateServing {
						sums[i] += c.rate
						per10s[second/10][i] += c.rate
						break
					}
				}
			}
			for i := range entries { // load reports are up to 10 s old
				if second%10 == 9 {
					entries[i].Load = min(per10s[second/10][i]/10*float64(alive)*0.6, 1)
				}
			}
		}
		mean[half] = slices.Max(sums[:]) / 300 * float64(alive)
		for _, loads := range per10s {
			peak[half] = max(peak[half], slices.Max(loads[:])/10*float64(alive))
		}
	}
	return mean, peak
}

// Guards against callers with a large share of the requests that use one entry for the
// whole validity of their list: the other callers of that entry see long waits.
func TestLargeCallersLoadEntriesEvenly(t *testing.T) {
	picker, err := New(DefaultConfig())
	require.NoError(t, err)
	withoutRotation := func(req Request, entries []Entry) Verdict {
		req.Share = 0
		return picker.Pick(req, entries)
	}
	fixedList := func(_ Request, entries []Entry) Verdict {
		return Verdict{Entries: entries, Validity: 30 * time.Second}
	}
	var mean, peak [2]float64
	for name, pickEntries := range map[string]func(Request, []Entry) Verdict{"fixed list": fixedList, "no rotation": withoutRotation} {
		mean, peak = simulate(t, pickEntries)
		t.Logf("%-12s mean of the fullest %.2f of fair, over 10 s %.2f; after the loss %.2f and %.2f", name, mean[0], peak[0], mean[1], peak[1])
		require.Greater(t, mean[0], 1.5)
	}
	mean, peak = simulate(t, picker.Pick)
	t.Logf("%-12s mean of the fullest %.2f of fair, over 10 s %.2f; after the loss %.2f and %.2f", "pick", mean[0], peak[0], mean[1], peak[1])
	require.Less(t, mean[0], 1.25)
	require.Less(t, mean[1], 1.25)
}

// Guards against an entry that closes while valid lists name it, some of them from entries
// that have not learned of its leaving: a planned stop would cause refused connections.
func TestLeavingEntryAcceptsUntilListsExpire(t *testing.T) {
	cfg := DefaultConfig()
	picker, err := New(cfg)
	require.NoError(t, err)
	rapid.Check(t, func(t *rapid.T) {
		entries := make([]Entry, rapid.IntRange(1, 7).Draw(t, "entries"))
		for i := range entries {
			entries[i] = Entry{ID: fmt.Sprint(i), Region: "r", Zone: fmt.Sprint(i % 3), State: instance.StateServing, Load: rapid.Float64Range(0, 1).Draw(t, "load")}
		}
		leaving := rapid.IntRange(0, len(entries)-1).Draw(t, "leaving")
		ms := rapid.IntRange(0, int(cfg.Spread/time.Millisecond))
		reportLag := time.Duration(ms.Draw(t, "lag")) * time.Millisecond
		req := Request{Caller: rapid.String().Draw(t, "caller"), Client: rapid.Uint64().Draw(t, "client"), Region: "r", Zone: "1", Share: rapid.Float64Range(0, 1).Draw(t, "share")}
		req.Now = epoch.Add(time.Duration(ms.Draw(t, "asked")) * time.Millisecond)
		if req.Now.Sub(epoch) >= reportLag {
			entries[leaving].State = instance.StateLeaving
		}
		v := picker.Pick(req, entries)
		require.Equal(t, v, picker.Pick(req, entries))
		drain := picker.Drain(DrainRequest{Now: req.Now, LeavingSince: epoch})
		for _, e := range v.Entries {
			require.Equal(t, instance.StateServing, e.State)
			if e.ID == entries[leaving].ID {
				require.True(t, drain.AcceptUntil.After(req.Now.Add(v.Validity)))
			}
		}
	})
}

// Guards against overload of the entries of one zone while those of the other zones in the
// region are idle.
func TestOverloadedZoneSpills(t *testing.T) {
	picker, err := New(DefaultConfig())
	require.NoError(t, err)
	near := Entry{ID: "near", Zone: "a", Region: "r", State: instance.StateServing, Load: 0.3}
	far := Entry{ID: "far", Zone: "b", Region: "r", State: instance.StateServing, Load: 0.3}
	remote := Entry{ID: "remote", Zone: "c", Region: "other", State: instance.StateServing}
	req := Request{Now: epoch, Caller: "x", Zone: "a", Region: "r"}
	v := picker.Pick(req, []Entry{remote, far, near})
	require.Equal(t, ReasonNear, v.Reason)
	require.Equal(t, []Entry{near, far, remote}, v.Entries)
	near.Load, far.Load = 0.9, 0.1
	spilled := 0
	for i := range 100 {
		req.Caller = fmt.Sprint(i)
		v = picker.Pick(req, []Entry{remote, far, near})
		require.Equal(t, ReasonFar, v.Reason)
		if v.Entries[0].ID == "far" {
			spilled++
		}
	}
	require.Greater(t, spilled, 60)
}

// Guards against a drain that plans to accept requests after the instance is reclaimed, or
// longer than the last list that names it is valid.
func TestDrainEndsWithNotice(t *testing.T) {
	picker, err := New(DefaultConfig())
	require.NoError(t, err)
	v := picker.Drain(DrainRequest{Now: epoch, LeavingSince: epoch, ReclaimedAt: epoch.Add(20 * time.Second)})
	require.Equal(t, DrainVerdict{AcceptUntil: epoch.Add(20 * time.Second), Reason: DrainNoticeEnds, Shortfall: 14 * time.Second}, v)
	v = picker.Drain(DrainRequest{Now: epoch.Add(4 * time.Second), LeavingSince: epoch, LastExpiry: epoch.Add(7 * time.Second)})
	require.Equal(t, epoch.Add(8*time.Second), v.AcceptUntil)
}

// Guards against a configuration error that does not name the field at fault.
func TestConfigErrorNamesField(t *testing.T) {
	cfg := DefaultConfig()
	cfg.HeavyValidity = time.Hour
	_, err := New(cfg)
	var fault *policy.ConfigError
	require.ErrorAs(t, err, &fault)
	require.Equal(t, "HeavyValidity", fault.Field)
}
