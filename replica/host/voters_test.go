package host_test

import (
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"savoryreel.example/savoryreel/replica"
	"savoryreel.example/savoryreel/replica/host"
)

// votersRecorder records the result of Voters at each message that a host sends.
type votersRecorder struct {
	host *host.Host
	sent chan host.Voters
}

func (w *votersRecorder) Send(replica.Message) { w.sent <- w.host.Voters() }

// Guards against a replica that acknowledges a change of the voters while Voters still
// returns the old set: an entry would count a majority of an outdated set and could
// take an old catalogue for the latest.
//
// Fails if publishLogState doesn't set the voters.
func TestVotersPublishedBeforeAcknowledgement(t *testing.T) {
	disk := &slowStorage{saving: make(chan struct{}, 1), saveResults: make(chan error, 1)}
	disk.saveResults <- nil
	w := &votersRecorder{sent: make(chan host.Voters, 100)}
	h, err := host.New(host.Config{ID: 1, Voters: []uint64{1, 2, 3}, TickInterval: time.Hour}, host.Deps{
		Storage: disk, Transport: w, Machine: newMachine(),
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Now:    time.Now, Rand: rand.New(rand.NewPCG(1, 1)).Int64N,
	})
	require.NoError(t, err)
	w.host = h
	require.Equal(t, host.Voters{IDs: []uint64{1, 2, 3}}, h.Voters())
	go func() { _ = h.Run(t.Context()) }() // ends with the test
	data, err := msgpack.Marshal(replica.Members{Voters: []uint64{1, 2}})
	require.NoError(t, err)
	change := replica.Entry{Index: 1, Term: 5, Kind: replica.KindMembership, Data: data}
	h.Step(replica.Message{Type: replica.MsgAppend, From: 2, To: 1, Term: 5, Entries: []replica.Entry{change}})
	require.Equal(t, host.Voters{Index: 1, Term: 5, IDs: []uint64{1, 2}}, <-w.sent)
}
