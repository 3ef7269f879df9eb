package gateway

import (
	"net"
	"net/netip"
	"slices"
	"time"

	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/policy/booking"
	"savoryreel.example/savoryreel/policy/limit"
)

// entryListTTL is how long a list of entries is used. Entries with different lists choose
// different owners meanwhile, each with a fraction of the reports.
const entryListTTL = 500 * time.Millisecond

// entryList is a list of the live entries with what an entry derives from it. It is computed
// only when the live entries change, since it takes long with hundreds of them. It is
// immutable.
type entryList struct {
	entries    []directory.Entry
	names      []string                  // of the other entries, sorted
	addresses  map[string]netip.AddrPort // of the other entries, by name
	owners     *booking.Owners
	poolOwners [limitGroups][limitPools]string
}

// newEntryList returns the list of these entries, which are sorted by name. It leaves out
// those without a valid address.
func newEntryList(entries []directory.Entry, self string, datagramAddress func(host string) string) *entryList {
	list := &entryList{entries: slices.Clone(entries), addresses: make(map[string]netip.AddrPort, len(entries))}
	names := make([]string, 0, len(entries))
	for i := range entries {
		name := entries[i].Name
		if name == self {
			names = append(names, name)
			continue
		}
		if addr, ok := entryAddress(&entries[i], datagramAddress); ok {
			names = append(names, name)
			list.names = append(list.names, name)
			list.addresses[name] = addr
		}
	}
	list.owners = booking.NewOwners(names)
	for group := range limitGroups {
		for pool := range limitPools {
			list.poolOwners[group][pool] = list.owners.OwnerAt(limitGroupName(group), pool)
		}
	}
	return list
}

// poolOwner returns the entry that should own a pool; empty if there are no entries.
func (l *entryList) poolOwner(key limit.Key) string {
	if key.Number < 0 || key.Number >= limitPools {
		return ""
	}
	return l.poolOwners[limitGroup(key.Workspace)][key.Number]
}

// lists reports whether the list was made of these entries.
func (l *entryList) lists(entries []directory.Entry) bool {
	return slices.EqualFunc(l.entries, entries, func(a, b directory.Entry) bool { return a.Name == b.Name && a.Address == b.Address })
}

// entryAddress returns an entry's address for datagrams; ok is false if its record has no
// valid one.
func entryAddress(e *directory.Entry, datagramAddress func(host string) string) (addr netip.AddrPort, ok bool) {
	host, _, err := net.SplitHostPort(e.Address)
	if err != nil {
		return netip.AddrPort{}, false
	}
	addr, err = netip.ParseAddrPort(datagramAddress(host))
	return addr, err == nil
}

// entryList returns the current list of the live entries. x.mu is held.
func (x *peerExchange) entryList(now time.Time) *entryList {
	if now.Sub(x.checkedAt) < entryListTTL {
		return x.list
	}
	x.checkedAt = now
	if entries := x.liveEntries(); !x.list.lists(entries) {
		if now.Sub(x.listChangedAt) >= booking.SettleTime {
			x.settledOwners = x.list.owners
		}
		x.listChangedAt = now
		x.list = newEntryList(entries, x.self.Name, x.datagramAddress)
	}
	return x.list
}

// currentList returns the current list of the live entries.
func (x *peerExchange) currentList() *entryList {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.entryList(x.now())
}

// invalidateList makes the next use compare the list with the live entries.
func (x *peerExchange) invalidateList() {
	x.mu.Lock()
	x.checkedAt = time.Time{}
	x.mu.Unlock()
	select {
	case x.listChanged <- struct{}{}:
	default:
	}
}
