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
	maxListBytes = 1 << 20
	fetchTimeout = 2 * time.Second
	minListTTL   = 100 * time.Millisecond // so that a list of validity 0 is not asked for per request
)

var errEmptyList = errors.New("the list of entries is empty")

// entryChoice keeps the answer to "which entry to use" for as long as it is
// valid, as a caller does.
type entryCache struct {
	client   *http.Client
	dialect  Dialect
	seedURLs []string // base URLs

	mu         sync.Mutex
	urls       []string // base URLs, best first, or in any order where callers spread
	demoted    int      // of those, the last ones, which could not be reached
	shuffle    bool
	validUntil time.Time
	fetchDone  chan struct{} // closed when the running question is answered; nil: none runs
	fetchErr   error
}

func newEntryCache(client *http.Client, dialect Dialect, seedURLs []string) *entryCache {
	return &entryCache{client: client, dialect: dialect, seedURLs: seedURLs}
}

// get returns the base URLs of the entries to try, best first.
func (e *entryCache) get(ctx context.Context) ([]string, error) {
	for {
		urls, fetchDone, mustFetch := e.current()
		if urls != nil {
			return urls, nil
		}
		if mustFetch {
			list, err := e.fetch(context.WithoutCancel(ctx)) // others wait for the answer too
			e.store(list, err)
			if err != nil {
				return nil, err
			}
			continue
		}
		select {
		case <-fetchDone:
			if err := e.lastFetchError(); err != nil {
				return nil, err
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// current returns the valid list, or the question that runs, and whether it is
// for the caller to ask it.
func (e *entryCache) current() (urls []string, fetchDone chan struct{}, mustFetch bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.validUntil) {
		return e.tryOrder(), nil, false
	}
	if e.fetchDone == nil {
		e.fetchDone = make(chan struct{})
		return nil, e.fetchDone, true
	}
	return nil, e.fetchDone, false
}

// order returns the entries in the order in which one caller tries them. e.mu is held.
func (e *entryCache) tryOrder() []string {
	if !e.shuffle {
		return e.urls
	}
	urls := slices.Clone(e.urls)
	reachable := urls[:len(urls)-e.demoted]
	rand.Shuffle(len(reachable), func(i, j int) { reachable[i], reachable[j] = reachable[j], reachable[i] })
	return urls
}

func (e *entryCache) store(list EntryList, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fetchErr = err
	close(e.fetchDone)
	e.fetchDone = nil
	if err != nil {
		return
	}
	e.urls, e.demoted, e.shuffle = nil, 0, list.Shuffle
	for _, address := range list.Addresses {
		e.urls = append(e.urls, "http://"+address)
	}
	e.validUntil = time.Now().Add(max(list.TTL, minListTTL))
}

func (e *entryCache) lastFetchError() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fetchErr
}

// demote puts an entry that failed behind the others for as long as the list
// is valid, so that not every request pays for it once more.
func (e *entryCache) demote(url string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := slices.Index(e.urls, url)
	if i < 0 || i >= len(e.urls)-e.demoted {
		return
	}
	e.demoted++
	others := slices.Concat(e.urls[:i], e.urls[i+1:]) // a new list: callers hold the old one
	e.urls = append(others, url)
}

// expire makes the next request ask again, because every entry of the list failed.
func (e *entryCache) expire() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.validUntil = time.Time{}
}

// ask asks the entries known so far, where they can be asked, and the seeds, one
// after the other.
func (e *entryCache) fetch(ctx context.Context) (EntryList, error) {
	sources := e.seedURLs
	if e.dialect.EntriesServeList() {
		e.mu.Lock()
		sources = slices.Concat(e.urls, e.seedURLs)
		e.mu.Unlock()
	}
	var errs []error
	for _, url := range sources {
		list, err := e.fetchFrom(ctx, url)
		if err == nil {
			return list, nil
		}
		errs = append(errs, fmt.Errorf("%s: %w", url, err))
	}
	return EntryList{}, trace.Wrap(errors.Join(errs...))
}

func (e *entryCache) fetchFrom(ctx context.Context, url string) (EntryList, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return list, err
	}
	list, err = e.dialect.ReadList(body)
	if err == nil && len(list.Addresses) == 0 {
		err = errEmptyList
	}
	return list, err
}
