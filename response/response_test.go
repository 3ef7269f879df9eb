package response

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func read(head string) (*http.Response, error) {
	return http.ReadResponse(bufio.NewReader(strings.NewReader(head)), nil)
}

// Guards against a response that net/http accepts and that is no HTTP: a caller would get it as an answer, or with a
// body that was not the server's.
func TestHeadsThatAreNoHTTP(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 000 Nothing\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 099 Low\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 600 High\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 999 High\r\nContent-Length: 0\r\n\r\n",
		"HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent Length: 4\r\n\r\nbody and more",
		"HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody and more",
		"HTTP/1.1 200 OK\r\nX-\x01: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-\x7f: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX(1): 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\n: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX: a\x01b\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody and more",
	} {
		r, err := read(head)
		if err == nil {
			err = Check(r)
		}
		require.Error(t, err, "%q", head)
	}
}

// Guards against a check that turns away what servers may send.
func TestHeadsOfHTTP(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.0 200 OK\r\n\r\nbody",
		"HTTP/1.1 100 Continue\r\n\r\n",
		"HTTP/1.1 299\r\nx-lower_case.1: \xe9\tok\r\n\r\nbody",
		"HTTP/1.1 599 Last\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	} {
		r, err := read(head)
		require.NoError(t, err, "%q", head)
		require.NoError(t, Check(r), "%q", head)
	}
}

// FuzzCheck looks for a head that passes and cannot be passed on as it was read.
func FuzzCheck(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"))
	f.Add([]byte("HTTP/1.1 000 Nothing\r\nContent Length: 4\r\n\r\nbody"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nA: b\r\n c\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, head []byte) {
		r, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(head)), nil)
		if err != nil || Check(r) != nil {
			return
		}
		require.True(t, r.StatusCode >= 100 && r.StatusCode <= 599)
		var out bytes.Buffer
		require.NoError(t, r.Header.Write(&out))
		again, err := read("HTTP/1.1 200 OK\r\n" + out.String() + "\r\n")
		require.NoError(t, err, "%q", out.String())
		for name, values := range r.Header {
			require.Len(t, again.Header.Values(name), len(values), "%q", name)
		}
	})
}
