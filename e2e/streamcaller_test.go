package e2e

import (
	"bufio"
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"savoryreel.example/savoryreel/platform/standin"
)

// streamDeadline is how long a caller of streams waits for the whole of one. It is that of the
// platform's callers of long streams.
const streamDeadline = 15 * time.Second

// streamCall is one stream of a caller, over all of its attempts.
type streamCall struct {
	path     string
	number   int // distinguishes its requests from those of other callers
	entries  []string
	deadline time.Time

	first    string   // id of the attempt that brought the first event
	last     int      // id of the last event
	versions []string // of the servers whose events have come
	attempts []streamAttempt
}

// streamAttempt is one attempt of a streamCall.
type streamAttempt struct {
	takesUp bool
	sentAt  time.Time
	status  int // 0: no answer
	events  int
	whole   bool
	reason  string // body of a refusal
}

// run sends attempts until the stream is whole or its deadline has passed, each to the next entry.
func (c *streamCall) run(ctx context.Context, entry int) {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	for ctx.Err() == nil {
		a := c.attempt(ctx, c.entries[entry%len(c.entries)])
		c.attempts = append(c.attempts, a)
		if a.whole {
			return
		}
		entry++
		select {
		case <-ctx.Done():
		case <-time.After(streamRetryPause):
		}
	}
}

// streamRetryPause is the pause between two attempts.
const streamRetryPause = 100 * time.Millisecond

// attempt sends one attempt, on a connection of its own.
func (c *streamCall) attempt(ctx context.Context, entry string) (a streamAttempt) {
	a.sentAt, a.takesUp = time.Now(), c.last > 0
	id := uuid.NewString()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+c.path+"?caller="+strconv.Itoa(c.number), strings.NewReader(""))
	if err != nil {
		return a
	}
	req.Host, req.Close = standin.Host, true
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(time.Until(c.deadline).Milliseconds(), 10))
	req.Header.Set("Authorization", "Token "+platformKey)
	if a.takesUp {
		req.Header.Set("Last-Event-Id", strconv.Itoa(c.last))
		req.Header.Set("Resumes", c.first)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return a
	}
	defer resp.Body.Close()
	a.status = resp.StatusCode
	c.read(bufio.NewScanner(resp.Body), id, &a)
	return a
}

// read reads the events of an attempt. Each is a comment with the version, an id and its data.
func (c *streamCall) read(lines *bufio.Scanner, id string, a *streamAttempt) {
	version := ""
	for lines.Scan() {
		line := lines.Text()
		switch {
		case a.status != http.StatusOK:
			a.reason += line
		case strings.HasPrefix(line, ": "):
			version = line[2:]
		case strings.HasPrefix(line, "id: "):
			n, _ := strconv.Atoi(line[4:])
			if c.last == 0 {
				c.first = id
			}
			c.last = n
			a.events++
			if !slices.Contains(c.versions, version) {
				c.versions = append(c.versions, version)
			}
		}
	}
	a.whole = a.status == http.StatusOK && lines.Err() == nil && strings.HasSuffix(c.path, "/"+strconv.Itoa(c.last))
}

// startStreams starts n streams, spread over the entries, and returns them and a function that waits
// until all have ended.
func (p *platformSite) startStreams(n int, path string) (calls []*streamCall, wait func()) {
	var entries []string
	for i := range p.entries {
		entries = append(entries, p.entryAddr(i))
	}
	var wg sync.WaitGroup
	for i := range n {
		c := &streamCall{path: path, number: i, entries: entries, deadline: time.Now().Add(streamDeadline)}
		calls = append(calls, c)
		wg.Go(func() { c.run(p.ctx(), i) })
	}
	return calls, wg.Wait
}

// streamTally counts the streams that were taken up, those of them that went on, those that hold events
// of several versions, and the refusals by reason.
type streamTally struct {
	takenUp, wentOn, joined int
	whole                   int
	refusals                map[string]int
}

func tallyStreams(calls []*streamCall) streamTally {
	t := streamTally{refusals: make(map[string]int)}
	for _, c := range calls {
		takenUp, wentOn := false, false
		for _, a := range c.attempts {
			takenUp = takenUp || a.takesUp && a.status != 0
			wentOn = wentOn || a.takesUp && a.events > 0
			if a.status != 0 && a.status != http.StatusOK {
				t.refusals[strconv.Itoa(a.status)+" "+a.reason]++
			}
			if a.whole {
				t.whole++
			}
		}
		if takenUp {
			t.takenUp++
		}
		if wentOn {
			t.wentOn++
		}
		if len(c.versions) > 1 {
			t.joined++
		}
	}
	return t
}
