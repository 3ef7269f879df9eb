package e2e

import (
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/platform/standin"
)

// Guards against answers by an old catalogue: an entry that stood still while keys and a route were
// added and a key was taken away answers what has arrived meanwhile as soon as it goes on. Its callers
// get 401 and 404 for what is in force everywhere else, and the old key is still good.
func TestPlatformPausedEntryAnswersByNewCatalogue(t *testing.T) {
	const rounds, calls, newKey, oldKey = 4, 25, "new-key", "old-key"
	p := newPlatformSite(t, 3, 2, 2)
	p.entries[0].kill(t)
	p.entries[0] = p.startPlatformEntry(0) // the first pause comes within a second of its start
	keys := []string{platformKey}
	p.awaitServing(0, "/get/x")
	var refused, served atomic.Int64
	for round := range rounds {
		p.replaceCatalogue(0, standin.Catalogue{Revision: uint64(10 + 2*round), Service: "web", Keys: append(keys, oldKey)})
		p.eventually(func() bool {
			a, err := standin.Call(p.ctx(), p.entryAddr(0), oldKey, "/get/x", "")
			return err == nil && a.Status == 200
		}, "the key is in force")
		p.entries[0].signal(t, syscall.SIGSTOP)
		prefix := "/extra" + string(rune('a'+round)) + "/"
		key := newKey + prefix[1:7]
		keys = append(keys, key)
		p.replaceCatalogue(0, standin.Catalogue{Revision: uint64(11 + 2*round), Service: "web", Keys: keys, ExtraPrefix: prefix})
		var callers sync.WaitGroup
		for i := range calls {
			callers.Go(func() {
				path, with := prefix+"x", platformKey
				if i%2 == 0 {
					path, with = "/get/x", key
				}
				if a, err := standin.Call(p.ctx(), p.entryAddr(0), with, path, ""); err == nil && (a.Status == 401 || a.Status == 404) {
					refused.Add(1)
				}
			})
		}
		for range calls {
			callers.Go(func() {
				if a, err := standin.Call(p.ctx(), p.entryAddr(0), oldKey, "/get/x", ""); err == nil && a.Status == 200 {
					served.Add(1)
				}
			})
		}
		time.Sleep(3 * time.Second) // longer than a change may take
		p.entries[0].signal(t, syscall.SIGCONT)
		callers.Wait()
	}
	require.Zero(t, refused.Load(), "final answers of %d", rounds*calls)
	require.Zero(t, served.Load(), "requests of %d that ran with a key that was taken away", rounds*calls)
}
