// Package records encodes and merges the small records that the membership
// distributes to every instance: quarantine records and reclaim notices.
//
// All instances must merge two versions of a record to the same bytes. Otherwise
// their records would never converge, and each comparison would send them again.
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

// quarantinePrefix is the prefix of the keys of quarantine records.
const quarantinePrefix = "quarantine/"

// QuarantineKey returns the key of the quarantine record of a fingerprint.
func QuarantineKey(fingerprint uint64) string {
	return quarantinePrefix + strconv.FormatUint(fingerprint, 16)
}

// IsQuarantine reports whether key is that of a quarantine record.
func IsQuarantine(key string) bool { return strings.HasPrefix(key, quarantinePrefix) }

// IsNotice reports whether key is that of a reclaim notice.
func IsNotice(key string) bool { return strings.HasPrefix(key, fleet.NoticePrefix) }

// EncodeQuarantine encodes the body of a quarantine record.
func EncodeQuarantine(r quarantine.Record) ([]byte, error) { return msgpack.Marshal(&r) }

// DecodeQuarantine decodes the body of the quarantine record with the given key. It
// returns an error if the body belongs to another key.
func DecodeQuarantine(key string, body []byte) (quarantine.Record, error) {
	var r quarantine.Record
	if err := link.Unmarshal(body, &r); err != nil {
		return r, trace.Wrap(err, "step=decode quarantine record")
	}
	if QuarantineKey(r.Fingerprint) != key {
		return r, trace.BadParameter("record %s contains fingerprint %x", key, r.Fingerprint)
	}
	return r, nil
}

// DecodeNotice decodes the body of the reclaim notice with the given key. It
// returns an error if the body belongs to another key.
func DecodeNotice(key string, body []byte) (fleet.Notice, error) {
	notice, err := fleet.DecodeNotice(body)
	if err != nil {
		return notice, err
	}
	if fleet.NoticeKey(notice.Instance) != key {
		return notice, trace.BadParameter("record %s contains instance %s", key, notice.Instance)
	}
	return notice, nil
}

// Merge merges two bodies of the record with the given key. The result is the union
// of quarantine records, the reclaim notice with the later deadline, and the
// greater body by bytes of any other record. A body that cannot be decoded is
// ignored if the other one can. Merge is commutative, associative and idempotent.
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
		return greater(a, b) // not reached: a quarantine record always encodes
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

// greater returns the body that is greater in bytewise order.
func greater(a, b []byte) []byte {
	if string(a) > string(b) {
		return a
	}
	return b
}
