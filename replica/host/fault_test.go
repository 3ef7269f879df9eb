package host_test

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/replica"
	"savoryreel.example/savoryreel/replica/host"
	"savoryreel.example/savoryreel/replica/storage"
)

// slowStorage is an empty storage whose Save blocks until a result is sent to
// saveResults.
type slowStorage struct {
	saving      chan struct{}
	saveResults chan error
}

func (s *slowStorage) State() replica.State { return replica.State{} }

func (s *slowStorage) Save(replica.HardState, []replica.Entry) error {
	s.saving <- struct{}{}
	return <-s.saveResults
}

func (s *slowStorage) SaveSnapshot(replica.Snapshot) error { return nil }

func (s *slowStorage) InstallSnapshot(replica.HardState, replica.Snapshot) error { return nil }

// sentMessage is a message and the result of LastIndexOf(kindMark) when it was sent.
type sentMessage struct {
	message   replica.Message
	lastIndex uint64
}

// recorder records the messages that a host sends.
type recorder struct {
	host *host.Host
	sent chan sentMessage
}

func (r *recorder) Send(m replica.Message) {
	r.sent <- sentMessage{message: m, lastIndex: r.host.LastIndexOf(kindMark)}
}

// Guards against a follower that acknowledges an entry before its sync or after a
// failed one: the leader would report the entry as committed, and a power loss could
// remove it.
//
// Fails if processReady sends rd.Messages before persist or continues after its error,
// or if persist doesn't call publishLogState.
func TestNoAcknowledgementBeforeSync(t *testing.T) {
	disk := &slowStorage{saving: make(chan struct{}), saveResults: make(chan error)}
	transport := &recorder{sent: make(chan sentMessage, 100)}
	h, err := host.New(host.Config{ID: 1, Voters: []uint64{1, 2, 3}, TickInterval: time.Hour}, host.Deps{
		Storage: disk, Transport: transport, Machine: newMachine(),
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Now:    time.Now, Rand: rand.New(rand.NewPCG(1, 1)).Int64N,
	})
	require.NoError(t, err)
	transport.host = h
	runErr := make(chan error, 1)
	go func() { runErr <- h.Run(t.Context()) }()

	first := replica.Entry{Index: 1, Term: 1, Kind: kindMark}
	h.Step(replica.Message{Type: replica.MsgAppend, From: 2, To: 1, Term: 1, Entries: []replica.Entry{first}})
	<-disk.saving
	require.Empty(t, transport.sent)
	require.Zero(t, h.LastIndexOf(kindMark))
	disk.saveResults <- nil
	reply := <-transport.sent
	require.Equal(t, uint64(1), reply.message.Index)
	require.Equal(t, replica.MsgAppendReply, reply.message.Type)
	require.Equal(t, uint64(1), reply.lastIndex, "acknowledged an entry that LastIndexOf does not include")

	second := replica.Entry{Index: 2, Term: 1, Kind: kindMark}
	h.Step(replica.Message{Type: replica.MsgAppend, From: 2, To: 1, Term: 1, Index: 1, LogTerm: 1, Entries: []replica.Entry{second}})
	<-disk.saving
	disk.saveResults <- storage.ErrFailed
	require.ErrorIs(t, <-runErr, storage.ErrFailed)
	require.Empty(t, transport.sent)
	require.Equal(t, uint64(1), h.LastIndexOf(kindMark))
	_, err = h.Propose(t.Context(), kindPut, nil)
	require.ErrorIs(t, err, host.ErrStopped)
}

// Guards against one sync for each proposal: proposals queued during a sync would
// wait for one another. They must share the next sync, and a proposal above MaxPending
// must fail at once with ErrBusy.
//
// Fails if handleInputs handles one proposal per round.
func TestWaitingProposalsShareOneSync(t *testing.T) {
	const callers = 100
	disk := &slowStorage{saving: make(chan struct{}), saveResults: make(chan error)}
	h, err := host.New(host.Config{ID: 1, Voters: []uint64{1}, TickInterval: time.Millisecond, MaxPending: callers}, host.Deps{
		Storage: disk, Transport: &recorder{}, Machine: newMachine(),
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Now:    time.Now, Rand: rand.New(rand.NewPCG(1, 1)).Int64N,
	})
	require.NoError(t, err)
	runErr := make(chan error, 1)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { runErr <- h.Run(ctx) }()
	<-disk.saving

	outcomes := make(chan error, callers+1)
	for range callers + 1 {
		go func() {
			_, err := h.Propose(t.Context(), kindPut, []byte{0x80})
			outcomes <- err
		}()
	}
	require.ErrorIs(t, <-outcomes, host.ErrBusy, "one proposal is above MaxPending")
	disk.saveResults <- nil
	saves := 0
	for done := 0; done < callers; {
		select {
		case <-disk.saving:
			saves++
			disk.saveResults <- nil
		case err := <-outcomes:
			require.NoError(t, err)
			done++
		}
	}
	require.LessOrEqual(t, saves, callers/10, "proposals queued late may need another round")
	cancel()
	require.NoError(t, <-runErr)
}
