package event

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a Write that blocks while the log's reader is stalled, which would block
// requests, and against dropped lines that the log does not report afterwards.
func TestStalledLogReaderDoesNotBlockWrites(t *testing.T) {
	reader, pipe := io.Pipe()
	w := NewWriter(pipe)
	start := time.Now()
	const lines = 3 * maxQueuedLines
	for i := range lines {
		_, err := fmt.Fprintf(w, "line %d\n", i)
		require.NoError(t, err)
	}
	require.Less(t, time.Since(start), 2*time.Second)
	require.Positive(t, w.Dropped())
	read := make(chan string)
	go func() {
		all, _ := io.ReadAll(reader)
		read <- string(all)
	}()
	require.Eventually(t, func() bool { return w.Dropped() == 0 }, 5*time.Second, time.Millisecond)
	w.Close()
	require.NoError(t, pipe.Close())
	text := <-read
	require.Contains(t, text, `"event":1007`)
	require.Less(t, strings.Count(text, "line "), lines)
}

// Guards against a process that ends without its last log lines.
func TestCloseWritesQueuedLines(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	_, _ = w.Write([]byte("a\n"))
	_, _ = w.Write([]byte("b\n"))
	w.Close()
	require.Equal(t, "a\nb\n", out.String())
}
