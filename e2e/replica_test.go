package e2e

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/contract"
)

// runOperator runs an operator command of the binary and returns its combined output.
func (s *site) runOperator(args ...string) (string, error) {
	args = append(args, "--control-operators", strings.Join(s.operatorAddrs, ","))
	cmd := exec.CommandContext(s.t.Context(), binaryPath, args...)
	cmd.Env = append(os.Environ(), "SAVORYREEL_OPERATOR_KEY="+operatorKey)
	out, err := cmd.CombinedOutput()
	return string(out), err
}

func (s *site) mustRunOperator(args ...string) string {
	s.t.Helper()
	out, err := s.runOperator(args...)
	require.NoError(s.t, err, "%v: %s", args, out)
	return out
}

// leaderID waits for a control leader and returns its replica id.
func (s *site) leaderID() string {
	s.t.Helper()
	var leader string
	s.eventually("there is a leader", func() error {
		for _, r := range s.operator().Replicas(s.t.Context()) {
			if r.Role == "leader" {
				leader = r.ID
				return nil
			}
		}
		return fmt.Errorf("none")
	})
	return leader
}

// changeKey applies the test catalogue with a new key for the brokers, waits until entry 1
// accepts it and returns the catalogue's version.
func (s *site) changeKey(key string) uint64 {
	s.t.Helper()
	c := newTestCatalogue()
	c.Workspaces[0].Keys = []contract.KeyHash{contract.HashKey(key)}
	version := s.apply(c)
	body, _ := chatBody("anything", 1, false)
	s.eventually("the new key is accepted", func() error {
		r, err := s.call(s.t.Context(), 1, "POST", "/v1/chat/completions", body, map[string]string{"Authorization": "Bearer " + key})
		if err == nil && r.status != http.StatusOK {
			err = fmt.Errorf("status %d: %s", r.status, r.body)
		}
		return err
	})
	return version
}

// Guards against lost or blocked catalogue changes when a control replica that lost its
// disk is replaced, a second one is lost for good and the others restart together. The
// entry, whose settings name only the initial replicas, must apply every change.
// A learner that has not caught up must not be promoted, since as a voter it would delay
// every commit. The id of a removed replica must not be reused, since the new replica
// would not have the old one's votes.
//
// Fails without checkCaughtUp in replica, without checkMajority, without the case of
// replicaTable.apply that refuses an id, and without setReplicas in Client.Confirm.
func TestReplicaThatLostItsDiskIsReplaced(t *testing.T) {
	s := newSite(t)
	replicas := s.startControl(3)
	s.startEntry(1, "z1")
	s.startEngine(1, "z1")
	first := s.changeKey("key-1")

	replicas[2].kill(t)
	require.NoError(t, os.RemoveAll(filepath.Join(s.dir, "control-3")))
	founders := []string{"1=" + s.addr(7110), "2=" + s.addr(7120), "3=" + s.addr(7130)}
	fourth := s.startReplica(4, founders)
	s.operatorAddrs = append(s.operatorAddrs[:2:2], s.addr(7141))
	s.mustRunOperator("replica", "add", "4", s.addr(7140))
	s.mustRunOperator("replica", "promote", "4", "--wait", "20s")
	require.Contains(t, s.mustRunOperator("replica", "remove", "3"), "voters [1 2 4]")
	out, err := s.runOperator("replica", "add", "3", s.addr(7130))
	require.Error(t, err)
	require.Contains(t, out, "never used twice")
	s.mustRunOperator("replica", "add", "5", s.addr(7150))
	out, err = s.runOperator("replica", "promote", "5")
	require.Error(t, err, "replica 5 does not run")
	require.Contains(t, out, "replica_not_caught_up")
	s.mustRunOperator("replica", "remove", "5")
	out, err = s.runOperator("replica", "add", "5", s.addr(7150))
	require.Error(t, err)
	require.Contains(t, out, "never used twice")
	require.Equal(t, first+1, s.changeKey("key-2"))

	survivor := 1
	if s.leaderID() == "1" {
		survivor = 2
	}
	replicas[2-survivor].kill(t)
	require.Equal(t, first+2, s.changeKey("key-3"))
	out, err = s.runOperator("replica", "remove", "4")
	require.Error(t, err, "one of the two other voters is unreachable")
	require.Contains(t, out, "add and promote a replica first")
	fourth.kill(t)
	replicas[survivor-1].kill(t)
	s.startReplica(survivor, founders)
	s.startReplica(4, founders)
	require.Equal(t, first+3, s.changeKey("key-4"))
	history, err := s.operator().History(t.Context(), 10)
	require.NoError(t, err)
	for i, e := range history {
		require.Equal(t, first+3-uint64(i), e.Version)
	}
}

// Guards against a control leader that can't be removed: one command transfers the
// leadership and removes it, and the other two accept changes.
//
// Fails without stepDown in removeReplica: the log refuses to remove the leader.
func TestLeaderIsRemoved(t *testing.T) {
	s := newSite(t)
	s.startControl(3)
	first := s.apply(newTestCatalogue())
	leader := s.leaderID()
	require.NotContains(t, s.mustRunOperator("replica", "remove", leader), leader)
	require.NotEqual(t, leader, s.leaderID())
	require.Equal(t, first+1, s.apply(newTestCatalogue()))
}
