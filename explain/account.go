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

// Bounds of what is read and kept.
const (
	maxLineBytes = 1 << 20 // bytes
	// maxOpen bounds the requests whose end has not been read yet. Where a process is
	// killed their ends never come.
	maxPending = 200_000
	// Histograms hold microseconds up to a minute.
	maxMicroseconds    = int64(time.Minute / time.Microsecond)
	significantFigures = 2 // significant figures
)

// Account adds up what logs tell. It is not safe for concurrent use.
type Account struct {
	pending map[string]*line // the last choice of requests that have not ended

	Requests int // that ended
	Skipped  int // lines that could not be read, or are of no known kind
	LeftOut  int // lines that processes left out for their number
	Torn     int // lines longer than any that a process writes

	By             map[Dimension]map[string]Tally
	firstEnd       time.Time
	loadAges       *hdrhistogram.Histogram // of the word that decided
	firstByteTimes *hdrhistogram.Histogram // from the arrival to the first byte
}

// Dimension is what requests are grouped by.
type Dimension string

// The dimensions.
const (
	All       Dimension = "all"
	Second    Dimension = "second"
	Route     Dimension = "route"
	Workspace Dimension = "workspace"
	Server    Dimension = "server"
	Size      Dimension = "prompt tokens"
)

// Tally counts requests by what became of them.
type Tally map[Reason]int

// Lost is how many were not answered in time.
func (t Tally) Lost() int { return t.Total() - t[InTime] }

// Total is how many there were.
func (t Tally) Total() int {
	n := 0
	for _, c := range t {
		n += c
	}
	return n
}

// NewAccount returns an empty account.
func NewAccount() *Account {
	return &Account{
		pending: make(map[string]*line), By: make(map[Dimension]map[string]Tally),
		loadAges: hdrhistogram.New(1, maxMicroseconds, significantFigures), firstByteTimes: hdrhistogram.New(1, maxMicroseconds, significantFigures),
	}
}

// Read adds a log. Errors are those of reading; what was read before one stays.
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

// long reads the rest of a line that is longer than the buffer. One beyond maxLine is
// passed over: a torn log may join many.
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

func (a *Account) recordEnd(l *line) {
	chosen := a.pending[l.Request]
	delete(a.pending, l.Request)
	if !owedAnswer(l) {
		return
	}
	if chosen == nil {
		chosen = &line{}
	} else {
		_ = a.loadAges.RecordValue(min(chosen.LoadAge.Microseconds(), maxMicroseconds)) // within bounds
	}
	if l.FirstByte > 0 {
		_ = a.firstByteTimes.RecordValue(min(l.FirstByte.Microseconds(), maxMicroseconds))
	}
	if a.firstEnd.IsZero() {
		a.firstEnd = l.Time
	}
	a.Requests++
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
