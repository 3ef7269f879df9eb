package host

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"savoryreel.example/savoryreel/replica"
)

// Defaults of Config. The election timeout is 500 ms, and a follower starts an
// election within 1 s of the last heartbeat. A leader whose sync takes longer than
// 400 ms may lose its leadership.
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

// Config holds the settings of a Host. Zero values select the defaults.
type Config struct {
	ID uint64

	// Voters is the initial membership of a new group; it is ignored unless the
	// storage is empty. A replica that joins a group, or that replaces one whose disk
	// was lost, has a new ID and no Voters: it waits to be added as a learner.
	Voters []uint64

	TickInterval   time.Duration
	ElectionTicks  int // election timeout, in ticks
	HeartbeatTicks int

	// A snapshot is taken after SnapshotEvery entries or SnapshotBytes of entry data,
	// whichever comes first. Up to KeepEntries entries and KeepBytes before it stay in
	// memory for followers that lag.
	SnapshotEvery uint64
	SnapshotBytes int
	KeepEntries   uint64
	KeepBytes     int

	// MaxPending bounds the proposals that are not committed yet, and the queue of
	// reads and other commands; MaxPendingBytes bounds the proposals' data. Above them
	// calls return ErrBusy: the log in memory would otherwise grow without bound while
	// no majority answers.
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

// validate checks the voters; replica.NewCore checks the other settings.
func (c Config) validate() error {
	seen := make(map[uint64]bool)
	for _, id := range c.Voters {
		if id == 0 || seen[id] {
			return fmt.Errorf("%w: voters %v contain 0 or a duplicate", replica.ErrBadConfig, c.Voters)
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

// Machine is the replicated state machine. It must be deterministic: the same
// entries give the same state at every replica, so it may not depend on the clock,
// on random numbers or on the order of a map. All calls come from one goroutine.
type Machine interface {
	// Apply applies a committed entry; its kind is at least replica.KindApplication.
	// Result and error go to the caller of Propose. An error does not stop the
	// replica, and must be the same at every replica.
	Apply(e replica.Entry) (any, error)
	// Snapshot returns the whole state. It blocks the replica, so it must take far
	// less than an election timeout. The result stays in memory and is sent to
	// followers that are far behind.
	Snapshot() ([]byte, error)
	// Restore replaces the state with the result of an earlier Snapshot.
	Restore(b []byte) error
}

// Transport carries messages between replicas. It may drop, delay, duplicate and
// reorder them.
type Transport interface {
	// Send must not block and must not modify the message.
	Send(m replica.Message)
}

// Storage persists a replica's state; storage.Log implements it on disk. Run
// returns the first error of a method, and the process must stop then.
type Storage interface {
	State() replica.State
	Save(hs replica.HardState, entries []replica.Entry) error
	SaveSnapshot(s replica.Snapshot) error
	InstallSnapshot(hs replica.HardState, s replica.Snapshot) error
}

// Deps holds the dependencies of a Host. All are required.
type Deps struct {
	Storage   Storage
	Transport Transport
	Machine   Machine
	Logger    *slog.Logger
	Now       func() time.Time    // its results must have a monotonic clock reading
	Rand      func(n int64) int64 // returns a random number in [0, n)
}

func (d Deps) validate() error {
	var errs []error
	need := func(present bool, name string) {
		if !present {
			errs = append(errs, fmt.Errorf("host: missing %s", name))
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
