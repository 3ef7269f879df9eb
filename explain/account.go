package explain

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"

	"savoryreel.example/savoryreel/event"
)

// Limits on the input and the memory.
const (
	maxLineBytes = 1 << 20
	// maxPending limits the requests whose end has not been read yet. The log of a process
	// that was killed lacks the ends of its running requests.
	maxPending = 200_000
	// maxMicroseconds is the largest value of the histograms; larger ones count as this.
	maxMicroseconds    = int64(time.Minute / time.Microsecond)
	significantFigures = 2 // of the histograms
)

// Account accumulates the statistics of logs. It is not safe for concurrent use.
type Account struct {
	pending map[string]*line // by request: its latest RouteChosen line

	Requests int // that ended and were owed an answer, see owedAnswer
	// BesideRoom counts those whose server had no free slot when they were last sent, while another
	// candidate had one. Logs of earlier versions lack this.
	BesideRoom int
	Skipped    int // lines without JSON or without an event number
	LeftOut    int // lines that processes omitted because of their rate, see event.Sampler
	Torn       int // lines longer than maxLineBytes

	By              map[Dimension]map[string]Tally
	firstEnd        time.Time
	loadAges        *hdrhistogram.Histogram // age of the load report on which the choice was based
	firstByteTimes  *hdrhistogram.Histogram // from the request's arrival to the first byte of the answer
	besideRoomTimes *hdrhistogram.Histogram // the same, of the requests in BesideRoom
}

// Dimension is an attribute by which requests are grouped.
type Dimension string

// The dimensions. All has a single group with the empty key.
const (
	All       Dimension = "all"
	Second    Dimension = "second"
	Route     Dimension = "route"
	Workspace Dimension = "workspace"
	Server    Dimension = "server"
	Size      Dimension = "prompt tokens"
)

// Tally counts requests by Reason.
type Tally map[Reason]int

// Lost returns the number of requests that were not answered in time.
func (t Tally) Lost() int { return t.Total() - t[InTime] }

// Total returns the number of requests.
func (t Tally) Total() int {
	n := 0
	for _, c := range t {
		n += c
	}
	return n
}

// NewAccount returns an empty Account.
func NewAccount() *Account {
	return &Account{
		pending: make(map[string]*line), By: make(map[Dimension]map[string]Tally),
		besideRoomTimes: hdrhistogram.New(1, maxMicroseconds, significantFigures),
		loadAges:        hdrhistogram.New(1, maxMicroseconds, significantFigures), firstByteTimes: hdrhistogram.New(1, maxMicroseconds, significantFigures),
	}
}

// Read adds the log r. It returns the error of r, if any, with source as the log's name; the
// lines before the error are counted.
func (a *Account) Read(source string, r io.Reader) error {
	in := bufio.NewReaderSize(r, 64<<10)
	for {
		text, err := in.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			text, err = a.readLongLine(in, text)
		}
		if len(bytes.TrimSpace(text)) > 0 {
			a.addLine(text)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return trace.Wrap(err, "step=read log %s", source)
		}
	}
}

// readLongLine reads the rest of a line that is longer than the reader's buffer and returns
// the whole line. It skips a line longer than maxLineBytes and counts it as torn: in a
// damaged log many lines may have been joined.
func (a *Account) readLongLine(in *bufio.Reader, prefix []byte) ([]byte, error) {
	text := bytes.Clone(prefix)
	for {
		more, err := in.ReadSlice('\n')
		if len(text) <= maxLineBytes {
			text = append(text, more...)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if len(text) > maxLineBytes {
			a.Torn++
			text = nil
		}
		return text, err
	}
}

// addLine counts one line of a log.
func (a *Account) addLine(text []byte) {
	l, ok := parse(text)
	if !ok {
		a.Skipped++
		return
	}
	switch l.Event {
	case event.RouteChosen:
		if len(a.pending) < maxPending {
			a.pending[l.Request] = &l
		}
	case event.RequestEnded, event.RequestRefused:
		a.recordEnd(&l)
	case linesSampled:
		a.LeftOut += l.Lines
	}
}

// recordEnd counts a request by its last line.
func (a *Account) recordEnd(l *line) {
	chosen := a.pending[l.Request]
	delete(a.pending, l.Request)
	if !owedAnswer(l) {
		return
	}
	if chosen == nil {
		chosen = &line{}
	} else {
		_ = a.loadAges.RecordValue(min(chosen.LoadAge.Microseconds(), maxMicroseconds)) // no error: the value is limited to maxMicroseconds
	}
	if l.FirstByte > 0 {
		_ = a.firstByteTimes.RecordValue(min(l.FirstByte.Microseconds(), maxMicroseconds))
	}
	if a.firstEnd.IsZero() {
		a.firstEnd = l.Time
	}
	a.Requests++
	if chosen.RoomElsewhere {
		a.recordBesideRoom(l)
	}
	reason := reasonOf(l, chosen)
	a.count(All, "", reason)
	a.count(Second, secondKey(l.Time.Add(-l.Took).Sub(a.firstEnd)), reason)
	a.count(Route, l.Route, reason)
	a.count(Workspace, l.Workspace, reason)
	if l.Server != "" {
		a.count(Server, l.Server, reason)
	}
	if chosen.Prompt > 0 {
		a.count(Size, sizeClass(chosen.Prompt), reason)
	}
}

// recordBesideRoom counts a request that was sent to a server without a free slot while another
// candidate had one, and the time to the first byte of its answer.
func (a *Account) recordBesideRoom(l *line) {
	a.BesideRoom++
	if l.FirstByte > 0 {
		_ = a.besideRoomTimes.RecordValue(min(l.FirstByte.Microseconds(), maxMicroseconds))
	}
}

// count adds one request to the group key of dimension d.
func (a *Account) count(d Dimension, key string, reason Reason) {
	groups := a.By[d]
	if groups == nil {
		groups = make(map[string]Tally)
		a.By[d] = groups
	}
	if groups[key] == nil {
		groups[key] = make(Tally)
	}
	groups[key][reason]++
}
