package coordinator

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/oklog/run"
	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/daemon"
	"savoryreel.example/savoryreel/intake"
)

// Guards against a control replica that ends its log before the operators' orders that it is
// reading: an order would be refused, or get no answer, though the replica could carry it out.
func TestStopCarriesOutOrderThatIsBeingRead(t *testing.T) {
	c := newCluster(t, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := c.startWith(address(0), true, func(co *Coordinator, g *run.Group) error {
		daemon.Serve(g, l, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			document, err := io.ReadAll(req.Body)
			if err == nil {
				err = co.Replace(req.Context(), 2, document)
			}
			if err != nil {
				http.Error(w, err.Error(), http.StatusServiceUnavailable)
			}
		}), intake.OfMachine(time.Now).Gate("operators", 1), daemon.CloseGrace, slog.New(slog.DiscardHandler))
		return nil
	})
	c.replaceCatalogue(r, 1)
	conn, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nrevis")
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond) // the handler reads the body
	r.stop()
	require.Eventually(t, func() bool {
		probe, err := net.Dial("tcp", l.Addr().String())
		if err == nil {
			_ = probe.Close()
		}
		return err != nil
	}, testWait, time.Millisecond)
	_, err = io.WriteString(conn, "ion 2")
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(testWait)))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode, string(body))
}
