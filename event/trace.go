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

// Line is one line of a log that concerns a request.
type Line struct {
	Source string // where it was read
	Time   time.Time
	Text   string
}

// maxLine bounds one log line.
const maxLineBytes = 1 << 20

// Trace returns the lines of one log that concern a request. Lines that are no JSON
// are passed over: a log may hold other output too.
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

// SortLines orders lines of several logs by their time.
func SortLines(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}
