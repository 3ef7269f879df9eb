package origin

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Retention is how long after its first event a stream may be taken up, whatever its caller says: callers'
// deadlines are far shorter. What is held for longer is forgotten.
const Retention = time.Minute

// Key identifies an attempt of a caller.
type Key uint64

// KeyOf returns the key of an attempt, by its id and the workspace that it came from.
func KeyOf(workspace, id string) Key {
	d := xxhash.New()
	_, _ = d.WriteString(workspace) // a digest never fails
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(id)
	return Key(d.Sum64())
}

// Origin is what began a stream.
type Origin struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Service string `msgpack:"s"`
	Version string `msgpack:"v"` // of the server's software, as announced; empty: it announced none
	// Server and Incarnation name the server, as the entry knew it.
	Server      string `msgpack:"i"`
	Incarnation uint64 `msgpack:"n"`
}

// Record is the origin of the stream that an attempt began.
type Record struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Key Key `msgpack:"k"`
	Origin
	Left time.Duration `msgpack:"l"` // for how long its caller may still take it up
}

// Contradicted reports whether a record of the origin's server shows that the version of the origin may be
// wrong: the server has started again with another version, and the stream may have begun there.
func (o *Origin) Contradicted(incarnation uint64, version string) bool {
	return incarnation > o.Incarnation && version != o.Version
}
