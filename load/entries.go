package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

const (
	maxEntriesBody = 1 << 20
	listTimeout    = 2 * time.Second
	minValidity    = 100 * time.Millisecond // so that a list of validity 0 is not asked for per request
)

var errNoEntry = errors.New("the list of entries is empty")

// entryChoice keeps the answer to "which entry to use" for as long as it is
// valid, as a caller does.
type entryChoice struct {
	client  *http.Client
	dialect Dialect
	seeds   []string // base URLs

	mu     sync.Mutex
	urls   []string // base URLs, best first, or in any order where callers spread
	failed int      // of those, the last ones, which could not be reached
	spread bool
	until  time.Time
	asking chan struct{} // closed when the running question is answered; nil: none runs
	askErr error
}

func newEntryChoice(client *http.Client, dialect Dialect, seeds []string) *entryChoice {
	return &entryChoice{client: client, dialect: dialect, seeds: seeds}
}

// get returns the base URLs of the entries to try, best first.
func (e *entryChoice) get(ctx context.Context) ([]string, error) {
	for {
		urls, asking, mine := e.current()
		if urls != nil {
			return urls, nil
		}
		if mine {
			list, err := e.ask(context.WithoutCancel(ctx)) // others wait for the answer too
			e.answer(list, err)
			if err != nil {
				return nil, err
			}
			continue
		}
		select {
		case <-asking:
			if err := e.lastError(); err != nil {
				return nil, err
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// current returns the valid list, or the question that runs, and whether it is
// for the caller to ask it.
func (e *entryChoice) current() (urls []string, asking chan struct{}, mine bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.until) {
		return e.order(), nil, false
	}
	if e.asking == nil {
		e.asking = make(chan struct{})
		return nil, e.asking, true
	}
	return nil, e.asking, false
}

// order returns the entries in the order in which one caller tries them. e.mu is held.
func (e *entryChoice) order() []string {
	if !e.spread {
		return e.urls
	}
	urls := slices.Clone(e.urls)
	good := urls[:len(urls)-e.failed]
	rand.Shuffle(len(good), func(i, j int) { good[i], good[j] = good[j], good[i] })
	return urls
}

func (e *entryChoice) answer(list EntryList, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.askErr = err
	close(e.asking)
	e.asking = nil
	if err != nil {
		return
	}
	e.urls, e.failed, e.spread = nil, 0, list.Spread
	for _, address := range list.Addresses {
		e.urls = append(e.urls, "http://"+address)
	}
	e.until = time.Now().Add(max(list.Valid, minValidity))
}

func (e *entryChoice) lastError() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.askErr
}

// demote puts an entry that failed behind the others for as long as the list
// is valid, so that not every request pays for it once more.
func (e *entryChoice) demote(url string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := slices.Index(e.urls, url)
	if i < 0 || i >= len(e.urls)-e.failed {
		return
	}
	e.failed++
	rest := slices.Concat(e.urls[:i], e.urls[i+1:]) // a new list: callers hold the old one
	e.urls = append(rest, url)
}

// expire makes the next request ask again, because every entry of the list failed.
func (e *entryChoice) expire() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.until = time.Time{}
}

// ask asks the entries known so far, where they can be asked, and the seeds, one
// after the other.
func (e *entryChoice) ask(ctx context.Context) (EntryList, error) {
	known := e.seeds
	if e.dialect.AskEntries() {
		e.mu.Lock()
		known = slices.Concat(e.urls, e.seeds)
		e.mu.Unlock()
	}
	var faults []error
	for _, url := range known {
		list, err := e.askOne(ctx, url)
		if err == nil {
			return list, nil
		}
		faults = append(faults, fmt.Errorf("%s: %w", url, err))
	}
	return EntryList{}, trace.Wrap(errors.Join(faults...))
}

func (e *entryChoice) askOne(ctx context.Context, url string) (EntryList, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	var list EntryList
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+e.dialect.ListPath(), http.NoBody)
	if err != nil {
		return list, err
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return list, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return list, fmt.Errorf("status %d", resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxEntriesBody))
	if err != nil {
		return list, err
	}
	list, err = e.dialect.ReadList(body)
	if err == nil && len(list.Addresses) == 0 {
		err = errNoEntry
	}
	return list, err
}
