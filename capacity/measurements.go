package capacity

import "context"

// Measurement is one table that can be asked for by name.
type Measurement struct {
	Name  string
	Short string // what it shows
	Sizes []int
	Run   func(ctx context.Context, sizes ...int) (*Table, error)
}

// Measurements returns all measurements with the sizes of docs/CAPACITY.md.
func Measurements() []Measurement {
	return []Measurement{
		{"confirm", "the poll that confirms an entry's catalogue, by control replicas", []int{1, 3, 5, 7}, Confirm},
		{"silent", "the poll that confirms an entry's catalogue with a silent control replica", []int{3, 5, 7}, Silent},
		{"links", "links that carry nothing, by their number", []int{10, 100, 370}, Links},
		{"leases", "an entry's report of demand, by workspaces with limits", []int{5, 50, 200}, Leases},
		{"lease-entries", "the same report at the leader, by entries", []int{10, 100, 370}, LeaseEntries},
		{"catalogue", "a catalogue's transfer, memory and change, by its size", []int{10, 100, 500, 1000}, Catalogue},
		{"ledger", "the ledger's memory, snapshot and restore, by records", []int{10_000, 50_000, 150_000}, Ledger},
		{"commits", "ledger commits with real syncs, by callers", []int{1, 8, 64, 256}, Commits},
		{"commit-replicas", "ledger commits with real syncs, by control replicas", []int{1, 3, 5, 7}, CommitReplicas},
		{"servers", "an entry's memory and routing decision, by backend servers", []int{100, 300, 600, 1200}, Servers},
		{"prefixes", "an entry's index of cached prefixes, by prefixes", []int{10_000, 50_000, 200_000}, Prefixes},
		{"nodes", "real entries: bytes, processor time, change in force, by entries", []int{5, 10, 20, 40}, Nodes},
		{"announcements", "backend servers at a real entry: first and later announcements, quiet, by servers", []int{100, 300, 600}, Announcements},
		{"join", "an entry's first seconds, by backend servers", []int{100, 300, 600}, Join},
		{"ownership", "sharing 600 backend servers out among entries for the quarantine, by entries", []int{10, 100, 370}, Ownership},
		{"streaming", "streamed answers through an entry, by tokens", []int{50, 200, 400}, Streaming},
		{"in-flight", "memory of requests in flight at an entry, by requests", []int{100, 400, 1000}, InFlight},
		{"asks", "questions about a request's fingerprint, by entries", []int{1, 2, 4, 8}, Asks},
	}
}
