package entry

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/request"
)

// Callers send what they like. A body that is let in though it names no model, no
// message or an endless answer would hold a slot for nothing, and one that
// resumes would read another caller's KV cache. Broken by removing any case in
// decodeChat.
func FuzzDecodeChat(f *testing.F) {
	for _, body := range []string{
		`{"model":"m","messages":[{"role":"user","content":"hi"}],"stream":true,"max_tokens":5,"tools":[]}`,
		`{"messages":[{}]}`, `{"model":"m"}`, `{"model":"m","messages":[{}],"max_tokens":-1}`,
		`{"model":"m","messages":[{}],"max_tokens":131073}`, `{"model":"m","messages":[{}],"resume":{}}`,
		``, `[]`, `{"model":1}`, `{"model":"m","messages":[{}]`, strings.Repeat("[", 20_000),
	} {
		f.Add([]byte(body))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		chat, p := decodeChat(body)
		if p != nil {
			require.Equal(t, request.CodeBadRequest, p.Code)
			require.Equal(t, request.NotRun, p.Outcome)
			return
		}
		require.NotEmpty(t, chat.Model)
		require.NotEmpty(t, chat.Messages)
		require.Nil(t, chat.Resume)
		require.GreaterOrEqual(t, chat.MaxTokens, 0)
		require.LessOrEqual(t, chat.MaxTokens, maxAnswerTokens)
		require.Positive(t, answerCost(promptTokens(chat.Messages), answerTokens(chat)))
	})
}

// A faulty server announces nonsense. Slots of zero would divide by zero in the
// router, and endless lists fill every entry's memory. Broken by removing
// the lower bound of slots, or the check for a model or service, in
// instance.Announcement.Validate.
func FuzzAnnouncement(f *testing.F) {
	for _, body := range []string{
		`{"id":"a","incarnation":1,"sequence":1,"address":"127.0.0.1:1","region":"r1","zone":"z1","state":"serving","model":"m","slots":4}`,
		`{"id":"a","incarnation":1,"address":"127.0.0.1:1","region":"r1","zone":"z1","state":"leaving","slots":4,"leavingInMs":5}`,
		`{"id":"a","incarnation":1,"address":"[::1]:1","region":"r1","zone":"z1","state":"serving","model":"m","slots":-1}`,
		`{"id":"a","incarnation":1,"address":"host:1","region":"r1","zone":"z1","state":"gone","slots":1}`,
		`{"id":"a","incarnation":1,"address":"127.0.0.1:1","region":"r1","zone":"z1","state":"odd","slots":1,"model":"m"}`,
		`{"id":"a","incarnation":1,"address":"127.0.0.1:1","region":"r1","zone":"z1","state":"serving","slots":1}`,
		`{}`, `[]`, `null`,
	} {
		f.Add([]byte(body))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		var a instance.Announcement
		if json.Unmarshal(body, &a) != nil || a.Validate() != nil {
			return
		}
		require.NotEmpty(t, a.ID)
		require.NotEmpty(t, a.Zone)
		require.NotEmpty(t, a.Region)
		require.Positive(t, a.Incarnation)
		require.True(t, a.Slots >= 1 && a.Slots <= 100_000)
		require.True(t, a.State != instance.StateServing || a.Model != "" || len(a.Services) > 0)
		l := newTestLane(t)
		l.announce(&a, l.clock.now())
		l.tick()
		l.markLeaving(a.ID, a.Incarnation)
	})
}
