package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/internal/fake"
)

// Guards against a request that crashes every model server it reaches when its callers
// resend it through both entries: at most two servers crash, other requests get
// complete answers, and later resends are refused as quarantined. A request
// that has run must not be reported as "not run".
// Fails without withUnknownOutcome in entry's runner.run.
func TestRequestThatCrashesServers(t *testing.T) {
	const engines = 5
	s, _, _ := newSmallSite(t, engines)
	for i := 1; i <= engines; i++ {
		s.setFaults(7200+i, fake.Faults{CrashOn: "poison"})
	}
	poison, _ := chatBody("poison", 10, false)
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	outcomes := map[string]int{}
	unknown := 0
	errs := s.streamAll(ctx, 2, 20, 150, func() {
		for k := range 8 {
			wg.Go(func() {
				for range 3 {
					r, err := s.call(ctx, 1+k%2, "POST", "/v1/chat/completions", poison, map[string]string{"Savoryreel-Deadline-Ms": "15000"})
					mu.Lock()
					outcomes[fmt.Sprint(r.status, problemCode(r), r.header.Get("Savoryreel-Outcome"), err)]++
					if r.header.Get("Savoryreel-Outcome") == "unknown" {
						unknown++
					}
					mu.Unlock()
				}
			})
		}
		wg.Wait()
	})
	requireNoErrors(t, errs)
	alive := 0
	for i := 1; i <= engines; i++ {
		if resp, err := http.Get("http://" + s.addr(7200+i) + "/healthz"); err == nil {
			_ = resp.Body.Close()
			alive++
		}
	}
	t.Logf("outcomes of the request: %v; %d of %d servers live", outcomes, alive, engines)
	require.GreaterOrEqual(t, alive, engines-2)
	require.Positive(t, unknown, "requests that crashed servers are reported as not run")
	for i := 1; i <= 2; i++ {
		started := time.Now()
		r, err := s.call(t.Context(), i, "POST", "/v1/chat/completions", poison, nil)
		require.NoError(t, err)
		require.Equal(t, "quarantined", problemCode(r), r.body)
		t.Logf("entry %d refused a resend after %s", i, time.Since(started).Round(time.Millisecond))
	}
}

// problemCode returns the code of a problem document, or "" for any other answer.
func problemCode(r reply) string {
	var p struct{ Code string }
	_ = json.Unmarshal([]byte(r.body), &p) // any other answer has no code
	return p.Code
}
