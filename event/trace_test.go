package event

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against lines of other requests in the result, against missed lines with a prefix
// before the JSON, and against a wrong order of lines from two processes.
func TestTraceMergesLogsOfOneRequest(t *testing.T) {
	first := `{"time":"2026-01-01T00:00:02Z","msg":"request ended","request":"a"}
not JSON
{"time":"2026-01-01T00:00:00Z","msg":"route chosen","request":"a"}
{"time":"2026-01-01T00:00:00Z","msg":"route chosen","request":"b"}
`
	second := `node-1 {"time":"2026-01-01T00:00:01Z","msg":"attempt failed","request":"a"}`
	one, err := Trace("one", strings.NewReader(first), "a")
	require.NoError(t, err)
	two, err := Trace("two", strings.NewReader(second), "a")
	require.NoError(t, err)
	lines := append(one, two...)
	SortLines(lines)
	require.Len(t, lines, 3)
	require.Contains(t, lines[0].Text, "route chosen")
	require.Equal(t, "two", lines[1].Source)
	require.Contains(t, lines[2].Text, "request ended")
}

// Guards against an unbounded rate of log lines when the load rises, and against omitted
// lines that are not counted.
func TestSamplerBoundsLinesPerSecond(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(0, 0)
	s := NewSampler(slog.New(slog.NewTextHandler(&out, nil)), func() time.Time { return now }, 10)
	for range 3 {
		now = now.Add(time.Second)
		for range 100 {
			s.Log(context.Background(), RequestEnded)
		}
	}
	require.Equal(t, 30, strings.Count(out.String(), RequestEnded.String()))
	require.Equal(t, 2, strings.Count(out.String(), "lines=90"))
}
