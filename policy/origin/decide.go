package origin

import (
	"slices"

	"savoryreel.example/savoryreel/policy/quorum"
)

// Reply is what a control replica knows of the stream that an attempt began.
type Reply struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Found  bool   `msgpack:"f"` // the replica holds its record
	Origin Origin `msgpack:"o"`
	// Doubtful reports that the record is contradicted, see Origin.Contradicted.
	Doubtful bool `msgpack:"d"`
	// Versions holds the versions of the service that may have begun it, sorted.
	Versions []string `msgpack:"v"`
	// Applied reports that the replica had applied all versions in its log before Versions was read.
	Applied bool        `msgpack:"a"`
	View    quorum.View `msgpack:"p"`
}

// Knowledge is how well the origin of a stream is known.
type Knowledge uint8

// The knowledge, in increasing order of use.
const (
	Undecided Knowledge = iota // further replies may tell
	Unknown                    // several versions may have begun the stream, and there is no record
	Known
)

// Decide returns the origin of a stream of a service by the replies of control replicas.
//
// A record decides at once, unless it is doubtful. Without one, the only version decides that a majority
// of the voters knows: each version is committed to the replicated log before entries learn of its first
// server, so that it is in the log of at least one voter of any majority. all says that no further replies
// will come.
func Decide(service string, replies []Reply, all bool) (Origin, Knowledge) {
	if slices.ContainsFunc(replies, func(r Reply) bool { return r.Found && r.Doubtful }) {
		return Origin{}, Unknown
	}
	var versions []string
	var known, applied []quorum.View
	for _, r := range replies {
		if r.Found {
			return r.Origin, Known
		}
		known = append(known, r.View)
		if r.Applied {
			applied = append(applied, r.View)
		}
		versions = append(versions, r.Versions...)
	}
	slices.Sort(versions)
	versions = slices.Compact(versions)
	switch {
	case len(versions) > 1 && all:
		return Origin{}, Unknown
	case len(versions) == 1 && quorum.Majority(applied, known):
		return Origin{Service: service, Version: versions[0]}, Known
	default:
		return Origin{}, Undecided
	}
}
