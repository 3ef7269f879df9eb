package request

import (
	"context"
	"sync"
)

// Journal buffers the answer to one chat request: its tokens in order, and how it
// ended. Any number of goroutines may read it, each from its own position, while
// one appends. A caller that reconnects can thus continue where it stopped.
type Journal struct {
	mu      sync.Mutex
	tokens  []string
	end     *End
	changed chan struct{} // closed and replaced at each change
}

// End describes how an answer ended: complete, with a problem, or by moving to
// another entry.
type End struct {
	Finish     string   `msgpack:"f"` // finish reason of a complete answer
	Prompt     int      `msgpack:"p"` // prompt tokens
	Cached     int      `msgpack:"c"` // prompt tokens from a prefix cache
	Recomputed int      `msgpack:"r"` // tokens prefilled again after a resume
	MovedTo    string   `msgpack:"m"` // caller address of the entry that continues the answer
	Problem    *Problem `msgpack:"-"` // nil: complete or moved
}

// NewJournal returns a journal that starts with tokens received from another
// entry; nil for a new request. It takes ownership of the slice.
func NewJournal(tokens []string) *Journal {
	return &Journal{tokens: tokens, changed: make(chan struct{})}
}

// Append adds one token. After Finish it does nothing, since the token comes from
// an abandoned attempt and is not part of the answer.
func (j *Journal) Append(token string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.end != nil {
		return
	}
	j.tokens = append(j.tokens, token)
	j.notifyReaders()
}

// Finish ends the answer. Calls after the first have no effect.
func (j *Journal) Finish(e End) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.end != nil {
		return
	}
	j.end = &e
	j.notifyReaders()
}

// notifyReaders wakes all readers that wait in Next. The caller holds j.mu.
func (j *Journal) notifyReaders() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// Tokens returns the tokens so far. The caller must not modify them; later tokens
// do not appear in the returned slice.
func (j *Journal) Tokens() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.tokens[:len(j.tokens):len(j.tokens)]
}

// Ended returns how the answer ended, or nil if it has not.
func (j *Journal) Ended() *End {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.end
}

// Next returns the tokens from position on. It waits until there is at least one
// or the answer has ended. It returns the end only if there are no more tokens,
// so a reader calls it until then. If ctx ends first, it returns ctx.Err().
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

// readFrom returns the tokens from position on, the end, and a channel that is
// closed at the next change.
func (j *Journal) readFrom(position int) ([]string, *End, <-chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if position > len(j.tokens) {
		position = len(j.tokens)
	}
	return j.tokens[position:len(j.tokens):len(j.tokens)], j.end, j.changed
}
