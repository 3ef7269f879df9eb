package native

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against net/http writing a cancelled request after the client has reported it
// as not sent: the entry would send it to another server, and it would run twice.
func TestSealedConnWritesNothing(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	conn := &countingConn{Conn: near}
	require.False(t, conn.sealIfUnwritten(conn.bytesWritten()))
	require.NoError(t, near.Close())
	_, err := conn.Write([]byte("POST /statements"))
	require.ErrorIs(t, err, errSealed)
	require.Zero(t, conn.bytesWritten())
}

// Guards against reporting a request as not sent after a failed write, which may have
// written part of it.
func TestFailedWriteCountsAsWritten(t *testing.T) {
	near, far := net.Pipe()
	require.NoError(t, far.Close())
	conn := &countingConn{Conn: near}
	_, err := conn.Write([]byte("POST /statements"))
	require.Error(t, err)
	require.True(t, conn.sealIfUnwritten(0))
}
