// Package operator is a client of the control replicas' HTTP API for operators. It reads and
// changes the catalogue, the planned stops and the set of replicas, and reads the status of
// replicas and entries.
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

// attemptTimeout is the timeout of one call to one replica. It is longer than the replica's
// own timeout, so that the replica can still report the outcome.
const attemptTimeout = 7 * time.Second

// maxReplyBytes is the limit on the body of a response.
const maxReplyBytes = 64 << 20

// Client calls the control replicas. It is safe for concurrent use.
type Client struct {
	addresses []string // of the replicas' operator APIs
	key       string
	http      *http.Client
}

// New returns a Client of the replicas at these operator addresses (host:port). key is the
// operators' bearer key.
func New(addresses []string, key string) *Client {
	return &Client{addresses: addresses, key: key, http: &http.Client{Timeout: attemptTimeout}}
}

// RefusedError is returned for a call that a control replica has refused.
type RefusedError struct {
	Status  int
	Problem request.Problem
	Result  contract.Result // for a refused change; otherwise its Code is empty
}

// Error returns the reason and, for a conflict, the change that was applied instead.
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

// History returns the latest n changes, latest first.
func (c *Client) History(ctx context.Context, n int) ([]contract.Entry, error) {
	var v []contract.Entry
	return v, c.get(ctx, "/v1/history?n="+strconv.Itoa(n), &v)
}

// Stops returns the planned stops in force.
func (c *Client) Stops(ctx context.Context) ([]contract.Stop, error) {
	var v []contract.Stop
	return v, c.get(ctx, "/v1/stops", &v)
}

// Apply replaces the catalogue by doc, which was made from version base. It sends the change
// to the next replica when one fails, under the same change id, so that the change is applied
// at most once.
func (c *Client) Apply(ctx context.Context, doc []byte, base uint64) (contract.Result, error) {
	return c.change(ctx, http.MethodPut, "/v1/catalogue", doc, base)
}

// PlanStop adds a planned stop. Like Apply, it is applied at most once.
func (c *Client) PlanStop(ctx context.Context, s contract.Stop) (contract.Result, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return contract.Result{}, trace.Wrap(err)
	}
	return c.change(ctx, http.MethodPost, "/v1/stops", body, 0)
}

// CancelStop cancels the planned stop with this id.
func (c *Client) CancelStop(ctx context.Context, id string) (contract.Result, error) {
	return c.change(ctx, http.MethodDelete, "/v1/stops/"+url.PathEscape(id), nil, 0)
}

// Replicas returns the status of each replica. The status of a replica that does not answer
// has its address as ID, and Error set.
func (c *Client) Replicas(ctx context.Context) []api.ReplicaStatus {
	out := make([]api.ReplicaStatus, len(c.addresses))
	for i, addr := range c.addresses {
		if err := c.call(ctx, addr, http.MethodGet, "/v1/replica", nil, nil, &out[i]); err != nil {
			out[i] = api.ReplicaStatus{ID: addr, Error: err.Error()}
		}
	}
	return out
}

// ChangeReplicas adds, promotes or removes one control replica and returns the leader's
// status. The call may be repeated if its outcome is unknown.
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

// change sends a change to the replicas with tryReplicas, under one change id.
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

// tryReplicas calls attempt for one replica after the other until one gives a final answer.
// A refusal is final; a failed call and status 503 (no leader) are not. It returns the last
// error.
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

// refusal returns a *RefusedError from the body, which is either a problem document or the
// result of a change.
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

// operatorName returns the name of the user who runs this process, for the history of
// changes.
func operatorName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}
