package membership

import (
	"bytes"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/link"
)

// record is this process's state of one instance or shared record.
type record struct {
	kind    recordKind
	id      string
	ref     uint64
	inc     uint64
	bodySeq uint64
	body    []byte
	status  statusDelta
	load    loadDelta

	member *memberBody // decoded body of a member; else nil
	server *serverBody // decoded body of a backend server; else nil

	// The fields below are local and not sent.
	announcedSeq  uint64         // last sequence announced to this member
	announcedAt   time.Time      // time of that announcement; set while this member is the home
	homeChangedAt time.Time      // when this member last became the home
	suspectedAt   time.Time      // when the current suspicion was received or raised here
	goneAt        time.Time      // when the current gone mark was received or set here
	orphanedAt    time.Time      // since when the backend server's home is gone
	goneSince     time.Time      // since when the state is gone
	loadSentAt    time.Time      // when a load report was last disseminated from here
	exactLoad     instance.Load  // the last report announced here, not quantised
	lastState     instance.State // as of the last scan
	heldFlags     uint8          // flags of the status that enough other members hold; 0: serving
	published     publishedState // what subscribers last received
}

func refOf(k recordKind, id string, inc uint64) uint64 {
	buf := make([]byte, 0, 64)
	buf = append(buf, byte(k))
	buf = binary.BigEndian.AppendUint64(buf, inc)
	buf = append(buf, id...)
	return xxhash.Sum64(buf)
}

// homeRef returns the reference to an entry in a status. It is a hash of the id only,
// so that servers which return to a restarted home aren't orphaned.
func homeRef(id string) uint64 { return xxhash.Sum64String(id) }

func newRecord(k recordKind, id string, inc uint64) *record {
	ref := refOf(k, id, inc)
	return &record{
		kind: k, id: id, inc: inc, ref: ref,
		status: statusDelta{Ref: ref},
		load:   loadDelta{Ref: ref},
	}
}

// recordOf returns the record that a delta holds, or nil if its body is malformed.
func recordOf(f fullDelta) *record {
	r := newRecord(f.Kind, f.ID, f.Inc)
	if err := r.setBody(f.BodySeq, f.Body); err != nil {
		return nil
	}
	r.mergeStatus(f.Status)
	r.mergeLoad(f.Load)
	return r
}

// full returns the record as a delta.
func (r *record) full() fullDelta {
	return fullDelta{
		Kind: r.kind, ID: r.id, Inc: r.inc, BodySeq: r.bodySeq, Body: r.body,
		Status: r.status, Load: r.load,
	}
}

// change is the set of parts of a record that a merge has changed.
type change uint8

const (
	changedBody change = 1 << iota
	changedStatus
	changedLoad
)

// setBody decodes and sets a body. If decoding fails, the record is unchanged.
func (r *record) setBody(seq uint64, body []byte) error {
	switch r.kind {
	case recordMember:
		var m memberBody
		if err := link.Unmarshal(body, &m); err != nil {
			return err
		}
		r.member = &m
	case recordServer:
		var s serverBody
		if err := link.Unmarshal(body, &s); err != nil {
			return err
		}
		r.server = &s
	}
	r.bodySeq, r.body = seq, bytes.Clone(body)
	return nil
}

// mergeBody keeps the body with the higher sequence. Only a faulty server sends
// different bodies with one sequence; the bytes then decide, so that all replicas
// choose alike.
func (r *record) mergeBody(seq uint64, body []byte) (change, error) {
	if seq < r.bodySeq || (seq == r.bodySeq && bytes.Compare(body, r.body) <= 0) {
		return 0, nil
	}
	if err := r.setBody(seq, body); err != nil {
		return 0, err
	}
	return changedBody, nil
}

// mergeStatus keeps the greater value of each field. Leaving and left are only ever
// set: a delayed or duplicated message from before a server began to leave must not
// make it serving again, since new requests would go to a server about to stop.
func (r *record) mergeStatus(d statusDelta) change {
	s := &r.status
	before := *s
	s.Seq = max(s.Seq, d.Seq)
	s.Flags |= d.Flags
	s.Suspect = max(s.Suspect, d.Suspect)
	s.Gone = max(s.Gone, d.Gone)
	if d.HomeSeq > s.HomeSeq || (d.HomeSeq == s.HomeSeq && d.Home > s.Home) {
		s.HomeSeq, s.Home = d.HomeSeq, d.Home
	}
	s.Notice = max(s.Notice, d.Notice)
	if *s == before {
		return 0
	}
	return changedStatus
}

// mergeLoad keeps the newer report.
func (r *record) mergeLoad(d loadDelta) change {
	if d.Seq <= r.load.Seq {
		return 0
	}
	d.Ref = r.ref
	r.load = d
	return changedLoad
}

func (r *record) leaving() bool { return r.status.Flags&flagLeaving != 0 }

func (r *record) left() bool { return r.status.Flags&flagLeft != 0 }

// markedGone reports whether an instance is marked gone and hasn't refuted it.
func (r *record) markedGone() bool {
	return r.kind != recordShared && r.status.Gone != 0 && r.status.Gone >= r.status.Seq
}

// suspected reports whether a member is suspected and hasn't refuted it.
func (r *record) suspected() bool {
	return r.kind == recordMember && r.status.Suspect != 0 && r.status.Suspect >= r.status.Seq
}

// goneConfirmed reports whether a member that is marked gone has had time to refute.
// After a partition between regions, gone marks for the members of this region come in
// shortly before their refutations; applied at once, every entry would drop all its
// peers for that moment.
func (r *record) goneConfirmed(now time.Time, cfg *Config) bool {
	suspicionExpired := !r.suspectedAt.IsZero() && now.Sub(r.suspectedAt) >= cfg.SuspicionTimeout
	return suspicionExpired || now.Sub(r.goneAt) >= cfg.RefuteGrace
}

// hash covers everything that a digest compares: all but the load.
func (r *record) hash() uint64 {
	buf := make([]byte, 0, 80)
	for _, v := range []uint64{
		r.ref, r.bodySeq, r.status.Seq, uint64(r.status.Flags), r.status.Suspect,
		r.status.Gone, r.status.HomeSeq, r.status.Home, xxhash.Sum64(r.body),
	} {
		buf = binary.BigEndian.AppendUint64(buf, v)
	}
	return xxhash.Sum64(buf)
}

// state returns the state at time now as this process determines it.
func (r *record) state(now time.Time, cfg *Config) instance.State {
	switch {
	case r.left(), r.kind == recordServer && r.markedGone():
		return instance.StateGone
	case r.kind == recordMember && r.markedGone() && r.goneConfirmed(now, cfg):
		return instance.StateGone
	case !r.orphanedAt.IsZero() && now.Sub(r.orphanedAt) >= cfg.ServerTimeout:
		return instance.StateGone
	case r.leaving():
		return instance.StateLeaving
	default:
		return instance.StateServing
	}
}
