package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"savoryreel.example/savoryreel/instance"
)

// topology is derived from the set of members.
type topology struct {
	neighbours []neighbour
	alive      []*record         // other members that are not gone, by id
	gone       []*record         // members that are gone without having left, by id
	homes      map[uint64]string // ids of this member and of the alive ones, by homeRef
}

// neighbour is a member that this one pushes to.
type neighbour struct {
	id           string
	inRegionRing bool // successor in a ring over the region: gets load reports
}

// rebuildTopology recomputes the neighbours and the sets of members.
func (c *core) rebuildTopology(now time.Time) {
	c.topologyDirty = false
	c.topology = topology{homes: map[uint64]string{homeRef(c.self.id): c.self.id}}
	for _, r := range c.records {
		c.addMember(r, now)
	}
	byID := func(a, b *record) int { return cmp.Compare(a.id, b.id) }
	slices.SortFunc(c.topology.alive, byID)
	slices.SortFunc(c.topology.gone, byID)
	sameRegion := slices.DeleteFunc(slices.Clone(c.topology.alive), func(r *record) bool {
		return r.member.Region != c.self.member.Region
	})
	for n := range regionRings {
		c.addSuccessor(sameRegion, "region", n, true)
	}
	for n := range globalRings {
		c.addSuccessor(c.topology.alive, "all", n, false)
	}
	c.rerouteOldOutboxes()
}

func (c *core) addMember(r *record, now time.Time) {
	switch {
	case r.kind != recordMember || r == c.self || r.left():
	case r.state(now, &c.cfg) == instance.StateGone:
		c.topology.gone = append(c.topology.gone, r)
	default:
		c.topology.alive = append(c.topology.alive, r)
		c.topology.homes[homeRef(r.id)] = r.id
	}
}

func (c *core) regionOf(r *record) string {
	switch {
	case r.member != nil:
		return r.member.Region
	case r.server != nil:
		return r.server.Region
	default:
		return ""
	}
}

// addSuccessor adds the next member after this one in a ring that is not yet a
// neighbour. It skips suspected and probed members, so that changes aren't delayed
// until their failure is detected.
func (c *core) addSuccessor(members []*record, name string, number int, region bool) {
	ownPosition := ringPosition(name, number, c.self.id)
	var best *record
	var bestDistance uint64
	for _, r := range members {
		if c.isNeighbour(r.id) || r.suspected() || c.probes[r.id] != nil {
			continue
		}
		distance := ringPosition(name, number, r.id) - ownPosition // wraps around
		if best == nil || distance < bestDistance {
			best, bestDistance = r, distance
		}
	}
	if best != nil {
		c.topology.neighbours = append(c.topology.neighbours, neighbour{id: best.id, inRegionRing: region})
	}
}

func ringPosition(name string, number int, id string) uint64 {
	buf := make([]byte, 0, 64)
	buf = append(buf, name...)
	buf = binary.BigEndian.AppendUint16(buf, uint16(number))
	buf = append(buf, id...)
	return xxhash.Sum64(buf)
}

func (c *core) isNeighbour(id string) bool {
	return slices.ContainsFunc(c.topology.neighbours, func(n neighbour) bool { return n.id == id })
}

// rerouteOldOutboxes moves the deltas queued for former neighbours to the current
// ones. A former neighbour may have been replaced because it stopped answering, and
// its queued changes must still be disseminated.
func (c *core) rerouteOldOutboxes() {
	for _, id := range sortedKeys(c.outboxes) {
		b := c.outboxes[id]
		if c.isNeighbour(id) {
			b.temporary = false
			continue
		}
		if b.temporary {
			continue
		}
		delete(c.outboxes, id)
		for _, n := range c.topology.neighbours {
			box := c.outboxFor(n.id)
			for ref, kind := range b.refs {
				if r := c.records[ref]; r != nil && (n.inRegionRing || kind&^deltaLoad != 0) {
					c.enqueue(box, r, kind)
				}
			}
		}
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
