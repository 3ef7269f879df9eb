package membership

import (
	"bytes"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/link"
)

// record is what this process knows of one instance or shared record.
type record struct {
	kind    recordKind
	id      string
	ref     uint64
	inc     uint64
	bodySeq uint64
	body    []byte
	status  statusDelta
	load    loadDelta

	member *memberBody // decoded body of a member
	server *serverBody // decoded body of a backend server

	// What follows is local and doesn't travel.
	announcedSeq  uint64         // last sequence heard here from the backend server itself
	announcedAt   time.Time      // when; set while this process is its home
	homeChangedAt time.Time      // when a change of home was last spread from here
	suspectedAt   time.Time      // when the present suspicion was learnt
	goneAt        time.Time      // when the present mark of being gone was learnt
	orphanedAt    time.Time      // when the backend server's home was found to be gone
	goneSince     time.Time      // when the record was first seen in no use
	loadSentAt    time.Time      // when a load report was last spread from here
	exactLoad     instance.Load  // the last report heard here, not quantised
	lastState     instance.State // as of the last scan
	published     publishedState // what subscribers were last told
}

func refOf(k recordKind, id string, inc uint64) uint64 {
	buf := make([]byte, 0, 64)
	buf = append(buf, byte(k))
	buf = binary.BigEndian.AppendUint64(buf, inc)
	buf = append(buf, id...)
	return xxhash.Sum64(buf)
}

// homeRef is how a status names an entry: by its id only, so that a restart
// of the home doesn't orphan the servers that come back to it.
func homeRef(id string) uint64 { return xxhash.Sum64String(id) }

func newRecord(k recordKind, id string, inc uint64) *record {
	ref := refOf(k, id, inc)
	return &record{
		kind: k, id: id, inc: inc, ref: ref,
		status: statusDelta{Ref: ref},
		load:   loadDelta{Ref: ref},
	}
}

// full returns the record as a delta.
func (r *record) full() fullDelta {
	return fullDelta{
		Kind: r.kind, ID: r.id, Inc: r.inc, BodySeq: r.bodySeq, Body: r.body,
		Status: r.status, Load: r.load,
	}
}

// change says which parts of a record a join has changed.
type change uint8

const (
	changedBody change = 1 << iota
	changedStatus
	changedLoad
)

// setBody takes a body with its sequence. It fails on a body that doesn't
// decode, which then changes nothing.
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

// mergeBody keeps the body with the higher sequence. Two entries may have heard
// one sequence with different bodies only from a faulty server; the bytes then
// decide, so that all replicas choose alike.
func (r *record) mergeBody(seq uint64, body []byte) (change, error) {
	if seq < r.bodySeq || (seq == r.bodySeq && bytes.Compare(body, r.body) <= 0) {
		return 0, nil
	}
	if err := r.setBody(seq, body); err != nil {
		return 0, err
	}
	return changedBody, nil
}

// mergeStatus takes the greater of each part. Leaving and left are only ever
// set: a late or doubled message from before the server began to leave can't
// bring it back. Without that, new work would go to a server about to vanish.
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

// markedGone says that the record was counted as gone and hasn't refuted it.
func (r *record) markedGone() bool {
	return r.kind != recordShared && r.status.Gone != 0 && r.status.Gone >= r.status.Seq
}

// suspected says that a member was suspected and hasn't refuted it.
func (r *record) suspected() bool {
	return r.kind == recordMember && r.status.Suspect != 0 && r.status.Suspect >= r.status.Seq
}

// goneConfirmed says whether a member that is marked gone has had its time to
// refute. After a partition between regions, claims that the members here are
// gone come in from the other side a moment before these members hear of them
// and refute; believed at once, every entry would drop all others for that moment.
func (r *record) goneConfirmed(now time.Time, cfg *Config) bool {
	suspicionExpired := !r.suspectedAt.IsZero() && now.Sub(r.suspectedAt) >= cfg.SuspicionTimeout
	return suspicionExpired || now.Sub(r.goneAt) >= cfg.RefuteGrace
}

// hash covers all that a digest compares: everything but the load.
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

// state is the state that counts at time now, as this process judges it.
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
