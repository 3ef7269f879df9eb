package api

import (
	"context"

	"github.com/gravitational/trace"

	"savoryreel.example/savoryreel/policy/quarantine"
)

// MaxQuarantineRecords is the number of records in one QuarantineCommand.
const MaxQuarantineRecords = 256

// QuarantineCommand merges what an entry knows of requests under which servers have crashed.
// Merging is idempotent, so the command may be sent again.
type QuarantineCommand struct {
	Records []quarantine.Record `msgpack:"r"`
	Now     int64               `msgpack:"n"` // Unix milliseconds by the leader's clock
}

// QuarantineRequest requests the records that have changed after KnownIndex.
type QuarantineRequest struct {
	KnownIndex uint64 `msgpack:"have"`
}

// QuarantineReply contains records, in the order of the log indexes at which they last changed. All
// that have changed up to Index are included.
type QuarantineReply struct {
	Records []quarantine.Record `msgpack:"r"`
	Index   uint64              `msgpack:"idx"`
}

// PublishQuarantine commits records. After an error they may or may not have been committed.
func (c *Client) PublishQuarantine(ctx context.Context, records []quarantine.Record) error {
	var out struct{}
	return c.Propose(ctx, KindQuarantine, &QuarantineCommand{Records: records}, &out)
}

// Quarantine passes to merge all records that have changed from knownIndex to needed, and returns the
// index up to which it did. It calls the replicas in turn, since some may not have applied needed yet.
func (c *Client) Quarantine(ctx context.Context, knownIndex, needed uint64, merge func([]quarantine.Record)) (index uint64, err error) {
	index = knownIndex
	for _, addr := range c.callOrder() {
		for index < needed {
			var reply QuarantineReply
			reply, err = callReplica[QuarantineReply](ctx, c.pool, addr, MethodQuarantine, QuarantineRequest{KnownIndex: index})
			if err != nil || reply.Index <= index {
				break
			}
			merge(reply.Records)
			index = reply.Index
		}
		if index >= needed {
			return index, nil
		}
	}
	if err == nil {
		err = trace.ConnectionProblem(nil, "no replica has applied the records of index %d", needed)
	}
	return index, trace.Wrap(err, "step=fetch quarantine records")
}
