package request

import (
	"context"
	"sync"
)

// Journal holds the answer to one chat request as it grows: its tokens in
// order, and at last how it ended. One goroutine appends; any number read, each
// from any position, so that a caller that comes back goes on where it was and
// an answer survives its first caller's connection.
type Journal struct {
	mu      sync.Mutex
	tokens  []string
	end     *End
	changed chan struct{} // closed and replaced at each change
}

// End is how an answer ended: whole, with a problem, or by moving to another
// entry.
type End struct {
	Finish     string   `msgpack:"f"` // finish reason of a whole answer
	Prompt     int      `msgpack:"p"` // prompt tokens
	Cached     int      `msgpack:"c"` // prompt tokens from a prefix cache
	Recomputed int      `msgpack:"r"` // tokens prefilled again after a resume
	MovedTo    string   `msgpack:"m"` // the answer goes on at the entry with this caller address
	Problem    *Problem `msgpack:"-"` // nil: whole or moved
}

// NewJournal returns a journal that begins with tokens received from another
// entry; none for a new request.
func NewJournal(tokens []string) *Journal {
	return &Journal{tokens: tokens, changed: make(chan struct{})}
}

// Append adds one token. After Finish it does nothing: a token that comes in
// late from an attempt already given up is not part of the answer.
func (j *Journal) Append(token string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.end != nil {
		return
	}
	j.tokens = append(j.tokens, token)
	j.notifyReaders()
}

// Finish ends the answer. Only the first call counts.
func (j *Journal) Finish(e End) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.end != nil {
		return
	}
	j.end = &e
	j.notifyReaders()
}

func (j *Journal) notifyReaders() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// Tokens returns the tokens so far. The slice is not changed later.
func (j *Journal) Tokens() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.tokens[:len(j.tokens):len(j.tokens)]
}

// Ended returns how the answer ended, or nil while it goes on.
func (j *Journal) Ended() *End {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.end
}

// Next returns the tokens from position from on, waiting until there is one or
// the answer has ended. With tokens it returns no end, even if there is one: a
// reader asks again. It returns ctx's error when ctx ends first.
func (j *Journal) Next(ctx context.Context, position int) ([]string, *End, error) {
	for {
		tokens, end, changed := j.readFrom(position)
		if len(tokens) > 0 {
			return tokens, nil, nil
		}
		if end != nil {
			return nil, end, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		}
	}
}

func (j *Journal) readFrom(position int) ([]string, *End, <-chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if position > len(j.tokens) {
		position = len(j.tokens)
	}
	return j.tokens[position:len(j.tokens):len(j.tokens)], j.end, j.changed
}
