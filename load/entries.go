package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

const (
	pathEntries    = "/v1/entries"
	maxEntriesBody = 1 << 20
	listTimeout    = 2 * time.Second
	minValidity    = 100 * time.Millisecond // so that a list of validity 0 is not asked for per request
)

var errNoEntry = errors.New("the list of entries is empty")

// entryList is the reply of GET /v1/entries.
type entryList struct {
	Entries []struct {
		ID      string `json:"id"`
		Address string `json:"address"` // host:port
		Zone    string `json:"zone"`
	} `json:"entries"`
	ValidSeconds float64 `json:"validSeconds"`
}

// entryChoice keeps the answer to "which entry to use" for as long as it is
// valid, as a caller does.
type entryChoice struct {
	client *http.Client
	seeds  []string // base URLs

	mu     sync.Mutex
	urls   []string // base URLs, best first
	until  time.Time
	asking chan struct{} // closed when the running question is answered; nil: none runs
	askErr error
}

func newEntryChoice(client *http.Client, seeds []string) *entryChoice {
	return &entryChoice{client: client, seeds: seeds}
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
		return e.urls, nil, false
	}
	if e.asking == nil {
		e.asking = make(chan struct{})
		return nil, e.asking, true
	}
	return nil, e.asking, false
}

func (e *entryChoice) answer(list entryList, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.askErr = err
	close(e.asking)
	e.asking = nil
	if err != nil {
		return
	}
	e.urls = nil
	for _, entry := range list.Entries {
		e.urls = append(e.urls, "http://"+entry.Address)
	}
	validity := time.Duration(list.ValidSeconds * float64(time.Second))
	e.until = time.Now().Add(max(validity, minValidity))
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
	if i < 0 {
		return
	}
	rest := slices.Concat(e.urls[:i], e.urls[i+1:]) // a new list: callers hold the old one
	e.urls = append(rest, url)
}

// expire makes the next request ask again, because every entry of the list failed.
func (e *entryChoice) expire() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.until = time.Time{}
}

// ask asks the entries known so far and the seeds, one after the other.
func (e *entryChoice) ask(ctx context.Context) (entryList, error) {
	e.mu.Lock()
	known := slices.Concat(e.urls, e.seeds)
	e.mu.Unlock()
	var faults []error
	for _, url := range known {
		list, err := e.askOne(ctx, url)
		if err == nil {
			return list, nil
		}
		faults = append(faults, fmt.Errorf("%s: %w", url, err))
	}
	return entryList{}, trace.Wrap(errors.Join(faults...))
}

func (e *entryChoice) askOne(ctx context.Context, url string) (entryList, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	var list entryList
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+pathEntries, http.NoBody)
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
	err = json.NewDecoder(io.LimitReader(resp.Body, maxEntriesBody)).Decode(&list)
	if err == nil && len(list.Entries) == 0 {
		err = errNoEntry
	}
	return list, err
}
