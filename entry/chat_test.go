package entry

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/request"
)

// Guards against admitting an invalid chat request. One without a model or messages, or with
// an unbounded answer, would occupy a slot for nothing; one with resume would read another
// caller's KV cache. Fails if any case in decodeChat is removed.
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

// Guards against accepting an invalid announcement of a faulty server: zero slots would cause
// a division by zero in the router, and unbounded lists would exhaust every entry's memory.
// Fails if the lower bound of slots, or the check for a model or service, is removed in
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
