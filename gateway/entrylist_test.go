package gateway

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/directory"
)

// Guards against working out the owners of servers and pools again, from the names of hundreds
// of entries, though none has joined or left: idle entries would be busy with nothing else.
func TestEntryListIsKeptUntilEntriesChange(t *testing.T) {
	var entries []directory.Entry
	for i := range 300 {
		entries = append(entries, directory.Entry{Name: fmt.Sprintf("entry-%03d", i), Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250)})
	}
	address := func(host string) string { return host + ":9" }
	list := newEntryList(entries, "entry-000", address)
	require.Len(t, list.names, 299)
	require.Equal(t, "10.0.0.7:9", list.addresses["entry-007"].String())
	require.True(t, list.lists(entries))
	for group := range limitGroups {
		require.NotEqual(t, list.poolOwners[group][0], list.poolOwners[group][1], "the pools of a limit have distinct owners")
	}

	heartbeat := entries[5]
	entries[5].Sequence++
	require.True(t, list.lists(entries), "addresses are the same")
	entries[5] = heartbeat
	entries[5].Address = "10.0.9.9:80"
	require.False(t, list.lists(entries))
	entries[5] = heartbeat
	require.False(t, list.lists(entries[1:]))
}
