package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
)

// attempt is one request of a client.
type attempt struct {
	sentAt time.Time
	id     string
	status int // 0: no answer
	served bool
	detail string
}

// clients send requests at a steady rate to the entries that the directory names.
type clients struct {
	s    *site
	stop chan struct{}
	wg   sync.WaitGroup

	mu       sync.Mutex
	entries  []string
	attempts []attempt
}

// resolveInterval is how long clients keep an answer of the directory.
const resolveInterval = 2 * time.Second

// startClients starts clients that send n requests a second, with the keys in turn.
func (s *site) startClients(perSecond int, keys []string, path string) *clients {
	c := &clients{s: s, stop: make(chan struct{}), entries: s.resolve()}
	c.wg.Go(func() {
		for c.wait(resolveInterval) {
			if list := s.resolve(); len(list) > 0 {
				c.mu.Lock()
				c.entries = list
				c.mu.Unlock()
			}
		}
	})
	c.wg.Go(func() {
		for i := 0; c.wait(time.Second / time.Duration(perSecond)); i++ {
			key := keys[i%len(keys)]
			c.wg.Go(func() { c.send(key, path) })
		}
	})
	return c
}

func (c *clients) wait(d time.Duration) bool {
	select {
	case <-c.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// send sends one request on a new connection and records how it ended.
func (c *clients) send(key, path string) {
	c.mu.Lock()
	entry := ""
	if len(c.entries) > 0 {
		entry = c.entries[rand.IntN(len(c.entries))]
	}
	c.mu.Unlock()
	a := attempt{sentAt: time.Now(), id: uuid.NewString()}
	a.status, a.served, a.detail = call(entry, key, path, a.id)
	c.mu.Lock()
	c.attempts = append(c.attempts, a)
	c.mu.Unlock()
	c.s.log("request %s at %s sent %.3f: %d served=%t %s", a.id, entry, a.sentAt.Sub(c.s.began).Seconds(), a.status, a.served, a.detail)
}

const clientDeadline = 2 * time.Second

func call(entry, key, path, id string) (status int, served bool, detail string) {
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+path, nil)
	if err != nil {
		return 0, false, err.Error()
	}
	req.Host = clientHost
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(clientDeadline.Milliseconds()))
	req.Header.Set("Authorization", "Token "+key)
	resp, err := noReuse.RoundTrip(req)
	if err != nil {
		return 0, false, err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, false, err.Error()
	}
	served = resp.StatusCode == http.StatusOK && resp.Header.Get("X-Server-Stamp") != ""
	if !served {
		detail = strings.TrimSpace(string(text))
	}
	return resp.StatusCode, served, detail
}

// end stops the clients and waits for their answers.
func (c *clients) end() {
	close(c.stop)
	c.wg.Wait()
}

// servedBetween counts the requests that were sent in a span of time, and those that were served.
func (c *clients) servedBetween(from, to time.Time) (sent, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.attempts {
		if a.sentAt.Before(from) || !a.sentAt.Before(to) {
			continue
		}
		sent++
		if a.served {
			served++
		}
	}
	return sent, served
}
