package fake

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/native"
)

var errNoHandle = errors.New("the other engine holds no such handle")

// serveExport returns a handle to the KV cache of a running or ended request.
func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	handle, record, ok := e.kv.export(r.URL.Query().Get("request"))
	if !ok {
		writeJSON(w, http.StatusNotFound, native.Problem{Code: "request_not_found"})
		return
	}
	writeJSON(w, http.StatusOK, e.exportReply(handle, record))
}

func (e *Engine) exportReply(handle string, r kvRecord) native.ExportReply {
	return native.ExportReply{
		Handle: handle,
		Bytes:  int64(r.total()) * e.cfg.KVPerToken,
		Tokens: r.total(),
	}
}

// serveFetch returns the record of a handle to another engine.
func (e *Engine) serveFetch(w http.ResponseWriter, r *http.Request) {
	record, ok := e.kv.get(r.PathValue("handle"))
	if !ok {
		writeJSON(w, http.StatusNotFound, native.Problem{Code: "handle_not_found"})
		return
	}
	writeJSON(w, http.StatusOK, record)
}

// serveImport fetches a record and sleeps for the simulated transfer time. It
// fetches the record again afterwards, so that the import fails if the sender
// ends during the transfer.
func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var req native.ImportRequest
	if !readJSON(w, r, maxSmallBodyBytes, &req) {
		return
	}
	record, err := e.fetchKV(r.Context(), req)
	if err == nil {
		err = e.simulateWork(r.Context(), e.transferTime(record))
	}
	if err == nil {
		record, err = e.fetchKV(r.Context(), req)
	}
	if err != nil {
		writeJSON(w, http.StatusBadGateway, native.Problem{Code: "import_failed", Detail: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, e.exportReply(e.kv.addImported(record), record))
}

func (e *Engine) transferTime(r kvRecord) time.Duration {
	bytes := float64(int64(r.total()) * e.cfg.KVPerToken)
	return time.Duration(bytes / float64(e.cfg.KVRate) * float64(time.Second))
}

func (e *Engine) fetchKV(ctx context.Context, from native.ImportRequest) (kvRecord, error) {
	url := "http://" + from.From + native.PathKVFetch + from.Handle
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return kvRecord{}, err
	}
	resp, err := e.deps.Client.Do(req)
	if err != nil {
		return kvRecord{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return kvRecord{}, errNoHandle
	}
	var record kvRecord
	err = json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxSmallBodyBytes)).Decode(&record)
	return record, err
}

// pushEvents sends the cache events to the announcer's current entry every
// EventDelay until ctx ends, with gaps as configured. Events are not resent after
// an error: a receiver that detects the gap fetches the listing.
func (e *Engine) pushEvents(ctx context.Context) error {
	if len(e.cfg.Announcing.Entries) == 0 {
		<-ctx.Done()
		return nil
	}
	ticker := time.NewTicker(e.cfg.EventDelay)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		events := dropEveryNth(e.cache.drain(), e.cfg.EventGap)
		if len(events) > 0 && e.faults.waitThawed(ctx) == nil {
			e.postEvents(ctx, events)
		}
	}
}

func (e *Engine) postEvents(ctx context.Context, events []instance.CacheEvent) {
	body, err := json.Marshal(native.CacheEventBatch{Incarnation: e.cfg.Incarnation, Events: events})
	if err != nil {
		e.deps.Log.Error("cache events cannot be encoded", "error", err)
		return
	}
	path := native.PathAnnounce + "/" + e.cfg.ID + native.PathCacheEvents
	if err := e.announcer.post(ctx, path, body); err != nil {
		e.deps.Log.Debug("cache events not delivered", "error", err)
	}
}

// dropEveryNth drops the events whose sequence number is a multiple of n, in
// place; none if n is 0 or less.
func dropEveryNth(events []instance.CacheEvent, n int) []instance.CacheEvent {
	if n <= 0 {
		return events
	}
	remaining := events[:0]
	for _, event := range events {
		if event.Sequence%uint64(n) != 0 {
			remaining = append(remaining, event)
		}
	}
	return remaining
}
