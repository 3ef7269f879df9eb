package api

// EndedUsageRequest asks a replica for the usage of entries that have ended, from a window on.
type EndedUsageRequest struct {
	From int64 `msgpack:"w"`
}

// EndedUsageReply holds that usage, as far as the replica has it.
type EndedUsageReply struct {
	Entries []EntryUsage `msgpack:"e"`
}

// EntryUsage is the usage of one incarnation of an entry, and the window in which it counted at its last report.
type EntryUsage struct {
	Name        string        `msgpack:"n"`
	Incarnation uint64        `msgpack:"i"`
	OpenWindow  int64         `msgpack:"o"`
	Usage       []WindowUsage `msgpack:"u"`
}
