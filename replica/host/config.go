package host

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"savoryreel.example/savoryreel/replica"
)

// Defaults of Config. With them a leader is missed after 500 ms and a follower
// stands for election after at most a second; a sync may take 400 ms before it
// costs a leader its office.
const (
	DefaultTickInterval   = 10 * time.Millisecond
	DefaultElectionTicks  = 50
	DefaultHeartbeatTicks = 10
	DefaultSnapshotEvery  = 10_000
	DefaultKeepEntries    = 2_000
	DefaultSnapshotBytes  = 32 << 20
	DefaultKeepBytes      = 8 << 20
	DefaultMaxPending     = 4_096
	DefaultPendingBytes   = 16 << 20
	DefaultMaxEntryBytes  = 1 << 20
)

// Config is the settings of a Host. Zero values stand for the defaults.
type Config struct {
	ID uint64

	// Voters is the membership of a new group and counts only while the data folder
	// is empty. A replica that joins a group, or that replaces one whose disk is
	// lost, has a new ID and no Voters: it waits to be added as a learner.
	Voters []uint64

	TickInterval   time.Duration
	ElectionTicks  int // election timeout, in ticks
	HeartbeatTicks int

	// A snapshot is taken after so many entries or bytes of data, whichever comes
	// first. Of the entries before it so many stay in memory for replicas that lag.
	SnapshotEvery uint64
	SnapshotBytes int
	KeepEntries   uint64
	KeepBytes     int

	// Proposals waiting, each for its commit, and reads queued. More are refused with ErrBusy: the log
	// in memory would otherwise grow without bound while no majority answers.
	MaxPending      int
	MaxPendingBytes int
	MaxEntryBytes   int
}

func (c Config) withDefaults() Config {
	c.TickInterval = cmp.Or(c.TickInterval, DefaultTickInterval)
	c.ElectionTicks = cmp.Or(c.ElectionTicks, DefaultElectionTicks)
	c.HeartbeatTicks = cmp.Or(c.HeartbeatTicks, DefaultHeartbeatTicks)
	c.SnapshotEvery = cmp.Or(c.SnapshotEvery, DefaultSnapshotEvery)
	c.SnapshotBytes = cmp.Or(c.SnapshotBytes, DefaultSnapshotBytes)
	c.KeepEntries = cmp.Or(c.KeepEntries, DefaultKeepEntries)
	c.KeepBytes = cmp.Or(c.KeepBytes, DefaultKeepBytes)
	c.MaxPending = cmp.Or(c.MaxPending, DefaultMaxPending)
	c.MaxPendingBytes = cmp.Or(c.MaxPendingBytes, DefaultPendingBytes)
	c.MaxEntryBytes = cmp.Or(c.MaxEntryBytes, DefaultMaxEntryBytes)
	return c
}

// validate checks the voters; package replica checks the rest.
func (c Config) validate() error {
	seen := make(map[uint64]bool)
	for _, id := range c.Voters {
		if id == 0 || seen[id] {
			return fmt.Errorf("%w: voters %v hold 0 or a replica twice", replica.ErrBadConfig, c.Voters)
		}
		seen[id] = true
	}
	return nil
}

func (c Config) coreConfig(rand func(int64) int64) replica.Config {
	return replica.Config{
		ID:                c.ID,
		ElectionTimeout:   c.TickInterval * time.Duration(c.ElectionTicks),
		HeartbeatInterval: c.TickInterval * time.Duration(c.HeartbeatTicks),
		Rand:              rand,
	}
}

// Machine is the state machine that the entries drive. The same entries must
// give the same state at every replica: no clock, no randomness, no map order.
// All calls come from one goroutine.
type Machine interface {
	// Apply takes an entry of a kind from replica.KindApplication on. Result and
	// error go to the caller of Propose; an error does not stop the replica, and it
	// too must be the same everywhere.
	Apply(e replica.Entry) (any, error)
	// Snapshot returns the whole state. The replica does nothing else meanwhile, so
	// it must take far less than an election timeout; the bytes stay in memory, and
	// are sent as they are to a replica that is far behind.
	Snapshot() ([]byte, error)
	// Restore replaces the state by that of a snapshot.
	Restore(b []byte) error
}

// Transport carries messages between replicas. It may drop, delay, double and
// reorder them.
type Transport interface {
	// Send never blocks. The message must not be changed.
	Send(m replica.Message)
}

// Storage keeps a replica's state; package storage has the one on disk. After an
// error the Host stops and the process must stop too.
type Storage interface {
	State() replica.State
	Save(hs replica.HardState, entries []replica.Entry) error
	SaveSnapshot(s replica.Snapshot) error
	InstallSnapshot(hs replica.HardState, s replica.Snapshot) error
}

// Deps is what a Host works with.
type Deps struct {
	Storage   Storage
	Transport Transport
	Machine   Machine
	Logger    *slog.Logger
	Now       func() time.Time    // must carry a monotonic reading
	Rand      func(n int64) int64 // a number in [0, n)
}

func (d Deps) validate() error {
	var errs []error
	need := func(present bool, name string) {
		if !present {
			errs = append(errs, fmt.Errorf("host: no %s", name))
		}
	}
	need(d.Storage != nil, "storage")
	need(d.Transport != nil, "transport")
	need(d.Machine != nil, "machine")
	need(d.Logger != nil, "logger")
	need(d.Now != nil, "clock")
	need(d.Rand != nil, "source of randomness")
	return errors.Join(errs...)
}
