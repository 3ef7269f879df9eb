package explain

import (
	"bytes"
	"encoding/json"
	"time"

	"savoryreel.example/savoryreel/event"
)

// line holds the attributes of a log line that explain uses. Durations are in nanoseconds,
// as slog writes them.
type line struct {
	Time    time.Time  `json:"time"`
	Event   event.Kind `json:"event"`
	Request string     `json:"request"`

	// Attributes of event RouteChosen.
	Service string        `json:"service"`
	Server  string        `json:"server"`
	Cached  int           `json:"cached"` // prompt tokens that the server is expected to have cached
	Prompt  int           `json:"prompt"` // tokens
	Load    int           `json:"load"`   // estimated requests running at the server
	Ahead   int           `json:"ahead"`  // estimated prompt tokens that the server prefills before this prompt
	LoadAge time.Duration `json:"loadAge"`

	RoomElsewhere bool `json:"roomElsewhere"` // the server had no free slot, and another candidate had one

	// Attributes of events RequestEnded and RequestRefused.
	Workspace       string        `json:"workspace"`
	Route           string        `json:"route"`
	Sends           int           `json:"sends"`
	Took            time.Duration `json:"took"`
	FirstByte       time.Duration `json:"firstByte"`
	Objective       time.Duration `json:"objective"`
	Outcome         string        `json:"outcome"`
	Status          int           `json:"status"`
	ObjectivePassed bool          `json:"cameBack"` // the caller retried, and its objective had passed since its first attempt

	Lines int `json:"lines"` // attribute of event LinesSampled: the number of omitted lines
}

// linesSampled is the event that reports omitted lines.
const linesSampled = event.LinesSampled

// parse decodes a line and reports whether it has JSON with an event number. It skips the
// text before the first brace, such as the name of the process that a log collector adds.
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
