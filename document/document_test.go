package document

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"savoryreel.example/savoryreel/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// catalogueText returns a document of n routes, each with a name of its own. changed is the index of
// one that differs; -1: none.
func catalogueText(n, changed int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, n+changed)
	random := rand.New(rand.NewPCG(1, 2))
	for i := range n {
		timeout := 3000
		if i == changed {
			timeout = 2500
		}
		fmt.Fprintf(&b, `{"name":"r-%d","host":"a.example","path_prefix":"/%x/","timeout_ms":%d,"service":"web"},`, i, random.Uint64(), timeout)
	}
	return append([]byte(b.String()), "]}"...)
}

// Guards against a receiver that assembles something else than was stored.
func TestDifferenceMakesTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.SliceOfN(rapid.Byte(), 0, 3000).Draw(t, "base")
		target := bytes.Clone(base)
		for range rapid.IntRange(0, 5).Draw(t, "edits") {
			at := rapid.IntRange(0, len(target)).Draw(t, "at")
			to := min(len(target), at+rapid.IntRange(0, 200).Draw(t, "removed"))
			inserted := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "inserted")
			target = append(append(bytes.Clone(target[:at]), inserted...), target[to:]...)
		}
		made, err := Apply(base, Difference(base, target), len(target))
		require.NoError(t, err)
		require.Equal(t, string(target), string(made))
	})
}

// Guards against a malformed difference that ends the process or fills its memory.
func TestMalformedDifferenceIsAnError(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.SliceOfN(rapid.Byte(), 0, 100).Draw(t, "base")
		made, err := Apply(base, rapid.SliceOfN(rapid.Byte(), 1, 50).Draw(t, "difference"), 1000)
		require.True(t, err != nil || len(made) <= 1000)
	})
	_, err := Apply(nil, []byte{2 << opShift, 0}, 10)
	require.Error(t, err)
}

// Guards against a change of one route that takes as long to send as the whole catalogue.
func TestDifferenceOfSmallChangeIsSmall(t *testing.T) {
	base := catalogueText(2000, -1)
	for _, target := range [][]byte{catalogueText(2000, 700), catalogueText(2000, 1999)} {
		require.Less(t, len(Difference(base, target)), 2000)
	}
	require.Less(t, len(Difference(base, catalogueText(2100, 3))), len(base)/10)
}

func newStore() (*Store, *time.Time) {
	now := time.Unix(1_700_000_000, 0)
	return NewStore(func() time.Time { return now }), &now
}

// fetch takes parts of the stores in turn until a version is complete or nothing is newer.
func fetch(t require.TestingT, r *Receiver, partBytes int, stores ...*Store) (revision uint64, content []byte, done bool) {
	for i := range 10_000 {
		req := r.Request(partBytes)
		part := stores[i%len(stores)].Part(&req)
		var err error
		revision, content, done, err = r.Accept(&part)
		require.NoError(t, err)
		if done || part.Status == StatusNone {
			return revision, content, done
		}
	}
	require.Fail(t, "no version is complete after many parts")
	return 0, nil, false
}

// Guards against a transfer that begins anew when its holder changes or a part is lost: over a slow
// link it would never end.
func TestReceiverGoesOnAtAnotherHolder(t *testing.T) {
	a, _ := newStore()
	b, _ := newStore()
	first, second := catalogueText(500, -1), catalogueText(500, 3)
	for _, s := range []*Store{a, b} {
		s.Put(1, first)
	}
	var r Receiver
	revision, content, done := fetch(t, &r, 1000, a, b)
	require.True(t, done)
	require.EqualValues(t, 1, revision)
	require.Equal(t, string(first), string(content))

	_, _, done = fetch(t, &r, 1000, a, b)
	require.False(t, done, "nothing is newer")
	for _, s := range []*Store{a, b} {
		s.Put(2, second)
	}
	req := r.Request(100)
	part := a.Part(&req)
	require.True(t, part.Difference)
	_, content, done = fetch(t, &r, 100, a, b)
	require.True(t, done)
	require.Equal(t, string(second), string(content))
}

// Guards against a receiver that never gets a version while changes follow each other faster than
// it takes one.
func TestTransferEndsWhileVersionsFollowEachOther(t *testing.T) {
	s, now := newStore()
	s.Put(1, catalogueText(1500, -1))
	var r Receiver
	req := r.Request(2000)
	for revision := 2; ; revision++ {
		require.Less(t, revision, 2000)
		part := s.Part(&req)
		require.NotEqual(t, StatusUnknown, part.Status)
		_, _, done, err := r.Accept(&part)
		require.NoError(t, err)
		if done {
			break
		}
		*now = now.Add(time.Second)
		s.Put(uint64(revision), catalogueText(1500, revision))
		req = r.Request(2000)
	}
	_, _, done := fetch(t, &r, 1000, s)
	require.True(t, done)
}

// Guards against a holder whose memory fills with old versions.
func TestOldVersionsAreDropped(t *testing.T) {
	s, now := newStore()
	content := make([]byte, 1<<20)
	for i := range uint64(100) {
		content[i]++
		s.Put(i+1, bytes.Clone(content))
		req := Request{}
		require.Equal(t, i+1, s.Part(&req).Target.Revision)
		*now = now.Add(10 * time.Millisecond)
		held := 0
		for _, v := range s.versions {
			held += len(v.content)
		}
		require.LessOrEqual(t, held, maxBytes+len(content))
	}
	*now = now.Add(transferKeep)
	s.Put(1000, content)
	require.Len(t, s.versions, 1+maxOlderBytes/len(content))
}

// Guards against a transfer that goes wrong for good when a holder's content differs or is damaged:
// the receiver asks for the whole version.
func TestReceiverRecoversFromWrongParts(t *testing.T) {
	s, _ := newStore()
	s.Put(1, catalogueText(100, -1))
	var r Receiver
	_, _, done := fetch(t, &r, 0, s)
	require.True(t, done)
	second := catalogueText(100, 5)
	s.Put(2, second)
	req := r.Request(0)
	part := s.Part(&req)
	part.Data = bytes.Repeat([]byte{3}, len(part.Data))
	_, _, _, err := r.Accept(&part)
	require.Error(t, err)
	_, content, done := fetch(t, &r, 1000, s)
	require.True(t, done)
	require.Equal(t, string(second), string(content))
}

// Guards against a receiver that gets stuck, or a wrong version, whatever holders it asks, which of
// them lag, and which parts are lost.
func TestReceiverGetsNewestFromAnyHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stores []*Store
		for range rapid.IntRange(1, 3).Draw(t, "holders") {
			s, _ := newStore()
			stores = append(stores, s)
		}
		var r Receiver
		content := catalogueText(rapid.IntRange(1, 40).Draw(t, "routes"), -1)
		newest := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 5).Draw(t, "change") == 0 {
				newest++
				content = append(bytes.Clone(content), byte(newest))
			}
			s := stores[rapid.IntRange(0, len(stores)-1).Draw(t, "holder")]
			if rapid.Bool().Draw(t, "learns") {
				s.Put(newest, content)
			}
			req := r.Request(rapid.IntRange(1, 3000).Draw(t, "bytes"))
			part := s.Part(&req)
			if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
				continue
			}
			before, held := r.Held()
			revision, _, done, err := r.Accept(&part)
			require.NoError(t, err)
			require.True(t, !done || !held || revision > before.Revision)
		}
		for _, s := range stores {
			s.Put(newest, content)
		}
		for range 3 {
			fetch(t, &r, 1000, stores...)
		}
		v, _ := r.Held()
		require.Equal(t, VersionOf(newest, content), v)
	})
}
