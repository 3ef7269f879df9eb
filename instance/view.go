package instance

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Roles of the system's own instances.
const (
	RoleEntry   = "entry"
	RoleControl = "control"
)

// Member is an entry or a control replica, as last received by this process. Values
// returned by a View are immutable.
type Member struct {
	ID            string
	Incarnation   uint64
	Role          string
	Region        string
	Zone          string
	CallerAddress string // host:port for callers; empty if it serves none
	LinkAddress   string // host:port for links
	State         State
	Load          float64 // fraction of its capacity in use; above 1 when overloaded
	Catalogue     uint64  // version of the catalogue it has applied
	Suspected     bool    // unreachable for at least one observer, not yet gone
}

// Server is a backend server, as last received by this process. Values returned by a
// View are immutable. State may differ from the announced one: it is StateGone also
// if the server became unreachable without announcing it.
type Server struct {
	Announcement
	HeardBy string // id of the entry that receives its heartbeats; empty if unknown
}

// Record is a small shared value, such as a quarantine.
type Record struct {
	Key     string
	Version uint64
	Body    []byte // must not be modified
}

// Update is one change to a View. Exactly one field is set.
type Update struct {
	Server *Server
	Member *Member
	Record *Record
	// RemoveServer and RemoveMember are the id of an instance to remove from the View.
	RemoveServer string
	RemoveMember string
}

const viewShards = 16

// View holds the last received state of all instances. Reads take no lock and do not
// allocate: each shard is an immutable snapshot behind an atomic pointer, and Apply
// replaces only the shards that change. All methods are safe for concurrent use.
type View struct {
	servers        [viewShards]atomic.Pointer[map[string]*Server]
	serversByName  [viewShards]atomic.Pointer[map[string][]*Server]
	members        [viewShards]atomic.Pointer[map[string]*Member]
	membersByRole  [viewShards]atomic.Pointer[map[string][]*Member]
	records        [viewShards]atomic.Pointer[map[string]Record]
	presentServers atomic.Pointer[[]*Server]

	applyMu sync.Mutex // serialises Apply; reads don't take it
}

// NewView returns an empty view.
func NewView() *View { return &View{} }

func shardOf(key string) int { return int(xxhash.Sum64String(key) % viewShards) }

// Servers returns the serving backend servers of a model or plain service, ordered by
// id, without leaving and gone ones. The caller must not modify the slice.
func (v *View) Servers(name string) []*Server {
	return loadMap(&v.serversByName[shardOf(name)])[name]
}

// AllServers returns the backend servers that are serving or leaving, ordered by id.
// The caller must not modify the slice.
func (v *View) AllServers() []*Server {
	if p := v.presentServers.Load(); p != nil {
		return *p
	}
	return nil
}

// Server returns the backend server with an id, also if it is leaving or gone.
func (v *View) Server(id string) (*Server, bool) {
	s, ok := loadMap(&v.servers[shardOf(id)])[id]
	return s, ok
}

// Members returns the members with a role, or of all roles if role is empty, that are
// not gone, ordered by id. The caller must not modify the slice.
func (v *View) Members(role string) []*Member {
	return loadMap(&v.membersByRole[shardOf(role)])[role]
}

// Member returns the member with an id, also if it is gone.
func (v *View) Member(id string) (*Member, bool) {
	m, ok := loadMap(&v.members[shardOf(id)])[id]
	return m, ok
}

// Record returns the shared record with a key.
func (v *View) Record(key string) (Record, bool) {
	r, ok := loadMap(&v.records[shardOf(key)])[key]
	return r, ok
}

// Apply applies a batch of updates in order. Each changed shard is copied and replaced
// once. A concurrent reader may see some shards before and others after the batch.
func (v *View) Apply(batch []Update) {
	v.applyMu.Lock()
	defer v.applyMu.Unlock()
	b := newViewBatch(v)
	for _, u := range batch {
		b.add(u)
	}
	b.commit()
}

// loadMap returns the map that p points to, or nil if p is unset.
func loadMap[V any](p *atomic.Pointer[map[string]V]) map[string]V {
	if m := p.Load(); m != nil {
		return *m
	}
	return nil
}

// viewBatch holds the shard copies of one Apply.
type viewBatch struct {
	view           *View
	servers        shardCopies[*Server]
	serversByName  listCopies[Server]
	members        shardCopies[*Member]
	membersByRole  listCopies[Member]
	records        shardCopies[Record]
	presentServers []*Server
	presentCopied  bool // presentServers has been copied
}

func newViewBatch(v *View) *viewBatch {
	return &viewBatch{
		view:          v,
		servers:       shardCopies[*Server]{shards: &v.servers},
		serversByName: newListCopies(&v.serversByName),
		members:       shardCopies[*Member]{shards: &v.members},
		membersByRole: newListCopies(&v.membersByRole),
		records:       shardCopies[Record]{shards: &v.records},
	}
}

func (b *viewBatch) add(u Update) {
	switch {
	case u.Server != nil:
		b.setServer(u.Server.ID, u.Server)
	case u.Member != nil:
		b.setMember(u.Member.ID, u.Member)
	case u.Record != nil:
		b.records.copyFor(u.Record.Key)[u.Record.Key] = *u.Record
	case u.RemoveServer != "":
		b.setServer(u.RemoveServer, nil)
	case u.RemoveMember != "":
		b.setMember(u.RemoveMember, nil)
	}
}

func (b *viewBatch) setServer(id string, s *Server) {
	table := b.servers.copyFor(id)
	old := table[id]
	if s == nil {
		delete(table, id)
	} else {
		table[id] = s
	}
	for _, name := range servingNames(old) {
		b.setServerName(name, id, nil)
	}
	for _, name := range servingNames(s) {
		b.setServerName(name, id, s)
	}
	if !b.presentCopied {
		b.presentServers, b.presentCopied = slices.Clone(b.view.AllServers()), true
	}
	if s != nil && s.State == StateGone {
		s = nil
	}
	b.presentServers = replaceByID(b.presentServers, id, s, serverID)
}

func (b *viewBatch) setServerName(name, id string, s *Server) {
	b.serversByName.edit(name, func(list []*Server) []*Server { return replaceByID(list, id, s, serverID) })
}

func (b *viewBatch) setMember(id string, m *Member) {
	table := b.members.copyFor(id)
	old := table[id]
	if m == nil {
		delete(table, id)
	} else {
		table[id] = m
	}
	if m != nil && m.State == StateGone {
		m = nil
	}
	if old != nil && (m == nil || m.Role != old.Role) {
		b.setMemberRole(old.Role, id, nil)
	}
	if m != nil {
		b.setMemberRole(m.Role, id, m)
	}
	b.setMemberRole("", id, m)
}

func (b *viewBatch) setMemberRole(role, id string, m *Member) {
	b.membersByRole.edit(role, func(list []*Member) []*Member { return replaceByID(list, id, m, memberID) })
}

func (b *viewBatch) commit() {
	b.servers.commit()
	b.serversByName.shards.commit()
	b.members.commit()
	b.membersByRole.shards.commit()
	b.records.commit()
	if b.presentCopied {
		b.view.presentServers.Store(&b.presentServers)
	}
}

func serverID(s *Server) string { return s.ID }

func memberID(m *Member) string { return m.ID }

// servingNames returns the names under which Servers lists s: its model or its plain
// services; none unless it is serving.
func servingNames(s *Server) []string {
	if s == nil || s.State != StateServing {
		return nil
	}
	if s.Model != "" {
		return []string{s.Model}
	}
	return s.Services
}

// replaceByID replaces or inserts the item with an id in a list ordered by id, or
// removes it if item is nil. It modifies list, which must be a copy made by this batch.
func replaceByID[T any](list []*T, id string, item *T, idOf func(*T) string) []*T {
	i, found := slices.BinarySearchFunc(list, id, func(t *T, id string) int { return strings.Compare(idOf(t), id) })
	switch {
	case found && item == nil:
		return slices.Delete(list, i, i+1)
	case found:
		list[i] = item
		return list
	case item == nil:
		return list
	default:
		return slices.Insert(list, i, item)
	}
}
