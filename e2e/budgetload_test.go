package e2e

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"savoryreel.example/savoryreel/platform/standin"
)

// budgetMaxServers is max_attempts of the routes of a standin.Catalogue.
const budgetMaxServers = 2

// budgetCaller sends requests to one entry at a rate, each at its time whatever became of
// those before. It keeps connections open and goes on using them until the process is gone.
type budgetCaller struct {
	audit   *budgetAudit
	entry   string
	client  *http.Client
	path    func() string
	service func(path string) string
	timeout time.Duration

	perSecond atomic.Int64
	answered  atomic.Int64
	failed    atomic.Int64
	requests  sync.WaitGroup
}

func newBudgetCaller(audit *budgetAudit, entry string, path func() string) *budgetCaller {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 64, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true,
	}
	return &budgetCaller{
		audit: audit, entry: entry, client: &http.Client{Transport: transport}, path: path,
		service: func(string) string { return "web" }, timeout: 2 * time.Second,
	}
}

// run sends requests until ctx ends, and returns once all have ended.
func (c *budgetCaller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	defer c.requests.Wait()
	due := 0.0
	last := time.Now()
	for ctx.Err() == nil {
		time.Sleep(2 * time.Millisecond)
		now := time.Now()
		due += now.Sub(last).Seconds() * float64(c.perSecond.Load())
		last = now
		for ; due >= 1; due-- {
			path := c.path()
			c.requests.Go(func() { c.send(path) })
		}
	}
}

// send sends one request and reads its answer.
func (c *budgetCaller) send(path string) {
	if c.outcome(path) == http.StatusText(http.StatusOK) {
		c.answered.Add(1)
	} else {
		c.failed.Add(1)
	}
}

// outcome sends one request, reads its answer and returns how it ended: the text of its status, or
// what failed.
func (c *budgetCaller) outcome(path string) string { return c.outcomeWithParts(path, "") }

// outcomeWithParts is outcome of a request whose prompt has parts.
func (c *budgetCaller) outcomeWithParts(path, parts string) string {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	id := uuid.NewString()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.entry+path, strings.NewReader("body"))
	if err != nil {
		return "request"
	}
	req.GetBody = nil // the transport must not send a request twice
	req.Host = standin.Host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.Itoa(int(c.timeout.Milliseconds())))
	req.Header.Set("Authorization", "Token "+platformKey)
	if parts != "" {
		standin.SetPromptParts(req.Header, parts)
	}
	c.audit.recordSent(id, sentRequest{service: c.service(path), at: time.Now(), timeout: c.timeout, maxServers: budgetMaxServers})
	resp, err := c.client.Do(req)
	switch {
	case err != nil && ctx.Err() != nil:
		return "deadline"
	case err != nil:
		return "connection"
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "answer broken off"
	}
	return http.StatusText(resp.StatusCode)
}
