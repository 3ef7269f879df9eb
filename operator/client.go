// Package operator is the operators' client: it reads and changes the catalogue
// and the planned stops over a control replica's HTTP API.
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os/user"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"savoryreel.example/savoryreel/contract"
	"savoryreel.example/savoryreel/control/api"
	"savoryreel.example/savoryreel/request"
)

// attemptTimeout bounds one call of one replica; it is above the replica's own
// bound, so that the replica's word on the outcome arrives.
const attemptTimeout = 7 * time.Second

// maxReply bounds an answer: a catalogue and its history fit many times.
const maxReplyBytes = 64 << 20

// Client calls control replicas. It is safe for concurrent use.
type Client struct {
	addresses []string // of the replicas' operator APIs
	key       string
	http      *http.Client
}

// New returns a client of the replicas at these operator addresses.
func New(addresses []string, key string) *Client {
	return &Client{addresses: addresses, key: key, http: &http.Client{Timeout: attemptTimeout}}
}

// RefusedError is an operator's call that control refused.
type RefusedError struct {
	Status  int
	Problem request.Problem
	Result  contract.Result // of a change; its Code is empty otherwise
}

// Error tells the reason and, for a conflict, which change won.
func (e *RefusedError) Error() string {
	if e.Result.Code == "" {
		return fmt.Sprintf("%s: %s", e.Problem.Code, e.Problem.Detail)
	}
	s := fmt.Sprintf("%s: %s", e.Result.Code, e.Result.Reason)
	if w := e.Result.Winner; w != nil {
		s += fmt.Sprintf("\nversion %d was taken by %s at %s:", w.Version, w.By, w.At.Format(time.RFC3339))
		for _, line := range w.Summary {
			s += "\n  " + line
		}
	}
	return s
}

// Catalogue returns the catalogue in force and its version.
func (c *Client) Catalogue(ctx context.Context) (api.CatalogueView, error) {
	var v api.CatalogueView
	return v, c.get(ctx, "/v1/catalogue", &v)
}

// History returns the newest n changes, newest first.
func (c *Client) History(ctx context.Context, n int) ([]contract.Entry, error) {
	var v []contract.Entry
	return v, c.get(ctx, "/v1/history?n="+strconv.Itoa(n), &v)
}

// Stops returns the planned stops in force.
func (c *Client) Stops(ctx context.Context) ([]contract.Stop, error) {
	var v []contract.Stop
	return v, c.get(ctx, "/v1/stops", &v)
}

// Apply replaces the catalogue, made against version base. It is resent after a
// lost answer under the same change id, so it takes hold at most once.
func (c *Client) Apply(ctx context.Context, doc []byte, base uint64) (contract.Result, error) {
	return c.change(ctx, http.MethodPut, "/v1/catalogue", doc, base)
}

// PlanStop plans a stop.
func (c *Client) PlanStop(ctx context.Context, s contract.Stop) (contract.Result, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return contract.Result{}, trace.Wrap(err)
	}
	return c.change(ctx, http.MethodPost, "/v1/stops", body, 0)
}

// CancelStop cancels a planned stop.
func (c *Client) CancelStop(ctx context.Context, id string) (contract.Result, error) {
	return c.change(ctx, http.MethodDelete, "/v1/stops/"+url.PathEscape(id), nil, 0)
}

// Replicas asks each replica for its own state; one that does not answer is
// shown with its error.
func (c *Client) Replicas(ctx context.Context) []api.ReplicaStatus {
	out := make([]api.ReplicaStatus, len(c.addresses))
	for i, addr := range c.addresses {
		if err := c.call(ctx, addr, http.MethodGet, "/v1/replica", nil, nil, &out[i]); err != nil {
			out[i] = api.ReplicaStatus{ID: addr, Error: err.Error()}
		}
	}
	return out
}

// ChangeReplicas changes the set of control replicas by one and returns the
// leader's state. The same change may be made again after a lost answer.
func (c *Client) ChangeReplicas(ctx context.Context, ch api.ReplicaChange) (api.ReplicaStatus, error) {
	var v api.ReplicaStatus
	body, err := json.Marshal(ch)
	if err != nil {
		return v, trace.Wrap(err)
	}
	err = c.tryReplicas(func(addr string) error {
		return c.call(ctx, addr, http.MethodPost, "/v1/replicas", nil, body, &v)
	})
	return v, err
}

func (c *Client) get(ctx context.Context, path string, dst any) error {
	return c.tryReplicas(func(addr string) error {
		return c.call(ctx, addr, http.MethodGet, path, nil, nil, dst)
	})
}

// change sends one change under one id, to one replica after the other until
// one answers.
func (c *Client) change(ctx context.Context, method, path string, body []byte, base uint64) (contract.Result, error) {
	var result contract.Result
	h := http.Header{}
	h.Set(api.HeaderChangeID, uuid.NewString())
	h.Set(api.HeaderBase, strconv.FormatUint(base, 10))
	h.Set(api.HeaderOperator, operatorName())
	err := c.tryReplicas(func(addr string) error {
		return c.call(ctx, addr, method, path, h, body, &result)
	})
	return result, err
}

// eachUntil tries the replicas in order until one answers for good: a refusal
// is an answer, a replica out of reach or without a leader is not.
func (c *Client) tryReplicas(attempt func(addr string) error) error {
	var err error
	for _, addr := range c.addresses {
		err = attempt(addr)
		var refused *RefusedError
		if err == nil || errors.As(err, &refused) && refused.Status != http.StatusServiceUnavailable {
			return err
		}
	}
	return err
}

func (c *Client) call(ctx context.Context, addr, method, path string, h http.Header, body []byte, dst any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err, "step=build call peer=%s", addr)
	}
	if h != nil {
		req.Header = h.Clone()
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	resp, err := c.http.Do(req)
	if err != nil {
		return trace.Wrap(err, "step=call control peer=%s", addr)
	}
	defer resp.Body.Close()
	reply, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return trace.Wrap(err, "step=read answer peer=%s", addr)
	}
	if resp.StatusCode != http.StatusOK {
		return refusal(resp, reply)
	}
	return trace.Wrap(json.Unmarshal(reply, dst), "step=decode answer peer=%s", addr)
}

// refusal decodes either shape of a refusal: a problem document, or the result
// of a change.
func refusal(resp *http.Response, body []byte) error {
	e := &RefusedError{Status: resp.StatusCode}
	var err error
	if resp.Header.Get("Content-Type") == "application/problem+json" {
		err = json.Unmarshal(body, &e.Problem)
	} else {
		err = json.Unmarshal(body, &e.Result)
	}
	if err != nil {
		e.Problem.Code, e.Problem.Detail = request.CodeInternal, resp.Status
	}
	return e
}

// operatorName is who made a change, for the history.
func operatorName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}
