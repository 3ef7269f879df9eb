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

// One request stops each model server that runs it, and its caller sends it
// again and again, also through the other entry, while others use the same
// servers. At most two servers are lost, the others' answers are whole, and
// from then on each resend gets its final answer at once. What had run is not
// said to be "not run". Without mayHaveRun in run that fails.
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
	require.Positive(t, unknown, "those that stopped servers are said not to have run")
	for i := 1; i <= 2; i++ {
		started := time.Now()
		r, err := s.call(t.Context(), i, "POST", "/v1/chat/completions", poison, nil)
		require.NoError(t, err)
		require.Equal(t, "quarantined", problemCode(r), r.body)
		t.Logf("entry %d refused a resend after %s", i, time.Since(started).Round(time.Millisecond))
	}
}

// codeOf is the code of a problem document, empty for another answer.
func problemCode(r reply) string {
	var p struct{ Code string }
	_ = json.Unmarshal([]byte(r.body), &p) // another answer has no code
	return p.Code
}
