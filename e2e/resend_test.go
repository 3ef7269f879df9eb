package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/contract"
	"savoryreel.example/savoryreel/control/api"
)

// operatorCall is a call of an operator as it is sent, so that it can be sent again unchanged.
type operatorCall struct {
	name, method, path string
	body               []byte
	base               uint64
}

// sendTo sends the call to one control replica, counted from 0.
func (c *operatorCall) sendTo(s *site, replica int) (status int, answer string) {
	s.t.Helper()
	req, err := http.NewRequestWithContext(s.t.Context(), c.method, "http://"+s.operatorAddrs[replica]+c.path, bytes.NewReader(c.body))
	require.NoError(s.t, err)
	req.Header.Set("Authorization", "Bearer "+operatorKey)
	req.Header.Set(api.HeaderChangeID, "change-"+c.name)
	req.Header.Set(api.HeaderBase, strconv.FormatUint(c.base, 10))
	req.Header.Set(api.HeaderOperator, "ana")
	resp, err := http.DefaultClient.Do(req)
	require.NoError(s.t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(s.t, err)
	return resp.StatusCode, string(body)
}

// Guards against a change that is reported as refused although it was accepted: the answer was lost,
// and what the operator's client sends again reaches another replica, which must add nothing to it by
// which it is taken for another change.
func TestChangeSentAgainThroughAnyReplicaGetsItsFirstAnswer(t *testing.T) {
	s := newSite(t)
	s.startControl(3)
	document, err := contract.Format(newTestCatalogue())
	require.NoError(t, err)
	base := s.apply(newTestCatalogue())
	calls := []operatorCall{
		{name: "catalogue", method: http.MethodPut, path: "/v1/catalogue", body: document, base: base},
		{name: "stop", method: http.MethodPost, path: "/v1/stops", body: []byte(`{"id":"stop-x","scope":"zone","name":"z9"}`)},
		{name: "later-stop", method: http.MethodPost, path: "/v1/stops", body: []byte(`{"id":"stop-y","scope":"zone","name":"z9","from":"2100-01-02T03:04:05.123456789+02:00"}`)},
		{name: "cancelled", method: http.MethodDelete, path: "/v1/stops/stop-x"},
		{name: "refused", method: http.MethodDelete, path: "/v1/stops/unknown"},
	}
	for _, c := range calls {
		status, first := c.sendTo(s, 0)
		if c.name != "refused" {
			require.Equal(t, http.StatusOK, status, "%s: %s", c.name, first)
		}
		for replica := range 3 {
			statusAgain, again := c.sendTo(s, replica)
			require.Equal(t, status, statusAgain, "%s at replica %d: %s", c.name, replica+1, again)
			require.Equal(t, first, again, "%s at replica %d", c.name, replica+1)
		}
	}
	stops, err := s.operator().Stops(t.Context())
	require.NoError(t, err)
	require.Len(t, stops, 1)
}

// Guards against the same for changes of the set of replicas: one that was made is not refused when
// it is sent again.
func TestReplicaChangeSentAgainThroughAnyReplicaIsAccepted(t *testing.T) {
	s := newSite(t)
	s.startControl(3)
	s.leaderID()
	founders := []string{"1=" + s.addr(7110), "2=" + s.addr(7120), "3=" + s.addr(7130)}
	s.startReplica(4, founders)
	for _, change := range []api.ReplicaChange{
		{Action: api.ReplicaAdd, ID: 4, Address: s.addr(7140)},
		{Action: api.ReplicaPromote, ID: 4},
		{Action: api.ReplicaRemove, ID: 4},
	} {
		body, err := json.Marshal(change)
		require.NoError(t, err)
		c := operatorCall{name: string(change.Action), method: http.MethodPost, path: "/v1/replicas", body: body}
		s.eventually(c.name, func() error {
			if status, answer := c.sendTo(s, 0); status != http.StatusOK {
				return fmt.Errorf("status %d: %s", status, answer)
			}
			return nil
		})
		for replica := range 3 {
			status, answer := c.sendTo(s, replica)
			require.Equal(t, http.StatusOK, status, "%s at replica %d: %s", c.name, replica+1, answer)
		}
	}
}
