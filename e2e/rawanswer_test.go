package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/daemon"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/internal/testutil"
	"savoryreel.example/savoryreel/native"
	"savoryreel.example/savoryreel/platform/standin"
)

// uploadBytes is more than the socket buffers of a server that does not read.
const uploadBytes = 700 << 10

// rawCalls is how often each raw answer is asked for: which error of a reset comes first is up to the kernel.
const rawCalls = 10

// checkPlatformRaw checks that the callers of an entry get no raw answer of this kind as an answer, on any route.
func checkPlatformRaw(t *testing.T, kind int, refused ...int) {
	p := newPlatformSite(t, 3, 1, 2)
	upload := strings.Repeat("x", uploadBytes)
	for range rawCalls {
		for _, route := range []string{"web", "get", "chat"} {
			a, err := standin.Call(p.ctx(), p.entryAddr(0), platformKey, fmt.Sprintf("/%s/raw/%d", route, kind), upload)
			require.NoError(t, err, "the entry answers")
			require.Contains(t, refused, a.Status, "%s: %.40q", route, a.Body)
		}
	}
	a, err := standin.Call(p.ctx(), p.entryAddr(0), platformKey, "/get/x", "hi")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, a.Status)
}

// Statuses of a request whose servers have failed, or that is not sent again.
var noAnswer = []int{http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout}

// Guards against a part of an answer that a caller takes for the whole: its server resets the connection under the
// upload.
func TestPlatformResetUnderUpload(t *testing.T) { checkPlatformRaw(t, standin.RawReset, noAnswer...) }

// Guards against a status that no caller understands, and against a connection that is closed in place of an answer.
func TestPlatformStatus000(t *testing.T) { checkPlatformRaw(t, standin.RawStatus000, noAnswer...) }

// Guards against a field name with a blank, by which the body is another than the server's.
func TestPlatformFieldNameWithBlank(t *testing.T) {
	checkPlatformRaw(t, standin.RawBlankName, noAnswer...)
}

// Guards against the same where the blank ends the name.
func TestPlatformFieldNameThatEndsInBlank(t *testing.T) {
	checkPlatformRaw(t, standin.RawBlankEnd, noAnswer...)
}

// checkNativeRaw checks that the callers of a native entry get no answer that begins with head as an answer, neither
// of calls that may be repeated nor of those that may run once.
func checkNativeRaw(t *testing.T, head string, reset bool) {
	s := newSite(t)
	s.startControl(1)
	s.startEntry(1, "z1")
	s.apply(newTestCatalogue())
	var requests atomic.Int64
	addr := testutil.StartRawServer(t, func(r *http.Request) (string, bool) {
		if strings.HasSuffix(r.URL.Path, "/x") {
			requests.Add(1)
		}
		return head + "\r\n\r\npart", reset
	})
	s.keepAnnounced(addr)
	s.eventually("requests reach the server", func() error {
		r, err := s.call(t.Context(), 1, http.MethodPut, "/svc/echo/x", "x", nil)
		if requests.Load() == 0 {
			return fmt.Errorf("status %d, error %v: %s", r.status, err, r.body)
		}
		return nil
	})
	upload := strings.Repeat("x", uploadBytes)
	for i := range rawCalls {
		for _, method := range []string{http.MethodPut, http.MethodPost} {
			r, err := s.call(t.Context(), 1, method, "/svc/echo/x", upload, map[string]string{"Idempotency-Key": fmt.Sprint("raw-", method, i)})
			if reset && err != nil {
				continue // the answer had begun, and the caller's connection broke off as the server's did
			}
			require.NoError(t, err, "the entry answers")
			require.Contains(t, noAnswer, r.status, "%s: %.100q", method, r.body)
		}
	}
	require.GreaterOrEqual(t, requests.Load(), int64(rawCalls), "requests reach the server")
}

// keepAnnounced announces a plain server until the test ends, and waits until that is acknowledged.
func (s *site) keepAnnounced(addr string) {
	sequence := uint64(0)
	announce := func() error {
		sequence++
		body, err := json.Marshal(instance.Announcement{
			ID: "raw", Incarnation: 1, Sequence: sequence, Address: addr, Region: "r1", Zone: "z1", State: instance.StateServing,
			Services: []string{"echo"}, Slots: 8, Load: instance.Load{At: time.Now()},
		})
		if err != nil {
			return err
		}
		req, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, "http://"+s.addr(entryPort(1))+native.PathAnnounce, bytes.NewReader(body))
		if err != nil {
			return err
		}
		req.Header.Set("Authorization", "Bearer "+announceKey)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if resp.StatusCode >= http.StatusMultipleChoices {
			return fmt.Errorf("status %d: %s", resp.StatusCode, readAll(resp))
		}
		return nil
	}
	s.eventually("the server is announced", announce)
	go func() { _ = daemon.Every(s.t.Context(), 500*time.Millisecond, func() { _ = announce() }) }()
}

// Guards against a part of an answer that a caller takes for the whole: its server resets the connection under the
// upload.
func TestResetUnderUpload(t *testing.T) { checkNativeRaw(t, "HTTP/1.1 200 OK", true) }

// Guards against a status that no caller understands.
func TestStatus000(t *testing.T) {
	checkNativeRaw(t, "HTTP/1.1 000 Trouble\r\nContent-Length: 4", false)
}

// Guards against a field name with a blank, by which the body is another than the server's.
func TestFieldNameWithBlank(t *testing.T) {
	checkNativeRaw(t, "HTTP/1.1 200 OK\r\nContent Length: 4", false)
}

// Guards against the same where the blank ends the name.
func TestFieldNameThatEndsInBlank(t *testing.T) {
	checkNativeRaw(t, "HTTP/1.1 200 OK\r\nContent-Length : 4", false)
}
