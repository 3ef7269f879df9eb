package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"savoryreel.example/savoryreel/instance"
)

// ring is what this member derives from the set of members.
type ring struct {
	neighbours []neighbour
	alive      []*record         // members but for this one that are not gone, by id
	gone       []*record         // members that are marked gone without having left, by id
	homes      map[uint64]string // ids of this member and of those alive, by homeRef
}

// neighbour is a member that this one pushes to.
type neighbour struct {
	id     string
	region bool // successor in a ring over the region, so it gets the load reports
}

// rebuildRing computes the neighbours anew.
func (c *core) rebuildRing(now time.Time) {
	c.ringDirty = false
	c.ring = ring{homes: map[uint64]string{homeRef(c.self.id): c.self.id}}
	for _, r := range c.records {
		c.sortIn(r, now)
	}
	byID := func(a, b *record) int { return cmp.Compare(a.id, b.id) }
	slices.SortFunc(c.ring.alive, byID)
	slices.SortFunc(c.ring.gone, byID)
	near := slices.DeleteFunc(slices.Clone(c.ring.alive), func(r *record) bool {
		return r.member.Region != c.self.member.Region
	})
	for n := range regionRings {
		c.addSuccessor(near, "region", n, true)
	}
	for n := range globalRings {
		c.addSuccessor(c.ring.alive, "all", n, false)
	}
	c.dropOldBoxes()
}

func (c *core) sortIn(r *record, now time.Time) {
	switch {
	case r.kind != recordMember || r == c.self || r.left():
	case r.state(now, &c.cfg) == instance.StateGone:
		c.ring.gone = append(c.ring.gone, r)
	default:
		c.ring.alive = append(c.ring.alive, r)
		c.ring.homes[homeRef(r.id)] = r.id
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
// neighbour. Members that can't be reached at present are passed over, so that
// news doesn't wait until their failure is established.
func (c *core) addSuccessor(members []*record, name string, number int, region bool) {
	own := ringPosition(name, number, c.self.id)
	var best *record
	var bestDistance uint64
	for _, r := range members {
		if c.isNeighbour(r.id) || r.suspected() || c.probes[r.id] != nil {
			continue
		}
		distance := ringPosition(name, number, r.id) - own // wraps: a circle
		if best == nil || distance < bestDistance {
			best, bestDistance = r, distance
		}
	}
	if best != nil {
		c.ring.neighbours = append(c.ring.neighbours, neighbour{id: best.id, region: region})
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
	return slices.ContainsFunc(c.ring.neighbours, func(n neighbour) bool { return n.id == id })
}

// dropOldBoxes hands what waits for former neighbours to the present ones. A
// former neighbour may have been chosen away just because it stopped answering,
// and the news that waited for it must still get round.
func (c *core) dropOldBoxes() {
	for _, id := range sortedKeys(c.boxes) {
		b := c.boxes[id]
		if c.isNeighbour(id) {
			b.temporary = false
			continue
		}
		if b.temporary {
			continue
		}
		delete(c.boxes, id)
		for _, n := range c.ring.neighbours {
			box := c.box(n.id)
			for ref, need := range b.refs {
				if r := c.records[ref]; r != nil && (n.region || need&^needLoad != 0) {
					c.enqueue(box, r, need)
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
