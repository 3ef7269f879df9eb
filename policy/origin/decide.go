package origin

import "slices"

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
	Complete bool     `msgpack:"c"` // see Versions.Complete
	Voter    bool     `msgpack:"p"` // the replica is a voter
	Voters   int      `msgpack:"n"` // number of voters; 0: not known
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
// of the voters holds: each version is held by a majority before entries learn of its first server, so that
// any majority names it. all says that no further replies will come.
func Decide(service string, replies []Reply, all bool) (Origin, Knowledge) {
	if slices.ContainsFunc(replies, func(r Reply) bool { return r.Found && r.Doubtful }) {
		return Origin{}, Unknown
	}
	var versions []string
	voters, complete := 0, 0
	for _, r := range replies {
		if r.Found {
			return r.Origin, Known
		}
		voters = max(voters, r.Voters)
		if r.Voter && r.Complete {
			complete++
		}
		versions = append(versions, r.Versions...)
	}
	slices.Sort(versions)
	versions = slices.Compact(versions)
	switch {
	case len(versions) > 1 && all:
		return Origin{}, Unknown
	case len(versions) == 1 && voters > 0 && complete > voters/2:
		return Origin{Service: service, Version: versions[0]}, Known
	default:
		return Origin{}, Undecided
	}
}
