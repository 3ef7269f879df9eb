package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/coordinator/api"
)

// Each entry is told what all others have running, its own left out, and an entry
// that died no longer counts.
func TestLoadBook(t *testing.T) {
	b := newLoadBook()
	now := time.Unix(0, 0)
	b.note("e1", []api.ServerLoad{{Server: "s1", Running: 3}, {Server: "s2", Running: 1}}, now)
	b.note("e2", []api.ServerLoad{{Server: "s1", Running: 2, Prefill: 500}}, now)
	require.Equal(t, []api.ServerLoad{{Server: "s1", Running: 2, Prefill: 500}}, b.others("e1"))
	b.note("e1", []api.ServerLoad{{Server: "s1", Running: 4}}, now.Add(2*time.Second))
	require.Equal(t, []api.ServerLoad{{Server: "s1", Running: 4}}, b.others("e2"))
	b.forget(now.Add(4 * time.Second))
	require.Empty(t, b.others("e1"))
	require.Equal(t, []api.ServerLoad{{Server: "s1", Running: 4}}, b.others("e3"))
}

// What an entry let in before it was restarted was used, and counts for the others
// and for its next life. A replica that starts later than the entries is told all
// that they have let in since their start: counted as new, it would use up the
// workspaces' limits for minutes, and callers within them would be refused.
//
// It breaks if the first word of a life counts.
func TestUseBook(t *testing.T) {
	b := newUseBook()
	use := func(n float64) []api.Use { return []api.Use{{Workspace: "w", Amount: n}} }
	b.note(entryLife{"e1", 1}, use(1000))
	b.note(entryLife{"e2", 1}, use(900))
	require.Empty(t, b.others(entryLife{"e1", 1}))
	b.note(entryLife{"e1", 1}, use(1005))
	b.note(entryLife{"e1", 1}, use(1003))
	b.note(entryLife{"e2", 1}, use(902))
	require.Equal(t, use(2), b.others(entryLife{"e1", 1}))
	b.note(entryLife{"e1", 2}, use(1))
	b.note(entryLife{"e1", 2}, use(4))
	require.Equal(t, use(7), b.others(entryLife{"e1", 2}))
	require.Equal(t, use(8), b.others(entryLife{"e2", 1}))
}
