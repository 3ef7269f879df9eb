package follow

import (
	"slices"
	"time"
)

// LastReply returns the time of the last reply of a replica. It is zero if the replica has
// not replied or is not followed.
func (f *Follower) LastReply(addr string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.peers[addr]; p != nil {
		return p.lastReply
	}
	return time.Time{}
}

// Replicas returns the sorted addresses of all replicas that are followed.
func (f *Follower) Replicas() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]string, 0, len(f.peers))
	for addr := range f.peers {
		out = append(out, addr)
	}
	slices.Sort(out)
	return out
}

// FirstReply returns the time of the first reply of a replica since it is followed; zero if there was none.
func (f *Follower) FirstReply(addr string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.peers[addr]; p != nil {
		return p.firstReply
	}
	return time.Time{}
}

// Unreached returns the sorted addresses of the followed replicas that have not replied
// within the last age.
func (f *Follower) Unreached(age time.Duration) []string {
	now := f.deps.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for addr, p := range f.peers {
		if now.Sub(p.lastReply) > age {
			out = append(out, addr)
		}
	}
	slices.Sort(out)
	return out
}
