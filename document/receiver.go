package document

import "errors"

// MaxContentBytes bounds a document.
const MaxContentBytes = 16 << 20

// Receiver assembles the versions of a document from their parts. It is not safe for concurrent
// use.
type Receiver struct {
	held    bool
	base    Version
	content []byte // of base

	transfer *transfer // in progress
	whole    bool      // no difference is asked for, since the last one failed
}

// transfer is what has arrived of a version.
type transfer struct {
	target     Version
	difference bool
	size       int
	data       []byte
}

// Held returns the version that was received last; ok is false before the first.
func (r *Receiver) Held() (v Version, ok bool) { return r.base, r.held }

// Received returns how many bytes of the transfer in progress have arrived.
func (r *Receiver) Received() int {
	if r.transfer == nil {
		return 0
	}
	return len(r.transfer.data)
}

// Request returns the request for the next part of at most maxBytes.
func (r *Receiver) Request(maxBytes int) Request {
	req := Request{HasBase: r.held, Base: r.base, MaxBytes: maxBytes, Whole: r.whole}
	if t := r.transfer; t != nil {
		req.Continues, req.Target, req.Difference, req.Offset = true, t.target, t.difference, len(t.data)
	}
	return req
}

// errPart reports a part that does not fit its request.
var errPart = errors.New("part does not fit the transfer")

// Accept takes the response to the last Request. It returns the content of a version that is now
// complete, and its revision. After StatusUnknown or an error the next request starts a transfer
// anew.
func (r *Receiver) Accept(p *Part) (revision uint64, content []byte, done bool, err error) {
	switch p.Status {
	case StatusPart:
	case StatusNone:
		return 0, nil, false, nil
	default:
		r.transfer = nil
		return 0, nil, false, nil
	}
	if err := r.add(p); err != nil {
		r.transfer = nil
		return 0, nil, false, err
	}
	t := r.transfer
	if len(t.data) < t.size {
		return 0, nil, false, nil
	}
	r.transfer = nil
	content, err = r.assemble(t)
	if err != nil {
		r.whole = true
		return 0, nil, false, err
	}
	r.held, r.base, r.content, r.whole = true, t.target, content, false
	return t.target.Revision, content, true, nil
}

// add adds a part to the transfer in progress, or begins one.
func (r *Receiver) add(p *Part) error {
	if r.transfer == nil {
		if p.Offset != 0 || p.Size < 0 || p.Size > MaxContentBytes || p.Difference && (!r.held || r.whole) {
			return errPart
		}
		r.transfer = &transfer{target: p.Target, difference: p.Difference, size: p.Size}
	}
	t := r.transfer
	fits := p.Target == t.target && p.Difference == t.difference && p.Size == t.size && p.Offset == len(t.data)
	if !fits || len(p.Data) > t.size-len(t.data) || len(p.Data) == 0 && len(t.data) < t.size {
		return errPart
	}
	t.data = append(t.data, p.Data...)
	return nil
}

// assemble returns the content of a complete transfer.
func (r *Receiver) assemble(t *transfer) ([]byte, error) {
	content := t.data
	if t.difference {
		var err error
		if content, err = Apply(r.content, t.data, MaxContentBytes); err != nil {
			return nil, err
		}
	}
	if VersionOf(t.target.Revision, content) != t.target {
		return nil, errors.New("content does not have the checksum of its version")
	}
	return content, nil
}
