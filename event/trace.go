package event

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// Line is one log line about a request.
type Line struct {
	Source string // name of the log
	Time   time.Time
	Text   string
}

// maxLineBytes is the longest log line that Trace reads. A longer one is an error.
const maxLineBytes = 1 << 20

// Trace reads the log r and returns its lines about the request with this id. It skips
// lines without JSON, and in other lines the text before the first brace, because a log may
// also contain other output. source names the log in the lines and in the error.
func Trace(source string, r io.Reader, request string) ([]Line, error) {
	var out []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		jsonStart := strings.IndexByte(text, '{')
		if jsonStart < 0 {
			continue
		}
		var line struct {
			Time    time.Time `json:"time"`
			Request string    `json:"request"`
		}
		if json.Unmarshal([]byte(text[jsonStart:]), &line) != nil || line.Request != request {
			continue
		}
		out = append(out, Line{Source: source, Time: line.Time, Text: text[jsonStart:]})
	}
	return out, trace.Wrap(scanner.Err(), "step=read log %s", source)
}

// SortLines sorts lines by time. Lines of the same time keep their order.
func SortLines(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}
