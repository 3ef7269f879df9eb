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

// Member is one of the system's own instances, an entry or a control replica,
// as this process knows it. Values handed out by a View are immutable.
type Member struct {
	ID            string
	Incarnation   uint64
	Role          string
	Region        string
	Zone          string
	CallerAddress string // host:port for callers; empty where it serves none
	LinkAddress   string // host:port for links
	State         State
	Load          float64 // share of its capacity in use, 0..1 and above when overloaded
	Catalogue     uint64  // version of the catalogue that it has in force
	Suspected     bool    // silent for some observer, not yet counted as gone
}

// Server is a backend server as this process knows it. Values handed out by a
// View are immutable. State is the state that counts here: StateGone also when
// the server fell silent without a word.
type Server struct {
	Announcement
	HeardBy string // id of the entry that hears its heartbeats; empty if unknown
}

// Record is a small piece of shared state, such as a quarantine record.
type Record struct {
	Key     string
	Version uint64
	Body    []byte // not to be changed
}

// Update is one change for a View. Exactly one field is set.
type Update struct {
	Server *Server
	Member *Member
	Record *Record
	// ForgetServer and ForgetMember name an instance that is long gone.
	RemoveServer string
	RemoveMember string
}

const viewShards = 16

// View is what one process knows of all instances. Reads take no lock and
// allocate nothing: each part is an immutable snapshot behind an atomic
// pointer, and a change replaces only the parts it touches. Writers are
// serialised by the caller of Apply.
type View struct {
	servers        [viewShards]atomic.Pointer[map[string]*Server]
	serversByName  [viewShards]atomic.Pointer[map[string][]*Server]
	members        [viewShards]atomic.Pointer[map[string]*Member]
	membersByRole  [viewShards]atomic.Pointer[map[string][]*Member]
	records        [viewShards]atomic.Pointer[map[string]Record]
	presentServers atomic.Pointer[[]*Server]

	applyMu sync.Mutex // held by Apply; readers never take it
}

// NewView returns an empty view.
func NewView() *View { return &View{} }

func shardOf(key string) int { return int(xxhash.Sum64String(key) % viewShards) }

// Servers returns the serving backend servers under one name, a model or a
// plain service, ordered by id. Leaving and gone servers are not among them.
// The slice is a snapshot: don't change it.
func (v *View) Servers(name string) []*Server {
	return loadMap(&v.serversByName[shardOf(name)])[name]
}

// AllServers returns the backend servers that are serving or leaving, ordered
// by id. The slice is a snapshot: don't change it.
func (v *View) AllServers() []*Server {
	if p := v.presentServers.Load(); p != nil {
		return *p
	}
	return nil
}

// Server returns a backend server by id, also one that is leaving or gone.
func (v *View) Server(id string) (*Server, bool) {
	s, ok := loadMap(&v.servers[shardOf(id)])[id]
	return s, ok
}

// Members returns the members of one role that are not gone, ordered by id; of
// all roles if role is empty. The slice is a snapshot: don't change it.
func (v *View) Members(role string) []*Member {
	return loadMap(&v.membersByRole[shardOf(role)])[role]
}

// Member returns a member by id, also one that is gone.
func (v *View) Member(id string) (*Member, bool) {
	m, ok := loadMap(&v.members[shardOf(id)])[id]
	return m, ok
}

// Record returns a shared record by key.
func (v *View) Record(key string) (Record, bool) {
	r, ok := loadMap(&v.records[shardOf(key)])[key]
	return r, ok
}

// Apply takes in a batch of changes. Each snapshot that the batch touches is
// replaced once.
func (v *View) Apply(batch []Update) {
	v.applyMu.Lock()
	defer v.applyMu.Unlock()
	b := newViewBatch(v)
	for _, u := range batch {
		b.add(u)
	}
	b.commit()
}

// load returns the map behind p, which may be unset.
func loadMap[V any](p *atomic.Pointer[map[string]V]) map[string]V {
	if m := p.Load(); m != nil {
		return *m
	}
	return nil
}

// viewBatch gathers the copies that one Apply makes.
type viewBatch struct {
	view           *View
	servers        shardCopies[*Server]
	serversByName  listCopies[Server]
	members        shardCopies[*Member]
	membersByRole  listCopies[Member]
	records        shardCopies[Record]
	presentServers []*Server
	presentCopied  bool // present has been copied
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

// namesOf lists the names under which a server is found: its model, or its
// plain services. One that isn't serving is found under none.
func servingNames(s *Server) []string {
	if s == nil || s.State != StateServing {
		return nil
	}
	if s.Model != "" {
		return []string{s.Model}
	}
	return s.Services
}

// replace puts item in the place of id in a list ordered by id, or takes id out
// if item is nil. It works in place on list, which must be this batch's copy.
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
