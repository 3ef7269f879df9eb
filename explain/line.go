package explain

import (
	"bytes"
	"encoding/json"
	"time"

	"savoryreel.example/savoryreel/event"
)

// line is what explain reads of a log line. Durations are nanoseconds, as slog
// writes them.
type line struct {
	Time    time.Time  `json:"time"`
	Event   event.Kind `json:"event"`
	Request string     `json:"request"`

	// Of a choice.
	Service string        `json:"service"`
	Server  string        `json:"server"`
	Cached  int           `json:"cached"` // tokens of the prompt
	Prompt  int           `json:"prompt"` // tokens
	Load    int           `json:"load"`   // requests taken to run at the server
	Ahead   int           `json:"ahead"`  // prompt tokens taken to be read there first
	LoadAge time.Duration `json:"loadAge"`

	// Of an end.
	Workspace string        `json:"workspace"`
	Route     string        `json:"route"`
	Sends     int           `json:"sends"`
	Took      time.Duration `json:"took"`
	FirstByte time.Duration `json:"firstByte"`
	Objective time.Duration `json:"objective"`
	Outcome   string        `json:"outcome"`
	Status    int           `json:"status"`
	Retried   bool          `json:"cameBack"` // the objective had passed since the caller's first try

	Lines int `json:"lines"` // of one that says how many were left out
}

// ordinary is how lines that were left out for their number are told of.
const linesSampled = event.LinesSampled

// parse reads a line. Text before the JSON, as a name put there by whoever gathered
// the logs, is passed over.
func parse(text []byte) (line, bool) {
	jsonStart := bytes.IndexByte(text, '{')
	if jsonStart < 0 {
		return line{}, false
	}
	var l line
	if json.Unmarshal(text[jsonStart:], &l) != nil || l.Event == 0 {
		return line{}, false
	}
	return l, true
}
