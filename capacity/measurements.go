package capacity

import "context"

// Measurement is a table that cmd/capacity prints by name.
type Measurement struct {
	Name  string
	Short string // one-line description for the command's help
	Sizes []int  // used if none are given
	Run   func(ctx context.Context, sizes ...int) (*Table, error)
}

// Measurements returns all measurements, with the sizes that docs/CAPACITY.md
// uses.
func Measurements() []Measurement {
	return []Measurement{
		{"confirm", "the poll that confirms an entry's catalogue, by control replicas", []int{1, 3, 5, 7}, Confirm},
		{"silent", "the poll that confirms an entry's catalogue, with one control replica that accepts connections and does not respond", []int{3, 5, 7}, Silent},
		{"links", "idle links, by their number", []int{10, 100, 370}, Links},
		{"leases", "an entry's demand report, by workspaces with limits", []int{5, 50, 200}, Leases},
		{"lease-entries", "a demand report at the leader, by entries", []int{10, 100, 370}, LeaseEntries},
		{"catalogue", "transferring, storing and changing a catalogue, by its size", []int{10, 100, 500, 1000}, Catalogue},
		{"ledger", "the ledger's memory, snapshot and restore, by records", []int{10_000, 50_000, 150_000}, Ledger},
		{"commits", "ledger commits with real syncs, by callers", []int{1, 8, 64, 256}, Commits},
		{"commit-replicas", "ledger commits with real syncs, by control replicas", []int{1, 3, 5, 7}, CommitReplicas},
		{"servers", "an entry's memory and routing decision, by backend servers", []int{100, 300, 600, 1200}, Servers},
		{"prefixes", "an entry's index of cached prefixes, by prefixes", []int{10_000, 50_000, 200_000}, Prefixes},
		{"nodes", "entries: idle traffic, processor time, time until a catalogue change is in force, by entries", []int{5, 10, 20, 40}, Nodes},
		{"announcements", "announcements of backend servers at an entry: first, repeated, and idle load, by servers", []int{100, 300, 600}, Announcements},
		{"join", "traffic and time until a new entry has all backend servers, by servers", []int{100, 300, 600}, Join},
		{"ownership", "assigning 600 backend servers to their owning entries for the quarantine, by entries", []int{10, 100, 370}, Ownership},
		{"streaming", "streamed answers through an entry, by tokens", []int{50, 200, 400}, Streaming},
		{"in-flight", "memory of requests in flight at an entry, by requests", []int{100, 400, 1000}, InFlight},
		{"asks", "quarantine queries about a request's fingerprint, by entries", []int{1, 2, 4, 8}, Asks},
	}
}
