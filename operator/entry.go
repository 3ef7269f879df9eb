package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"savoryreel.example/savoryreel/entry"
)

// EntryStatus returns the status of the entry at an operations address (host:port). The
// status of an entry that does not answer has the address as ID, and Error set.
func EntryStatus(ctx context.Context, address string) entry.StatusView {
	v, err := entryStatus(ctx, address)
	if err != nil {
		return entry.StatusView{ID: address, Error: err.Error()}
	}
	return v
}

func entryStatus(ctx context.Context, address string) (entry.StatusView, error) {
	var v entry.StatusView
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/status", nil)
	if err != nil {
		return v, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return v, err
	}
	defer resp.Body.Close()
	return v, json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(&v)
}
