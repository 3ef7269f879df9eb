// Package records holds the small shared records that the membership spreads to
// every instance, and how two versions of one record become one.
//
// All instances must join records alike. One that joined them otherwise would
// differ from its neighbours for good, and they would send the record to and fro
// at each comparison.
package records

import (
	"strconv"
	"strings"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"savoryreel.example/savoryreel/fleet"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/policy/quarantine"
)

// quarantinePrefix begins the keys of quarantine records.
const quarantinePrefix = "quarantine/"

// QuarantineKey is the key of a fingerprint's quarantine record.
func QuarantineKey(fingerprint uint64) string {
	return quarantinePrefix + strconv.FormatUint(fingerprint, 16)
}

// IsQuarantine reports whether a key names a quarantine record.
func IsQuarantine(key string) bool { return strings.HasPrefix(key, quarantinePrefix) }

// IsNotice reports whether a key names a reclaim notice.
func IsNotice(key string) bool { return strings.HasPrefix(key, fleet.NoticePrefix) }

// EncodeQuarantine returns the body of a quarantine record.
func EncodeQuarantine(r quarantine.Record) ([]byte, error) { return msgpack.Marshal(&r) }

// DecodeQuarantine reads the body of the quarantine record under a key. A body
// that belongs to another key is an error.
func DecodeQuarantine(key string, body []byte) (quarantine.Record, error) {
	var r quarantine.Record
	if err := link.Unmarshal(body, &r); err != nil {
		return r, trace.Wrap(err, "step=decode quarantine record")
	}
	if QuarantineKey(r.Fingerprint) != key {
		return r, trace.BadParameter("record %s is of fingerprint %x", key, r.Fingerprint)
	}
	return r, nil
}

// DecodeNotice reads the body of the notice under a key. A body that belongs to
// another key is an error.
func DecodeNotice(key string, body []byte) (fleet.Notice, error) {
	notice, err := fleet.DecodeNotice(body)
	if err != nil {
		return notice, err
	}
	if fleet.NoticeKey(notice.Instance) != key {
		return notice, trace.BadParameter("record %s is of instance %s", key, notice.Instance)
	}
	return notice, nil
}

// Merge joins two bodies of one record: of a quarantine record the union, of a
// notice the one that ends later, of any other the one that sorts higher. A body
// that cannot be read counts for nothing.
func Merge(key string, a, b []byte) []byte {
	switch {
	case IsQuarantine(key):
		return mergeQuarantine(key, a, b)
	case IsNotice(key):
		return mergeNotices(key, a, b)
	default:
		return greater(a, b)
	}
}

func mergeQuarantine(key string, a, b []byte) []byte {
	ra, errA := DecodeQuarantine(key, a)
	rb, errB := DecodeQuarantine(key, b)
	switch {
	case errA != nil && errB != nil:
		return greater(a, b)
	case errA != nil:
		ra = rb
	case errB != nil:
		rb = ra
	}
	body, err := EncodeQuarantine(quarantine.Merge(ra, rb))
	if err != nil {
		return greater(a, b) // numbers, strings and times always encode
	}
	return body
}

func mergeNotices(key string, a, b []byte) []byte {
	na, errA := DecodeNotice(key, a)
	nb, errB := DecodeNotice(key, b)
	switch {
	case errA != nil && errB != nil:
		return greater(a, b)
	case errA != nil:
		return b
	case errB != nil, na.Deadline > nb.Deadline:
		return a
	case na.Deadline < nb.Deadline:
		return b
	default:
		return greater(a, b)
	}
}

func greater(a, b []byte) []byte {
	if string(a) > string(b) {
		return a
	}
	return b
}
