package native

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// A round trip is cancelled just before net/http writes the request, and the
// write comes after the client has been told "not sent". The entry would then
// run the request elsewhere while the first server gets it too. Removing the
// line that sets sealed in sealUnless breaks this test.
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

func TestFailedWriteCountsAsWritten(t *testing.T) {
	near, far := net.Pipe()
	require.NoError(t, far.Close())
	conn := &countingConn{Conn: near}
	_, err := conn.Write([]byte("POST /statements"))
	require.Error(t, err)
	require.True(t, conn.sealIfUnwritten(0))
}
