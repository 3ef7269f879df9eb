package coordinator

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/policy/limit"
	"savoryreel.example/savoryreel/policy/origin"
	"savoryreel.example/savoryreel/policy/suspect"
	"savoryreel.example/savoryreel/replica"
	"savoryreel.example/savoryreel/replica/roster"
)

// Kinds of entries in the replicated log. The values are stored.
const (
	kindRevise uint8 = replica.KindApplication + iota
	kindFound
	kindRegister
	kindRetire
	kindUsage
	kindUsageSent
	kindSize
	kindTrial
	kindSuspects
	kindStartRollout
	kindSetPhase
	kindShares
	kindVersions
)

type reviseCommand struct {
	Revision uint64 `msgpack:"rev"`
	Document []byte `msgpack:"doc"`
}

type foundCommand struct {
	Registrations []registration `msgpack:"registrations"`
}

type registerCommand struct {
	Address string `msgpack:"addr"`
	Nonce   string `msgpack:"nonce"`
}

type retireCommand struct {
	ID uint64 `msgpack:"id"`
}

type usageSentCommand struct {
	Window int64 `msgpack:"w"`
}

// sizeCommand records how many servers a service had before any was ordered.
type sizeCommand struct {
	Service string `msgpack:"s"`
	Servers int    `msgpack:"n"`
}

// registration is a replica id with the link address of its instance.
type registration struct {
	ID      uint64 `msgpack:"id"`
	Address string `msgpack:"addr"`
	Nonce   string `msgpack:"nonce,omitempty"`
}

// usageWindow is the decided usage of one window. It is committed before it is sent, so
// that another leader sends the same counts.
type usageWindow struct {
	Window int64            `msgpack:"w"`
	Counts map[string]int64 `msgpack:"c"`
	Sent   bool             `msgpack:"sent,omitempty"`
	// Oldest is the oldest window that could still be reported when this one was decided.
	// The state drops those before it.
	Oldest int64 `msgpack:"oldest,omitempty"`
}

// state is the replicated state machine. Apply is called by one goroutine at a time; the
// methods that read may be called concurrently.
type state struct {
	mu            sync.RWMutex
	revision      uint64
	document      []byte
	registrations []registration // sorted by id
	highestID     uint64         // highest id ever issued; ids are never reused
	usage         []usageWindow
	initialSizes  map[string]int // servers of each service before any was ordered
	trials        *suspect.Trials
	rollouts      map[string]rolloutRecord // the last of each service
	grants        *limit.Table
	versions      []origin.ServiceVersion // whose streams may be taken up

	onRevision func(revision uint64, document []byte)
	onMembers  func([]roster.Member)
	onTrials   func(fingerprints []uint64) // sorted
	onRollouts func([]api.Rollout)         // the last of each service
}

func newState(onRevision func(uint64, []byte), onMembers func([]roster.Member), onTrials func([]uint64), onRollouts func([]api.Rollout)) *state {
	return &state{
		initialSizes: make(map[string]int), trials: suspect.NewTrials(nil), rollouts: make(map[string]rolloutRecord), grants: limit.NewTable(0, nil),
		onRevision: onRevision, onMembers: onMembers, onTrials: onTrials, onRollouts: onRollouts,
	}
}

// Apply implements host.Machine.
func (s *state) Apply(e replica.Entry) (any, error) {
	switch e.Kind {
	case kindRevise:
		return apply(e, s.applyRevise)
	case kindFound:
		return apply(e, s.applyFound)
	case kindRegister:
		return apply(e, s.applyRegister)
	case kindRetire:
		return apply(e, s.applyRetire)
	case kindUsage:
		return apply(e, s.applyUsage)
	case kindUsageSent:
		return apply(e, s.applyUsageSent)
	case kindSize:
		return apply(e, s.applySize)
	case kindTrial:
		return apply(e, s.applyTrial)
	case kindSuspects:
		return apply(e, s.applySuspects)
	case kindStartRollout:
		defer s.notifyRollouts()
		return apply(e, func(c startRolloutCommand) startRolloutResult { return s.applyStartRollout(e.Index, c) })
	case kindSetPhase:
		defer s.notifyRollouts()
		return apply(e, s.applySetPhase)
	case kindShares:
		return apply(e, func(c limit.Change) bool { return s.applyShares(e.Index, &c) })
	case kindVersions:
		return apply(e, s.applyVersions)
	default:
		return nil, trace.BadParameter("log entry %d has unknown kind %d", e.Index, e.Kind)
	}
}

// apply decodes an entry and applies it with fn.
func apply[C, R any](e replica.Entry, fn func(C) R) (any, error) {
	var c C
	if err := msgpack.Unmarshal(e.Data, &c); err != nil {
		return nil, trace.Wrap(err, "step=apply entry %d of kind %d", e.Index, e.Kind)
	}
	return fn(c), nil
}

// applyRevise puts a catalogue in force if its revision is higher than the present one,
// and returns the revision in force.
func (s *state) applyRevise(c reviseCommand) uint64 {
	s.mu.Lock()
	newer := c.Revision > s.revision || s.document == nil
	if newer {
		s.revision, s.document = c.Revision, c.Document
	}
	inForce := s.revision
	s.mu.Unlock()
	if newer {
		s.onRevision(inForce, c.Document)
	}
	return inForce
}

// applyFound registers the founders and reports whether it did; it does nothing if the
// group was founded before.
func (s *state) applyFound(c foundCommand) bool {
	s.mu.Lock()
	founded := s.highestID > 0
	if !founded {
		s.registrations = c.Registrations
		for _, x := range c.Registrations {
			s.highestID = max(s.highestID, x.ID)
		}
	}
	s.mu.Unlock()
	s.notifyMembers()
	return !founded
}

// applyRegister issues the next id. The same nonce gets the same id while its
// registration exists, since the reply to the first request may have been lost.
//
// It issues none and returns 0 before the founders are registered: the id would be that
// of a founder, and two replicas with one id could elect two leaders.
func (s *state) applyRegister(c registerCommand) uint64 {
	s.mu.Lock()
	if s.highestID == 0 {
		s.mu.Unlock()
		return 0
	}
	for _, x := range s.registrations {
		if x.Nonce == c.Nonce && c.Nonce != "" {
			s.mu.Unlock()
			return x.ID
		}
	}
	s.highestID++
	id := s.highestID
	s.registrations = append(slices.Clone(s.registrations), registration{ID: id, Address: c.Address, Nonce: c.Nonce})
	s.mu.Unlock()
	s.notifyMembers()
	return id
}

// applyRetire removes a registration.
func (s *state) applyRetire(c retireCommand) bool {
	s.mu.Lock()
	s.registrations = slices.DeleteFunc(slices.Clone(s.registrations), func(x registration) bool { return x.ID == c.ID })
	s.mu.Unlock()
	s.notifyMembers()
	return true
}

// applyUsage adds the usage of a window unless it was decided before, drops windows that
// are no longer reported, and reports whether it added the window. A dropped window is
// not added again.
func (s *state) applyUsage(c usageWindow) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.usage {
		if w.Window == c.Window || c.Window < w.Oldest {
			return false
		}
	}
	s.usage = append(slices.Clone(s.usage), c)
	slices.SortFunc(s.usage, func(a, b usageWindow) int { return cmp.Compare(a.Window, b.Window) })
	s.usage = slices.DeleteFunc(s.usage, func(w usageWindow) bool { return w.Window < min(c.Oldest, c.Window) })
	return true
}

// applyUsageSent marks a window as sent.
func (s *state) applyUsageSent(c usageSentCommand) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usage = slices.Clone(s.usage)
	for i := range s.usage {
		if s.usage[i].Window == c.Window {
			s.usage[i].Sent = true
		}
	}
	return true
}

// applySize records the initial size of a service and returns it. Later sizes are
// ignored.
func (s *state) applySize(c sizeCommand) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.initialSizes[c.Service]; !known {
		s.initialSizes[c.Service] = c.Servers
	}
	return s.initialSizes[c.Service]
}

// applyShares changes the entries' shares of the limits, and reports whether the change was not void.
func (s *state) applyShares(index uint64, c *limit.Change) (ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grants, ok = s.grants.Apply(c, index)
	return ok
}

// shares returns the entries' shares of the limits.
func (s *state) shares() *limit.Table {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.grants
}

// initialSize returns how many servers a service had before any was ordered, 0 if
// unknown.
func (s *state) initialSize(service string) int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.initialSizes[service]
}

func (s *state) notifyRollouts() { s.onRollouts(s.rolloutViews()) }

func (s *state) notifyMembers() { s.onMembers(s.members()) }

// members returns the registrations in the form that package roster uses.
func (s *state) members() []roster.Member {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make([]roster.Member, 0, len(s.registrations))
	for _, x := range s.registrations {
		out = append(out, roster.Member{ID: x.ID, Address: x.Address})
	}
	return out
}

// catalogue returns the catalogue in force; document is nil before the first.
func (s *state) catalogue() (revision uint64, document []byte) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.revision, s.document
}

// lookupRegistration returns the registration of an id. registered is false for an id
// that was retired or never issued; issued distinguishes the two.
func (s *state) lookupRegistration(id uint64) (reg registration, registered, issued bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, x := range s.registrations {
		if x.ID == id {
			return x, true, true
		}
	}
	return registration{}, false, id <= s.highestID
}

// founded reports whether the founders are registered.
func (s *state) founded() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.highestID > 0
}

// usageWindows returns the decided windows, oldest first. The caller must not modify
// them.
func (s *state) usageWindows() []usageWindow {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.usage
}

// stateSnapshot is the encoding of a state.
type stateSnapshot struct {
	Revision      uint64         `msgpack:"rev"`
	Document      []byte         `msgpack:"doc"`
	Registrations []registration `msgpack:"registrations"`
	Highest       uint64         `msgpack:"highest"`
	Usage         []usageWindow  `msgpack:"usage"`

	Sizes  map[string]int                `msgpack:"sizes"`
	Trials map[uint64]suspect.TrialCount `msgpack:"trials,omitempty"`

	Rollouts map[string]rolloutRecord `msgpack:"rollouts,omitempty"`

	Grants      []limit.Grant `msgpack:"grants,omitempty"`
	GrantsIndex uint64        `msgpack:"grantsIndex,omitempty"` // limit.Table.Index

	Versions []origin.ServiceVersion `msgpack:"versions,omitempty"`
}

// Snapshot implements host.Machine.
func (s *state) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	usage := make([]usageWindow, 0, len(s.usage))
	for _, w := range s.usage {
		w.Counts = maps.Clone(w.Counts)
		usage = append(usage, w)
	}
	enc, err := msgpack.Marshal(&stateSnapshot{
		Revision: s.revision, Document: s.document, Registrations: s.registrations, Highest: s.highestID, Usage: usage, Sizes: maps.Clone(s.initialSizes),
		Trials: s.trials.Snapshot(), Rollouts: maps.Clone(s.rollouts), Grants: s.grants.All(), GrantsIndex: s.grants.Index, Versions: s.versions,
	})
	return enc, trace.Wrap(err, "step=snapshot")
}

// Restore implements host.Machine.
func (s *state) Restore(enc []byte) error {
	var in stateSnapshot
	if err := msgpack.Unmarshal(enc, &in); err != nil {
		return trace.Wrap(err, "step=restore")
	}
	s.mu.Lock()
	s.revision, s.document = in.Revision, in.Document
	s.registrations, s.highestID, s.usage = in.Registrations, in.Highest, in.Usage
	s.initialSizes = make(map[string]int, len(in.Sizes))
	maps.Copy(s.initialSizes, in.Sizes)
	s.trials = suspect.NewTrials(in.Trials)
	s.rollouts = make(map[string]rolloutRecord, len(in.Rollouts))
	maps.Copy(s.rollouts, in.Rollouts)
	s.grants, s.versions = limit.NewTable(in.GrantsIndex, in.Grants), in.Versions
	s.mu.Unlock()
	s.onRevision(in.Revision, in.Document)
	s.notifyMembers()
	s.notifyTrials()
	s.notifyRollouts()
	return nil
}
