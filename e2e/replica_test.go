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

// operate runs an operator's command of the binary and returns what it printed.
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

// leads returns the number of the replica that leads.
func (s *site) leaderID() string {
	s.t.Helper()
	var leader string
	s.eventually("a replica leads", func() error {
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

// rename gives the brokers a new key, and waits until entry 1 has it in force.
func (s *site) changeKey(key string) uint64 {
	s.t.Helper()
	c := newTestCatalogue()
	c.Workspaces[0].Keys = []contract.KeyHash{contract.HashKey(key)}
	version := s.apply(c)
	body, _ := chatBody("anything", 1, false)
	s.eventually("the new key is in force", func() error {
		r, err := s.call(s.t.Context(), 1, "POST", "/v1/chat/completions", body, map[string]string{"Authorization": "Bearer " + key})
		if err == nil && r.status != http.StatusOK {
			err = fmt.Errorf("status %d: %s", r.status, r.body)
		}
		return err
	})
	return version
}

// A control replica loses its disk, and an operator puts another in its place.
// Just after the repair a second replica is lost for good, and
// later the rest restarts at the same time. Changes of the catalogue go on,
// none is taken back, and the entry, whose settings name the founding replicas
// only, has them in force. A learner that has not caught up is not promoted: as
// a voter it would keep every change waiting. A lost id is not used again: the
// replica would have forgotten whom it voted for.
//
// It breaks without caughtUp in replica.changed, without checkMajority, without the case
// of replicaTable.apply that refuses an id, and without the adopt in Client.Confirm.
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
	require.Error(t, err, "of the two left, one is dead")
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

// An operator takes the instance of the control leader away. The leader hands
// over and is removed, in one command, and changes go on with the other two.
//
// It breaks without stepDown in removeReplica: the log refuses the leader's
// removal for good.
func TestLeaderIsRemoved(t *testing.T) {
	s := newSite(t)
	s.startControl(3)
	first := s.apply(newTestCatalogue())
	leader := s.leaderID()
	require.NotContains(t, s.mustRunOperator("replica", "remove", leader), leader)
	require.NotEqual(t, leader, s.leaderID())
	require.Equal(t, first+1, s.apply(newTestCatalogue()))
}
