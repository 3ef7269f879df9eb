package e2e

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// firstTry is one request of a caller that does not repeat it.
type firstTry struct {
	entry    int
	path     string
	at       time.Time
	answered bool
	how      string
}

// firstTries holds the requests of a test. It is safe for concurrent use.
type firstTries struct {
	mu   sync.Mutex
	list []firstTry
}

func (l *firstTries) add(try firstTry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, try)
}

// try sends a request through a caller of an entry and returns how it ended.
func (c *budgetCaller) try(entry int, path, parts string) firstTry {
	try := firstTry{entry: entry, path: path, at: time.Now()}
	try.how = c.outcomeWithParts(path, parts)
	try.answered = try.how == http.StatusText(http.StatusOK)
	return try
}

// between returns the requests that were sent between two times.
func (l *firstTries) between(from, to time.Time) (out []firstTry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, try := range l.list {
		if !try.at.Before(from) && try.at.Before(to) {
			out = append(out, try)
		}
	}
	return out
}

// measure plays for a time, waits until the last request has ended, and checks that callers at the entries
// of the first zone, which are the first ones, are served.
func (l *firstTries) measure(t *testing.T, firstZone int, d, timeout time.Duration) {
	t.Helper()
	from := time.Now()
	time.Sleep(d)
	to := time.Now()
	time.Sleep(timeout + 100*time.Millisecond)
	requireServed(t, l.between(from, to), firstZone)
}

// requireServed checks first tries: no more than the bound may fail at the entries of the first zone.
func requireServed(t *testing.T, tries []firstTry, firstZone int) {
	t.Helper()
	failed := 0
	kinds := make(map[string]int)
	for _, try := range tries {
		zone := "second zone"
		if try.entry < firstZone {
			zone = "first zone"
		}
		kinds[zone+" "+try.path+" "+try.how]++
		if !try.answered && try.entry < firstZone {
			failed++
		}
	}
	t.Logf("%d of %d first tries failed at the entries of the first zone: %v", failed, len(tries), kinds)
	require.LessOrEqual(t, float64(failed), maxFirstTriesFailed+maxFirstTriesShare*float64(len(tries)))
}

// outcomes counts requests by how they ended.
func outcomes(tries []firstTry) map[string]int {
	counts := make(map[string]int)
	for _, try := range tries {
		counts[try.how]++
	}
	return counts
}

func total(counts map[string]int) (n int) {
	for _, count := range counts {
		n += count
	}
	return n
}
