package entry

import (
	"context"
	"maps"
	"sync"
	"time"

	"savoryreel.example/savoryreel/contract"
	"savoryreel.example/savoryreel/link"
)

// methodHoldings tells other entries which slots a workspace holds here.
const methodHoldings = "entry.holdings"

// Bounds of the exchange of holdings.
const (
	holdingsEvery = time.Second
	// holdingsKept is how long another entry's word counts: three losses.
	holdingsKept = 4 * time.Second
	// holdingsPeers is the most entries that tell each other. Each tells all
	// others, so bytes grow with their number; with more entries each keeps to
	// its part of a workspace's share, which needs no word from others.
	holdingsPeers = 16
)

// holding is how many slots of one pool one workspace holds at one entry.
type holding struct {
	Kind      contract.Kind `msgpack:"k"`
	Pool      string        `msgpack:"p"`
	Workspace string        `msgpack:"w"`
	Slots     int           `msgpack:"n"`
}

// holdings exchanges with other entries how many slots each workspace holds. An
// entry that knew only its own would take a workspace that holds much here and
// nothing elsewhere for one above its share, and make its callers wait.
type holdings struct {
	entry *Entry

	mu    sync.Mutex
	peers map[string]peerHoldings // by entry id
}

type peerHoldings struct {
	at    time.Time
	slots []holding
}

func newHoldings(e *Entry) *holdings {
	return &holdings{entry: e, peers: map[string]peerHoldings{}}
}

func (h *holdings) register(s *link.Server) {
	link.HandleNotice(s, methodHoldings, func(_ context.Context, from link.PeerInfo, list []holding) {
		h.mu.Lock()
		h.peers[from.ID] = peerHoldings{at: h.entry.deps.Now(), slots: list}
		h.mu.Unlock()
	})
}

// exchange tells the others and takes in what they told.
func (h *holdings) exchange() {
	h.tell()
	h.apply()
}

func (h *holdings) tell() {
	peers := h.entry.peerLinks()
	if len(peers) == 0 || len(peers) >= holdingsPeers {
		return
	}
	var list []holding
	for _, l := range h.entry.lanes.all() {
		for workspace, n := range l.holds() {
			list = append(list, holding{Kind: l.key.kind, Pool: l.key.name, Workspace: workspace, Slots: n})
		}
	}
	for _, addr := range peers {
		_ = link.Notify(h.entry.pool, addr, methodHoldings, list) // the next one comes in a second
	}
}

// apply sums up what the others hold and tells the lanes.
func (h *holdings) apply() {
	sums := map[laneKey]map[string]int{}
	now := h.entry.deps.Now()
	h.mu.Lock()
	for id, p := range h.peers {
		if now.Sub(p.at) > holdingsKept {
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
		l.setElsewhere(sums[l.key])
	}
}

// holds returns the slots that each workspace holds.
func (l *lane) holds() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.held)
}

// setElsewhere tells the lane the slots that each workspace holds at other
// entries; a workspace that is not named holds none.
func (l *lane) setElsewhere(slots map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for workspace := range l.elsewhere {
		if slots[workspace] == 0 {
			l.starter.SetRemoteSlots(workspace, 0)
		}
	}
	for workspace, n := range slots {
		l.starter.SetRemoteSlots(workspace, n)
	}
	l.elsewhere = slots
}
