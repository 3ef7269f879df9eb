package load

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"savoryreel.example/savoryreel/native"
)

// Dialect is how callers ask for entries, put requests to them and read what comes
// back. It holds names and formats; what is sent when, and what counts as what, is
// decided here.
type Dialect interface {
	// ListPath is the path, with its query, at which an address is asked which entries
	// to use.
	ListPath() string
	ReadList(body []byte) (EntryList, error)
	// EntriesServeList reports whether entries can be asked too, and not only the addresses
	// that callers are given.
	EntriesServeList() bool
	// NewRequest returns a request to the entry or engine at base, a URL without path.
	NewRequest(ctx context.Context, base string, p Part, call Call) (*http.Request, error)
	// Refusal says how a request ended whose answer is no success.
	Refusal(status int, h http.Header) Outcome
	// ReadEvent reads one event of a stream.
	ReadEvent(event native.Event) (Chunk, error)
	// NeedsEndMark reports whether a stream is whole only with a last event that says so,
	// and not once its body has come to its end.
	NeedsEndMark() bool
}

// EntryList is the answer to which entries to use.
type EntryList struct {
	Addresses []string // host:port
	TTL       time.Duration
	// Spread says that callers take any of them at random, and not the first that
	// they can reach.
	Shuffle bool
}

// Call is what tells one request of a part from the others.
type Call struct {
	RunID string // of the run
	Index int    // of the request in the run
	// RequestID and LastID are set where a stream is taken up again: the id that the
	// first answer named, and that of the last event that came.
	RequestID, LastEventID string
}

// Chunk is what one event of a stream brings.
type Chunk struct {
	Tokens  []string
	End     bool    // the stream is whole
	Failure Outcome // the stream ends without being whole; empty: it does not
}

// NewRequest returns a request with a body. It hides the body's type from net/http,
// which would otherwise repeat a request on its own when a connection breaks: a run
// is to count what breaks.
func NewRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(body))
	return req, nil
}
