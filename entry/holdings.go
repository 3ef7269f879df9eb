package entry

import (
	"context"
	"maps"
	"sync"
	"time"

	"savoryreel.example/savoryreel/contract"
	"savoryreel.example/savoryreel/link"
)

// methodSlots reports to other entries how many slots each workspace holds here.
const methodSlots = "entry.holdings"

// Interval and bounds of the exchange of held slots.
const (
	slotExchangeInterval = time.Second
	// peerSlotsTTL is how long an entry's report counts. It survives three lost reports.
	peerSlotsTTL = 4 * time.Second
	// maxSlotExchangePeers is the number of other entries from which on no reports are
	// sent, since their traffic grows with the square of the number of entries. Each entry
	// then uses only its fraction of a workspace's share, which requires no reports.
	maxSlotExchangePeers = 16
)

// workspaceSlots is the number of slots of one pool that one workspace holds at one entry.
type workspaceSlots struct {
	Kind      contract.Kind `msgpack:"k"`
	Pool      string        `msgpack:"p"`
	Workspace string        `msgpack:"w"`
	Slots     int           `msgpack:"n"`
}

// slotExchange reports the slots that each workspace holds to the other entries. By its own
// count alone, an entry would delay a workspace that holds many slots here and none
// elsewhere, although it is within its share.
type slotExchange struct {
	entry *Entry

	mu    sync.Mutex
	peers map[string]peerSlots // by entry id
}

type peerSlots struct {
	receivedAt time.Time
	slots      []workspaceSlots
}

func newSlotExchange(e *Entry) *slotExchange {
	return &slotExchange{entry: e, peers: map[string]peerSlots{}}
}

func (h *slotExchange) register(s *link.Server) {
	link.HandleNotice(s, methodSlots, func(_ context.Context, from link.PeerInfo, list []workspaceSlots) {
		h.mu.Lock()
		h.peers[from.ID] = peerSlots{receivedAt: h.entry.deps.Now(), slots: list}
		h.mu.Unlock()
	})
}

// exchange sends a report and applies those received.
func (h *slotExchange) exchange() {
	h.send()
	h.apply()
}

// send reports the slots held here to all other entries.
func (h *slotExchange) send() {
	peers := h.entry.peerLinks()
	if len(peers) == 0 || len(peers) >= maxSlotExchangePeers {
		return
	}
	var list []workspaceSlots
	for _, l := range h.entry.lanes.all() {
		for workspace, n := range l.slotsByWorkspace() {
			list = append(list, workspaceSlots{Kind: l.key.kind, Pool: l.key.name, Workspace: workspace, Slots: n})
		}
	}
	for _, addr := range peers {
		_ = link.Notify(h.entry.pool, addr, methodSlots, list) // a lost report is replaced by the next
	}
}

// apply sums up the other entries' reports and passes the sums to the lanes.
func (h *slotExchange) apply() {
	sums := map[laneKey]map[string]int{}
	now := h.entry.deps.Now()
	h.mu.Lock()
	for id, p := range h.peers {
		if now.Sub(p.receivedAt) > peerSlotsTTL {
			delete(h.peers, id)
			continue
		}
		for _, s := range p.slots {
			key := laneKey{kind: s.Kind, name: s.Pool}
			if sums[key] == nil {
				sums[key] = map[string]int{}
			}
			sums[key][s.Workspace] += s.Slots
		}
	}
	h.mu.Unlock()
	for _, l := range h.entry.lanes.all() {
		l.setRemoteSlots(sums[l.key])
	}
}

// slotsByWorkspace returns the slots that each workspace holds here.
func (l *lane) slotsByWorkspace() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.ownSlots)
}

// setRemoteSlots sets the slots that each workspace holds at other entries. A workspace
// that slots does not contain holds none.
func (l *lane) setRemoteSlots(slots map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for workspace := range l.remoteSlots {
		if slots[workspace] == 0 {
			l.starter.SetRemoteSlots(workspace, 0)
		}
	}
	for workspace, n := range slots {
		l.starter.SetRemoteSlots(workspace, n)
	}
	l.remoteSlots = slots
}
