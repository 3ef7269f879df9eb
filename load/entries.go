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
	maxListBytes = 1 << 20 // of the response body
	fetchTimeout = 2 * time.Second
	minListTTL   = 100 * time.Millisecond // avoids one fetch per request if a list has a TTL of 0
)

var errEmptyList = errors.New("the list of entries is empty")

// entryCache fetches the list of entries and caches it for its TTL. Concurrent
// callers share one fetch.
type entryCache struct {
	client   *http.Client
	dialect  Dialect
	seedURLs []string // base URLs

	mu         sync.Mutex
	urls       []string // base URLs; in order of preference unless shuffle is set
	demoted    int      // number of URLs at the end of urls to which a request failed
	shuffle    bool     // callers try the entries in random order
	validUntil time.Time
	fetchDone  chan struct{} // closed when the running fetch has ended; nil: no fetch is running
	fetchErr   error         // of the last fetch
}

func newEntryCache(client *http.Client, dialect Dialect, seedURLs []string) *entryCache {
	return &entryCache{client: client, dialect: dialect, seedURLs: seedURLs}
}

// get returns the base URLs of the entries in the order in which to try them. It
// fetches the list, or waits for a running fetch, if the cached list has expired.
func (e *entryCache) get(ctx context.Context) ([]string, error) {
	for {
		urls, fetchDone, mustFetch := e.current()
		if urls != nil {
			return urls, nil
		}
		if mustFetch {
			list, err := e.fetch(context.WithoutCancel(ctx)) // other callers wait for the result too
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

// current returns the cached list if it is valid. Otherwise it returns the channel
// that is closed when the running fetch ends, and whether the caller must do this fetch.
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

// tryOrder returns the entries in the order in which one caller tries them. If shuffle
// is set, it shuffles all but the demoted entries, which stay last. e.mu must be held.
func (e *entryCache) tryOrder() []string {
	if !e.shuffle {
		return e.urls
	}
	urls := slices.Clone(e.urls)
	reachable := urls[:len(urls)-e.demoted]
	rand.Shuffle(len(reachable), func(i, j int) { reachable[i], reachable[j] = reachable[j], reachable[i] })
	return urls
}

// store stores the result of a fetch and wakes the callers that wait for it.
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

// demote moves a failed entry to the end of the list until the list is fetched again,
// so that later requests try the other entries first.
func (e *entryCache) demote(url string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := slices.Index(e.urls, url)
	if i < 0 || i >= len(e.urls)-e.demoted {
		return
	}
	e.demoted++
	others := slices.Concat(e.urls[:i], e.urls[i+1:]) // a new slice: callers may still iterate over the old one
	e.urls = append(others, url)
}

// expire invalidates the cached list, so that the next request fetches it again.
// It is called when every entry of the list has failed.
func (e *entryCache) expire() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.validUntil = time.Time{}
}

// fetch returns the list from the first source that answers: the cached entries, if
// the dialect's entries serve the list, then the seed URLs.
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
