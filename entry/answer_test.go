package entry

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/request"
)

// streamAnswer streams the answer of a journal to a caller that has received the given number
// of tokens.
func streamAnswer(t *testing.T, j *request.Journal, received int) *httptest.ResponseRecorder {
	t.Helper()
	w := httptest.NewRecorder()
	a := &answerWriter{
		entry: &Entry{metrics: NewMetrics(metrics.NewSet())}, w: w, next: received,
		work: &work{request: &request.Request{ID: "r1-1", Service: "chat"}, journal: j},
	}
	a.stream(t.Context())
	return w
}

// Guards against a caller that reconnects with Last-Event-ID and gets a token twice or not at
// all. Fails if stream increments a.next after it has written the event.
func TestStreamResumesAfterLastEventID(t *testing.T) {
	for received := range 4 {
		j := request.NewJournal([]string{"a", "b", "c"})
		j.Finish(request.End{Finish: "stop"})
		w := streamAnswer(t, j, received)
		var ids, tokens []string
		for _, event := range strings.Split(strings.TrimSpace(w.Body.String()), "\n\n") {
			var id string
			if _, err := fmt.Sscanf(event, "id: %s", &id); err != nil {
				require.Equal(t, "data: [DONE]", event)
				continue
			}
			if _, text, found := strings.Cut(event, `"content":"`); found {
				ids, tokens = append(ids, id), append(tokens, text[:1])
			}
		}
		require.Equal(t, []string{"1", "2", "3"}[received:], append([]string{}, ids...))
		require.Equal(t, []string{"a", "b", "c"}[received:], append([]string{}, tokens...))
		require.Equal(t, string(request.Answered), w.Result().Trailer.Get(request.HeaderOutcome))
	}
}

// Guards against a caller that loses its answer when the request moves to another entry: it
// must get a redirect before the first byte and an event afterwards. A redirect written into
// the stream would corrupt the answer. Fails if !a.headerSent is removed for moved answers in
// streamEnd.
func TestMovedAnswerRedirectsOrSendsEvent(t *testing.T) {
	const location = "http://127.0.0.1:7001/v1/answers/r1-1"
	end := request.End{MovedTo: "127.0.0.1:7001"}
	early := request.NewJournal(nil)
	early.Finish(end)
	w := streamAnswer(t, early, 0)
	require.Equal(t, 307, w.Code)
	require.Equal(t, location, w.Header().Get("Location"))
	require.Empty(t, w.Body.String())

	late := request.NewJournal([]string{"a"})
	late.Finish(end)
	w = streamAnswer(t, late, 0)
	require.Equal(t, 200, w.Code)
	require.Empty(t, w.Header().Get("Location"))
	require.Contains(t, w.Body.String(), "id: 1\nevent: moved\nretry: 0\ndata: {\"location\":\""+location+"\"}\n\n")
	require.Empty(t, w.Result().Trailer.Get(request.HeaderOutcome), "the other entry reports the outcome")
}

// Guards against a failed request whose caller does not get the outcome: in a header before
// the first byte, and in an event and the trailer afterwards. Fails if streamProblem does not
// set the trailer.
func TestProblemReachesCallerWithOutcome(t *testing.T) {
	end := request.End{Problem: request.NewProblem(request.CodeServerFailed, request.Unknown, "gone")}
	early := request.NewJournal(nil)
	early.Finish(end)
	w := streamAnswer(t, early, 0)
	require.Equal(t, 502, w.Code)
	require.Equal(t, "application/problem+json", w.Header().Get("Content-Type"))
	require.Equal(t, string(request.Unknown), w.Header().Get(request.HeaderOutcome))
	require.Contains(t, w.Body.String(), `"requestId":"r1-1"`)

	late := request.NewJournal([]string{"a"})
	late.Finish(end)
	w = streamAnswer(t, late, 0)
	require.Equal(t, 200, w.Code)
	require.Contains(t, w.Body.String(), "event: error\ndata: {")
	require.Contains(t, w.Body.String(), `"outcome":"unknown"`)
	require.Equal(t, string(request.Unknown), w.Result().Trailer.Get(request.HeaderOutcome))
}

// Guards against accepting a Last-Event-ID that is not the id of an event of this answer: the
// caller would wait for a token that is never generated. Fails if the check n > available in
// parseLastEventID is removed.
func TestLastEventIDRejectsInvalidValues(t *testing.T) {
	for text, want := range map[string]int{"": 0, "0": 0, "5": 5, "-1": -1, "6": -1, "x": -1, "1.5": -1, "99999999999999999999": -1} {
		r := httptest.NewRequest("GET", "/", nil)
		r.Header.Set(request.HeaderEventID, text)
		n, p := parseLastEventID(r, 5)
		if want < 0 {
			require.NotNil(t, p, text)
			require.Equal(t, request.CodeBadRequest, p.Code)
			continue
		}
		require.Nil(t, p, text)
		require.Equal(t, want, n)
	}
}
