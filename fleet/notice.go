package fleet

import (
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"savoryreel.example/savoryreel/native"
)

// NoticePrefix is the key prefix of a reclaim notice's shared membership record;
// the instance id follows. A backend server has the id of its cloud instance.
const NoticePrefix = "notice/"

// Notice states that the cloud will reclaim an instance. It is the body of the
// record NoticePrefix+Instance, as a msgpack map with the keys below. The record's
// version is the sequence number of the cloud's notice, so a later notice replaces
// it. Readers treat the server as leaving, whatever state it announces, until it
// is gone or returns with a higher incarnation.
type Notice struct {
	Instance string `msgpack:"id"`
	Zone     string `msgpack:"zone"`
	Deadline int64  `msgpack:"end"` // when the instance ends, in Unix milliseconds
}

// NoticeKey returns the key of an instance's notice record.
func NoticeKey(instance string) string { return NoticePrefix + instance }

// Ends returns the time at which the instance ends.
func (n Notice) Ends() time.Time { return time.UnixMilli(n.Deadline) }

// Encode returns the notice as the body of a record.
func (n Notice) Encode() ([]byte, error) {
	b, err := msgpack.Marshal(&n)
	return b, trace.Wrap(err, "step=encode notice")
}

// DecodeNotice decodes the body of a record.
func DecodeNotice(body []byte) (Notice, error) {
	var n Notice
	if err := msgpack.Unmarshal(body, &n); err != nil {
		return Notice{}, trace.Wrap(err, "step=decode notice")
	}
	if n.Instance == "" {
		return Notice{}, trace.BadParameter("notice has no instance id")
	}
	return n, nil
}

func newNotice(n native.Notice) Notice {
	return Notice{Instance: n.InstanceID, Zone: n.Zone, Deadline: n.Deadline.UnixMilli()}
}
