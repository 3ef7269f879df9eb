package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
)

// stream is one stream of a client, over all of its attempts. A client takes a stream up as the pages say:
// with Last-Event-Id, and with Resumes, the id of the attempt that brought its first event.
type stream struct {
	s        *site
	number   int
	path     string
	key      string
	events   int // of the whole stream
	deadline time.Time

	first    string // id of the attempt that brought the first event
	last     int    // id of the last event
	versions []string
	faults   []string // pieces that are missing or come twice
	takenUp  bool     // an attempt that took it up was answered
	goneOn   bool     // one of those has brought events
	whole    bool
	pause    time.Duration // before the next attempt
}

const (
	// retryPause is the pause between two attempts of a client where no answer names one.
	retryPause = 100 * time.Millisecond
	// maxAttempts is one more than the retries that the site's sheet gives its clients.
	maxAttempts = 2
)

// run sends attempts until the stream is whole, its deadline has passed or the client has no retry left, each
// to another entry. Between them it waits as Retry-After says, up to a third of the time that it has left.
func (t *stream) run(entries []string, at int) {
	ctx, cancel := context.WithDeadline(context.Background(), t.deadline)
	defer cancel()
	for range maxAttempts {
		t.pause = retryPause
		t.attempt(ctx, entries[at%len(entries)])
		if t.whole || ctx.Err() != nil {
			return
		}
		at++
		time.Sleep(min(t.pause, time.Until(t.deadline)/3))
	}
}

func (t *stream) attempt(ctx context.Context, entry string) {
	id := uuid.NewString()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+t.path, strings.NewReader(fmt.Sprintf("prompt %d", t.number)))
	if err != nil {
		return
	}
	req.Host = clientHost
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(time.Until(t.deadline).Milliseconds(), 10))
	req.Header.Set("Authorization", "Token "+t.key)
	from := t.last
	if from > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(from))
		req.Header.Set("Resumes", t.first)
	}
	sent := time.Since(t.s.began).Seconds()
	resp, err := noReuse.RoundTrip(req)
	if err != nil {
		t.s.log("stream %d attempt %s at %s sent %.3f after event %d: %v", t.number, id, entry, sent, from, err)
		return
	}
	defer resp.Body.Close()
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && seconds > 0 {
		t.pause = time.Duration(seconds * float64(time.Second))
	}
	var versions []string
	lines, version := bufio.NewScanner(resp.Body), ""
	for lines.Scan() {
		line := lines.Text()
		switch {
		case resp.StatusCode != http.StatusOK:
			version = line
		case strings.HasPrefix(line, ": "):
			version = line[2:]
		case strings.HasPrefix(line, "id: "):
			n, _ := strconv.Atoi(line[4:])
			if t.last == 0 {
				t.first = id
			}
			if n != t.last+1 {
				t.faults = append(t.faults, fmt.Sprintf("event %d after %d", n, t.last))
			}
			t.last = n
			if !slices.Contains(versions, version) {
				versions = append(versions, version)
			}
			if !slices.Contains(t.versions, version) {
				t.versions = append(t.versions, version)
			}
		}
	}
	t.whole = resp.StatusCode == http.StatusOK && lines.Err() == nil && t.last == t.events
	t.goneOn = t.goneOn || from > 0 && t.last > from
	t.takenUp = t.takenUp || from > 0
	t.s.log("stream %d attempt %s at %s sent %.3f after event %d: %d, events to %d by %v, stamp %s, whole %t, %v %s", t.number, id, entry, sent, from,
		resp.StatusCode, t.last, versions, resp.Header.Get("X-Server-Stamp"), t.whole, lines.Err(), refusal(resp.StatusCode, version))
}

func refusal(status int, text string) string {
	if status == http.StatusOK {
		return ""
	}
	return text
}

// startStreams starts n streams, spread over the entries, and returns them and a function that waits for
// their ends.
func (s *site) startStreams(n, events int, path, key string, lasts time.Duration) ([]*stream, func()) {
	return s.startStreamsAt(s.resolve(), n, events, path, key, lasts)
}

// startStreamsAt is startStreams with the entries given.
func (s *site) startStreamsAt(entries []string, n, events int, path, key string, lasts time.Duration) ([]*stream, func()) {
	slices.Sort(entries)
	var list []*stream
	var wg sync.WaitGroup
	for i := range n {
		t := &stream{s: s, number: i, path: fmt.Sprintf("%s%d", path, events), key: key, events: events, deadline: time.Now().Add(lasts)}
		list = append(list, t)
		wg.Go(func() { t.run(entries, i) })
	}
	return list, wg.Wait
}

// entriesBut returns the entries that the directory names, but for one.
func (s *site) entriesBut(p *process) []string {
	return slices.DeleteFunc(s.resolve(), func(address string) bool { return address == s.addr(p.m.n, callerPort) })
}

// joined returns the streams that hold events of several versions, and how many of them ended as whole.
func joined(list []*stream) (n, whole int) {
	for _, t := range list {
		if len(t.versions) > 1 {
			n++
			if t.whole {
				whole++
			}
		}
	}
	return n, whole
}

// startStreamLoad starts n streams a second until a time. What it returns waits for their ends and returns
// them.
func (s *site) startStreamLoad(n, events int, path, key string, until time.Time) func() []*stream {
	entries := s.resolve()
	slices.Sort(entries)
	var list []*stream
	var wg sync.WaitGroup
	wg.Go(func() {
		for i := 0; time.Now().Before(until); i++ {
			t := &stream{s: s, number: i, path: fmt.Sprintf("%s%d", path, events), key: key, events: events, deadline: time.Now().Add(15 * time.Second)}
			list = append(list, t)
			wg.Go(func() { t.run(entries, i) })
			time.Sleep(time.Second / time.Duration(n))
		}
	})
	return func() []*stream {
		wg.Wait()
		return list
	}
}
