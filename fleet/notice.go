package fleet

import (
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"savoryreel.example/savoryreel/native"
)

// NoticePrefix begins the key of the shared membership record of a reclaim
// notice; the id of the instance follows. A backend server has the id of the
// cloud instance that it runs on.
const NoticePrefix = "notice/"

// Notice says that an instance is to be reclaimed. It is the body of the record
// NoticePrefix+Instance, as a msgpack map with the keys below; the record's
// version is the number of the cloud's notice, so a later one replaces it. Who
// reads it treats the server as leaving from then on, whatever the server says
// of itself, until it is gone or comes back under a higher incarnation.
type Notice struct {
	Instance string `msgpack:"id"`
	Zone     string `msgpack:"zone"`
	Deadline int64  `msgpack:"end"` // milliseconds since 1970: the instance ends then
}

// NoticeKey returns the key of an instance's notice record.
func NoticeKey(instance string) string { return NoticePrefix + instance }

// Ends returns when the instance ends.
func (n Notice) Ends() time.Time { return time.UnixMilli(n.Deadline) }

// Encode returns the body of the record.
func (n Notice) Encode() ([]byte, error) {
	b, err := msgpack.Marshal(&n)
	return b, trace.Wrap(err, "step=encode notice")
}

// DecodeNotice reads the body of a record.
func DecodeNotice(body []byte) (Notice, error) {
	var n Notice
	if err := msgpack.Unmarshal(body, &n); err != nil {
		return Notice{}, trace.Wrap(err, "step=decode notice")
	}
	if n.Instance == "" {
		return Notice{}, trace.BadParameter("notice names no instance")
	}
	return n, nil
}

func newNotice(n native.Notice) Notice {
	return Notice{Instance: n.InstanceID, Zone: n.Zone, Deadline: n.Deadline.UnixMilli()}
}
