package entry

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"savoryreel.example/savoryreel/control/api"
	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/policy/quarantine"
)

const (
	// publishTimeout bounds one attempt to commit records; an election fits into it.
	publishTimeout = 5 * time.Second
	// publishInterval is the least time between two commits, in which records are gathered: a server
	// that crashes makes suspects of all requests that ran there.
	publishInterval = 50 * time.Millisecond
)

// quarantineLog is the replicated log of quarantine records; api.Client implements it.
type quarantineLog interface {
	PublishQuarantine(ctx context.Context, records []quarantine.Record) error
	Quarantine(ctx context.Context, knownIndex, needed uint64, merge func([]quarantine.Record)) (index uint64, err error)
}

// recordPublisher commits the records of this entry's suspects to the replicated log.
type recordPublisher struct {
	log     quarantineLog
	logger  *slog.Logger
	pending chan struct{} // holds an element while there are records

	mu      sync.Mutex
	records map[uint64]quarantine.Record // by fingerprint; not committed yet
}

func newRecordPublisher(log quarantineLog, logger *slog.Logger) *recordPublisher {
	return &recordPublisher{log: log, logger: logger, pending: make(chan struct{}, 1), records: map[uint64]quarantine.Record{}}
}

// add merges a record into those that are to be committed.
func (p *recordPublisher) add(r quarantine.Record) {
	p.mu.Lock()
	if waiting, exists := p.records[r.Fingerprint]; exists {
		r = quarantine.Merge(waiting, r)
	}
	p.records[r.Fingerprint] = r
	p.mu.Unlock()
	p.signal()
}

func (p *recordPublisher) signal() {
	select {
	case p.pending <- struct{}{}:
	default:
	}
}

// take removes as many of the records that are to be committed as one command takes.
func (p *recordPublisher) take() (taken []quarantine.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for fingerprint, r := range p.records {
		if len(taken) == api.MaxQuarantineRecords {
			p.signal()
			break
		}
		taken = append(taken, r)
		delete(p.records, fingerprint)
	}
	return taken
}

// run commits records until ctx ends.
func (p *recordPublisher) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.pending:
			p.commit(ctx, p.take())
		}
		select {
		case <-ctx.Done():
		case <-time.After(publishInterval):
		}
	}
}

// commit commits records, or adds them again if that failed.
func (p *recordPublisher) commit(ctx context.Context, records []quarantine.Record) {
	callCtx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	err := p.log.PublishQuarantine(callCtx, records)
	if err == nil || ctx.Err() != nil {
		return
	}
	event.Log(ctx, p.logger, slog.LevelWarn, event.RecordsNotCommitted,
		slog.Int("records", len(records)), slog.String("error", err.Error()))
	for _, r := range records {
		p.add(r)
	}
}

// recordFollower fetches the records that other entries have committed.
type recordFollower struct {
	log   quarantineLog
	merge func(quarantine.Record)

	index uint64 // of the log, up to which all records are known here; one goroutine uses it
}

// follow fetches all records up to a log index. An entry that lacks some must not serve: it would
// grant servers to requests that are quarantined.
func (f *recordFollower) follow(ctx context.Context, needed uint64) error {
	if f.index >= needed {
		return nil
	}
	var err error
	f.index, err = f.log.Quarantine(ctx, f.index, needed, func(records []quarantine.Record) {
		for _, r := range records {
			f.merge(r)
		}
	})
	return err
}
