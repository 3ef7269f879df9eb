package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pausedRequest is a request of which a part has been sent to an entry.
type pausedRequest struct {
	conn net.Conn
	rest string
}

// sendPart sends the beginning of a request to entry i: its first bytes, or, if withHeader is
// set, its header and half of its body.
func (s *site) sendPart(i int, method, path, body string, withHeader bool) *pausedRequest {
	s.t.Helper()
	header := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n\r\n",
		method, path, workspaceKey, fmt.Sprint("part-", time.Now().UnixNano()), len(body))
	text, split := header+body, 10
	if withHeader {
		split = len(header) + len(body)/2
	}
	c, err := net.Dial("tcp", s.addr(entryPort(i)))
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, text[:split])
	require.NoError(s.t, err)
	return &pausedRequest{conn: c, rest: text[split:]}
}

// finish sends the rest of the request and returns the answer and its whole body.
func (p *pausedRequest) finish() (*http.Response, string, error) {
	if _, err := io.WriteString(p.conn, p.rest); err != nil {
		return nil, "", err
	}
	if err := p.conn.SetReadDeadline(time.Now().Add(waitTimeout)); err != nil {
		return nil, "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(p.conn), nil)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// Guards against a reclaimed entry that ends while requests are being read: their callers would
// get neither an answer nor a refusal.
func TestReclaimOfAnEntryAnswersRequestsThatAreBeingRead(t *testing.T) {
	const notice = 8 * time.Second
	s, entries, _ := newSmallSite(t, 1)
	chat, _ := chatBody("Good morning", 12, false)
	stream, _ := chatBody("Good morning", 12, true)
	var parts []*pausedRequest
	for _, withHeader := range []bool{false, true} {
		parts = append(parts,
			s.sendPart(1, "POST", "/v1/chat/completions", chat, withHeader),
			s.sendPart(1, "POST", "/v1/chat/completions", stream, withHeader),
			s.sendPart(1, "PUT", "/svc/echo/tiles/7", "1 EUR", withHeader),
			s.sendPart(1, "POST", "/svc/echo/credit", "1 EUR", withHeader))
	}
	s.reclaimEntry(1, notice)
	time.Sleep(notice * 5 / 8) // the entry has no request that it counts since half of the notice
	for i, p := range parts {
		resp, body, err := p.finish()
		if err != nil || resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("request %d: %+v, %v, %s", i, resp, err, body)
		}
	}
	select {
	case <-entries[0].done:
		require.NoError(t, entries[0].exitErr)
	case <-time.After(notice / 2):
		t.Error("the entry has not ended within the notice")
	}
}

// Guards against a reclaimed entry that begins a long answer when it has handed over its
// requests already: the answer would be cut off, and the entry outlive its notice.
func TestReclaimedEntryBeginsNoAnswerAfterItsHandOver(t *testing.T) {
	const notice = 6 * time.Second
	s, entries, _ := newSmallSite(t, 1)
	stream, _ := chatBody("Good morning", 2000, true) // takes 20 s
	p := s.sendPart(1, "POST", "/v1/chat/completions", stream, true)
	s.reclaimEntry(1, notice)
	noticed := time.Now()
	time.Sleep(notice * 5 / 8)
	resp, body, err := p.finish()
	require.NoError(t, err, "the answer is cut off")
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Contains(t, body, "not_run")
	<-entries[0].done
	require.Less(t, time.Since(noticed), notice+time.Second)
}

// Guards against callers that keep their connections to a leaving entry until it ends.
func TestAnswersOfALeavingEntryCloseTheirConnections(t *testing.T) {
	s, _, _ := newSmallSite(t, 1)
	chat, _ := chatBody("hello", 2, false)
	s.reclaimEntry(1, 20*time.Second)
	time.Sleep(200 * time.Millisecond)
	for _, x := range []struct{ method, path, body string }{
		{"PUT", "/svc/echo/tiles/7", "1 EUR"}, {"POST", "/svc/echo/credit", "1 EUR"}, {"POST", "/v1/chat/completions", chat},
	} {
		resp, _, err := s.sendPart(1, x.method, x.path, x.body, true).finish()
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.True(t, resp.Close, "%s %s", x.method, x.path)
	}
}
