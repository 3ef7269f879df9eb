package api

import (
	"savoryreel.example/savoryreel/policy/origin"
	"savoryreel.example/savoryreel/policy/quorum"
)

// RecordOriginsRequest asks a replica to hold the origins of streams.
type RecordOriginsRequest struct {
	Records []origin.Record `msgpack:"r"`
}

// RecordOriginsReply says that the receiver holds them, in memory.
type RecordOriginsReply struct{}

// FindOriginRequest asks a replica for the origin of the stream that an attempt began, as an
// origin.Reply. Service is the one that the route has now.
type FindOriginRequest struct {
	Key     origin.Key `msgpack:"k"`
	Service string     `msgpack:"s"`
}

// CommitVersionsRequest asks the leader to commit versions of services before servers of theirs are reported
// to entries.
type CommitVersionsRequest struct {
	Versions []origin.ServiceVersion `msgpack:"v"`
}

// CommitVersionsReply says that they are committed.
type CommitVersionsReply struct{}

// ServerStartRequest asks a replica which start of a server is the last that it knows.
type ServerStartRequest struct {
	Server string `msgpack:"s"`
}

// ServerStartReply is the last start of a server that the replica knows. There is an error instead if it has
// received no heartbeat of the server since its own start.
type ServerStartReply struct {
	Incarnation uint64      `msgpack:"n"`
	View        quorum.View `msgpack:"p"`
}
