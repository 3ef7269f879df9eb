package entry

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/control/api"
	"savoryreel.example/savoryreel/policy/quarantine"
)

// crashRecord returns the record of a request under which a server has crashed.
func crashRecord(fingerprint uint64, server string) quarantine.Record {
	return quarantine.Record{Fingerprint: fingerprint, EverCrashed: true, Exposures: []quarantine.Exposure{
		{Server: quarantine.Server{ID: server}, State: quarantine.StateCrashed, At: time.Now()},
	}}
}

// memoryLog is a quarantineLog in memory, which fails while err is set.
type memoryLog struct {
	mu        sync.Mutex
	err       error
	committed []quarantine.Record
	commits   int
}

func (l *memoryLog) PublishQuarantine(_ context.Context, records []quarantine.Record) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return l.err
	}
	l.committed = append(l.committed, records...)
	l.commits++
	return nil
}

func (l *memoryLog) Quarantine(_ context.Context, knownIndex, needed uint64, merge func([]quarantine.Record)) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return knownIndex, l.err
	}
	merge(l.committed)
	return needed, nil
}

// crashes returns the crashes by committed request, and the number of commits.
func (l *memoryLog) crashes() (byRequest map[uint64]int, commits int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	byRequest = map[uint64]int{}
	for _, r := range l.committed {
		byRequest[r.Fingerprint] = max(byRequest[r.Fingerprint], len(r.Exposures))
	}
	return byRequest, l.commits
}

func (l *memoryLog) setErr(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.err = err
}

// confirmingControl is a controlClient with one catalogue and quarantine records up to an index.
type confirmingControl struct{ records uint64 }

func (c *confirmingControl) Confirm(context.Context) (api.Confirmation, error) {
	return api.Confirmation{Needed: 1, Newest: 1, NeededQuarantine: c.records}, nil
}

func (c *confirmingControl) Catalogue(context.Context, uint64) (api.CatalogueReply, error) {
	return api.CatalogueReply{Index: 1}, nil
}

// Guards against an entry that has just started and sends a quarantined request to servers, since it
// serves before it knows what the entries before it have seen: it must not serve until then.
func TestEntryServesOnlyOnceItKnowsQuarantineRecords(t *testing.T) {
	log := &memoryLog{err: errLost, committed: []quarantine.Record{crashRecord(7, "a")}}
	merged := map[uint64]bool{}
	clock := newTestClock()
	f := newTestFollower(&confirmingControl{records: 5}, clock.now)
	f.records = &recordFollower{log: log, merge: func(r quarantine.Record) { merged[r.Fingerprint] = true }}
	f.poll(t.Context())
	require.Nil(t, f.inForce(), "serves without the records")
	log.setErr(nil)
	f.poll(t.Context())
	require.NotNil(t, f.inForce())
	require.True(t, merged[7])
}

// Guards against records that are lost while no control replica leads, and against a commit for each
// of the requests that ran on a server which crashed.
func TestPublisherCommitsEachRecordOnceAReplicaLeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &memoryLog{err: errLost}
		p := newRecordPublisher(log, slog.New(slog.DiscardHandler))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- p.run(ctx) }()
		const requests = 300
		for fingerprint := range uint64(requests) {
			p.add(crashRecord(fingerprint, "a"))
		}
		p.add(crashRecord(1, "b"))
		time.Sleep(time.Second)
		_, commits := log.crashes()
		require.Zero(t, commits)
		log.setErr(nil)
		time.Sleep(time.Second)
		crashes, commits := log.crashes()
		require.Len(t, crashes, requests)
		require.Equal(t, 2, crashes[1])
		require.LessOrEqual(t, commits, 3)
		cancel()
		<-done
	})
}
