package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var (
	key    = Key{Workspace: "brokers", Value: "credit-1"}
	entryA = Owner{Entry: "a", Incarnation: 1}
	entryB = Owner{Entry: "b", Incarnation: 1}
)

func beginCommand(id string, o Owner) Command {
	return Command{Op: OpBegin, Key: key, Fingerprint: 7, RequestID: id, Owner: o, Now: 1000}
}

func commandFor(op Op, id string, o Owner) Command {
	c := beginCommand(id, o)
	c.Op = op
	return c
}

// Guards against starting a request a second time when the caller resends it to
// another entry.
func TestKeyStartsOnce(t *testing.T) {
	l := New(10)
	require.Equal(t, VerdictStarted, l.Apply(beginCommand("r1", entryA)).Verdict)
	require.Equal(t, VerdictRunning, l.Apply(beginCommand("r2", entryB)).Verdict)
	require.Equal(t, VerdictStarted, l.Apply(beginCommand("r1", entryA)).Verdict, "the same command again")
	finish := commandFor(OpFinish, "r1", entryA)
	finish.Answer = &Answer{Status: 200, Body: []byte("ok")}
	require.Equal(t, VerdictDone, l.Apply(finish).Verdict)
	r := l.Apply(beginCommand("r3", entryB))
	require.Equal(t, VerdictAnswered, r.Verdict)
	require.Equal(t, []byte("ok"), r.Record.Answer.Body)
}

// Guards against answering a request with the answer of another one that used the
// same key.
func TestReusedKeyIsMismatch(t *testing.T) {
	l := New(10)
	l.Apply(beginCommand("r1", entryA))
	other := beginCommand("r2", entryA)
	other.Fingerprint = 8
	require.Equal(t, VerdictMismatch, l.Apply(other).Verdict)
}

// Guards against losing an answer that arrives after another entry has given the
// request up: the caller would see outcome unknown.
func TestLateAnswerReplacesUnknown(t *testing.T) {
	l := New(10)
	l.Apply(beginCommand("r1", entryA))
	require.Equal(t, VerdictDone, l.Apply(commandFor(OpGiveUp, "r1", entryA)).Verdict)
	require.Equal(t, VerdictUnknown, l.Apply(beginCommand("r2", entryB)).Verdict)
	require.Equal(t, VerdictDone, l.Apply(commandFor(OpFinish, "r1", entryA)).Verdict)
	require.Equal(t, VerdictAnswered, l.Apply(beginCommand("r2", entryB)).Verdict)
}

// Guards against unbounded memory, and against a full ledger that never accepts
// requests again.
func TestFullLedgerRefusesUntilRecordsExpire(t *testing.T) {
	l := New(1)
	l.Apply(beginCommand("r1", entryA))
	other := beginCommand("r2", entryB)
	other.Key.Value = "credit-2"
	require.Equal(t, VerdictFull, l.Apply(other).Verdict)
	l.Apply(commandFor(OpFinish, "r1", entryA))
	other.Now += Retention.Milliseconds() + int64(time.Second/time.Millisecond)
	require.Equal(t, VerdictStarted, l.Apply(other).Verdict)
	require.Equal(t, 1, l.Len())
}

// Guards against starting a request a second time because its record expired while
// it may be running.
func TestBegunRecordNeverExpires(t *testing.T) {
	l := New(10)
	l.Apply(beginCommand("r1", entryA))
	late := beginCommand("r2", entryB)
	late.Now += 10 * Retention.Milliseconds()
	require.Equal(t, VerdictRunning, l.Apply(late).Verdict)
}

// Guards against a second start of a key without a release in between, under
// commands in any order and restarts from a snapshot: the request would run twice.
func TestKeyStartsAgainOnlyAfterRelease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(100)
		startedBy := map[Key]string{} // id of the started request by key, deleted by a release
		for i := range rapid.IntRange(1, 80).Draw(t, "commands") {
			c := Command{
				Op:          Op(rapid.IntRange(1, 4).Draw(t, "op")),
				Key:         Key{Workspace: "w", Value: fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "key"))},
				RequestID:   fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "request")),
				Owner:       Owner{Entry: fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "entry")), Incarnation: 1},
				Fingerprint: 1, Now: int64(i),
			}
			// No two entries use the same request id, since ids are random.
			c.RequestID = c.Owner.Entry + "/" + c.RequestID
			r := l.Apply(c)
			switch {
			case c.Op == OpBegin && r.Verdict == VerdictStarted:
				if id, started := startedBy[c.Key]; started {
					require.Equal(t, id, c.RequestID, "started twice")
				}
				startedBy[c.Key] = c.RequestID
			case c.Op == OpRelease && r.Verdict == VerdictDone:
				require.Equal(t, startedBy[c.Key], c.RequestID, "released by another request")
				delete(startedBy, c.Key)
			}
			if rapid.Bool().Draw(t, "restart") {
				snap, err := l.Snapshot()
				require.NoError(t, err)
				l, err = Restore(snap, 100)
				require.NoError(t, err)
			}
		}
	})
}
