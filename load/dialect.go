package load

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"savoryreel.example/savoryreel/native"
)

// Dialect is the protocol between callers and a system: it encodes requests and
// decodes lists of entries, refusals and stream events. It only defines names and
// formats; this package decides when requests are sent and how they are counted.
type Dialect interface {
	// ListPath returns the path and query from which the list of entries is fetched.
	ListPath() string
	// ReadList decodes the response body of ListPath.
	ReadList(body []byte) (EntryList, error)
	// EntriesServeList reports whether entries serve the list too. If not, it is fetched
	// from Config.Entries only.
	EntriesServeList() bool
	// NewRequest returns a request to the entry or engine at base, a URL without a path.
	NewRequest(ctx context.Context, base string, p Part, call Call) (*http.Request, error)
	// Refusal returns the outcome of a request that was answered with the given status,
	// which is not a success.
	Refusal(status int, h http.Header) Outcome
	// ReadEvent decodes one event of a stream.
	ReadEvent(event native.Event) (Chunk, error)
	// NeedsEndMark reports whether a stream is complete only after an event with
	// Chunk.End. If not, it is complete when its body ends.
	NeedsEndMark() bool
}

// EntryList is the list of entries that callers use.
type EntryList struct {
	Addresses []string      // host:port
	TTL       time.Duration // how long callers may cache the list
	// Shuffle makes callers try the entries in random order instead of in that of
	// Addresses.
	Shuffle bool
}

// Call identifies one request of a part.
type Call struct {
	RunID string // unique per run
	Index int    // of the request within its part
	// RequestID and LastEventID are used to resume a stream: the request ID from the
	// first answer, and the ID of the last event received. LastEventID is empty if
	// the call does not resume a stream.
	RequestID, LastEventID string
}

// Chunk is the content of one stream event.
type Chunk struct {
	Tokens  []string
	End     bool    // the stream is complete
	Failure Outcome // outcome of a stream that ends with an error; empty: no error
}

// NewRequest returns a request with a body. It hides the type of the body from
// net/http, which would otherwise retry the request when a connection breaks, and
// the failure would not be measured.
func NewRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(body))
	return req, nil
}
