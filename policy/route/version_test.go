package route

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"savoryreel.example/savoryreel/instance"
)

// Guards against a request that reaches a version which it must not use, or misses one that it must: in a
// rollout, a faulty version would get more than its share. Servers are paused, excluded and slow meanwhile.
func TestRequestsKeepToTheirVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, err := New(DefaultConfig())
		require.NoError(t, err)
		now := time.Unix(1_700_000_000, 0)
		versions := map[string]string{}
		for i := range rapid.IntRange(1, 8).Draw(t, "servers") {
			id, version := fmt.Sprint("s", i), rapid.SampledFrom([]string{"", "v1", "v2"}).Draw(t, "version of server")
			versions[id] = version
			r.Announce(&instance.Announcement{ID: id, Incarnation: 1, Sequence: 1, State: instance.StateServing, Slots: 2, Version: version}, now, now)
		}
		for range rapid.IntRange(1, 40).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "gap")) * time.Millisecond)
			req := Request{Now: now, Seed: rapid.Uint64().Draw(t, "seed"), PromptTokens: 100, Prefixes: []uint64{1, 2}}
			req.Version = rapid.SampledFrom([]string{"", "v1", "v2"}).Draw(t, "version")
			req.AvoidVersions = rapid.SampledFrom([][]string{nil, {"v1"}, {"v2"}, {"v1", "v2"}, {""}}).Draw(t, "avoid")
			req.SameVersion = rapid.Bool().Draw(t, "same version")
			allowed := func(version string) bool {
				return (req.Version == "" && !req.SameVersion || version == req.Version) && !slices.Contains(req.AvoidVersions, version)
			}
			for _, id := range r.Candidates(&req, nil) {
				require.True(t, allowed(versions[id]), "a candidate of version %q", versions[id])
			}
			v := r.Choose(&req)
			if !v.OK() {
				require.Equal(t, ReasonNoVersion, v.Reason)
				for _, version := range versions {
					require.False(t, allowed(version), "version %q serves and may be used", version)
				}
				continue
			}
			require.True(t, allowed(versions[v.Server]), "the choice of version %q", versions[v.Server])
			a := r.Started(&v, now)
			if rapid.Bool().Draw(t, "fails") {
				r.Failed(&a, now)
			}
		}
	})
}
