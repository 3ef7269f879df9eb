package entry

import (
	"context"
	"maps"
	"sync"
	"time"

	"savoryreel.example/savoryreel/contract"
	"savoryreel.example/savoryreel/link"
)

// methodSlots tells other entries which slots a workspace holds here.
const methodSlots = "entry.holdings"

// Bounds of the exchange of holdings.
const (
	slotExchangeInterval = time.Second
	// peerSlotsTTL is how long another entry's word counts: three losses.
	peerSlotsTTL = 4 * time.Second
	// maxSlotExchangePeers is the most entries that tell each other. Each tells all
	// others, so bytes grow with their number; with more entries each keeps to
	// its part of a workspace's share, which needs no word from others.
	maxSlotExchangePeers = 16
)

// workspaceSlots is how many slots of one pool one workspace holds at one entry.
type workspaceSlots struct {
	Kind      contract.Kind `msgpack:"k"`
	Pool      string        `msgpack:"p"`
	Workspace string        `msgpack:"w"`
	Slots     int           `msgpack:"n"`
}

// slotExchange exchanges with other entries how many slots each workspace holds. An
// entry that knew only its own would take a workspace that holds much here and
// nothing elsewhere for one above its share, and make its callers wait.
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

// exchange tells the others and takes in what they told.
func (h *slotExchange) exchange() {
	h.send()
	h.apply()
}

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
		_ = link.Notify(h.entry.pool, addr, methodSlots, list) // the next one comes in a second
	}
}

// apply sums up what the others hold and tells the lanes.
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

// slotsByWorkspace returns the slots that each workspace slotsByWorkspace.
func (l *lane) slotsByWorkspace() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.ownSlots)
}

// setRemoteSlots tells the lane the slots that each workspace holds at other
// entries; a workspace that is not named holds none.
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
