package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/instance"
)

// An entry gets the names of the live entries only when the list changes. The list must not
// expire while replicas confirm its digest, and must expire once none does.
func TestPeersRemainWhileDigestIsConfirmed(t *testing.T) {
	now := time.Unix(1000, 0)
	store := directory.NewStore(directory.Config{ForgetAfter: time.Minute})
	for _, name := range []string{"a", "b", "c"} {
		store.MergeEntry(directory.Entry{Name: name, Incarnation: 1, State: instance.StateServing, Address: "10.0.0.1:80"}, now)
	}
	p := &peers{directory: store}
	require.Empty(t, p.entries(now), "no report yet")
	p.update(7, nil, now)
	require.Empty(t, p.entries(now), "the digest is unknown")
	p.update(7, []string{"a", "b"}, now)
	for range 100 {
		now = now.Add(time.Second)
		p.update(7, nil, now)
		require.Len(t, p.entries(now), 2)
		store.Sweep(now, false)
	}
	p.update(8, nil, now.Add(2*peersTTL)) // by a replica with another list
	require.Empty(t, p.entries(now.Add(2*peersTTL)))
}

// Guards against reading the records of hundreds of entries again and again though none has
// changed, and against an address that changes unnoticed.
func TestPeerRecordsAreReadAgainOnlyAfterAChange(t *testing.T) {
	now := time.Unix(1000, 0)
	store := directory.NewStore(directory.Config{ForgetAfter: time.Minute})
	record := directory.Entry{Name: "a", Incarnation: 1, State: instance.StateServing, Address: "10.0.0.1:80"}
	store.MergeEntry(record, now)
	p := &peers{directory: store}
	p.update(7, []string{"a"}, now)
	first := p.entries(now)
	require.Same(t, &first[0], &p.entries(now.Add(time.Second))[0])
	record.Incarnation, record.Address = 2, "10.0.0.2:80"
	store.MergeEntry(record, now)
	require.Equal(t, "10.0.0.2:80", p.entries(now.Add(time.Second))[0].Address)
}
