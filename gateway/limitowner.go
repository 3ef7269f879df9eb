package gateway

import (
	"context"
	"net/netip"
)

// askLimit asks the owner of a workspace's limit to let a request in. asked is false
// where the owner has not answered in time, or is not known.
func (k *bookkeeper) askLimit(ctx context.Context, question limitQuestion) (answer limitAnswer, asked bool) {
	local, owner, known := k.limitOwner(question.Workspace)
	switch {
	case local:
		return k.decide(&question)
	case !known:
		return limitAnswer{}, false
	}
	q, sequence := k.open(1)
	k.wire.send(owner, &message{From: k.self.Name, Life: k.self.Life, Sequence: sequence, Kind: askLimit, Limit: &question})
	q.wait(ctx)
	if told := k.close(sequence).limit; told != nil {
		return *told, true
	}
	return limitAnswer{}, false
}

// tellLimit tells the owner of a workspace's limit what was let in without asking, or
// given back.
func (k *bookkeeper) tellLimit(use limitQuestion) {
	local, owner, known := k.limitOwner(use.Workspace)
	switch {
	case local:
		k.use(&use)
	case known:
		k.wire.send(owner, &message{From: k.self.Name, Life: k.self.Life, Kind: noteUse, Limit: &use})
	}
}

// limitOwner says whether this entry owns a limit, or which other one does, if it can be
// reached.
func (k *bookkeeper) limitOwner(workspace string) (local bool, owner netip.AddrPort, known bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.list(k.now())
	name := k.owners.Of(limitKey(workspace))
	owner, known = k.address[name]
	return name == k.self.Name, owner, known
}

// decide answers for a limit that this entry owns.
func (k *bookkeeper) decide(question *limitQuestion) (answer limitAnswer, known bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.list(k.now())
	if !k.owns(limitKey(question.Workspace)) {
		return limitAnswer{}, false
	}
	b := k.bucket(k.limits, question.Workspace, k.now())
	if b == nil {
		return limitAnswer{}, false
	}
	ok, wait := b.Take(question.Cost, question.Late)
	return limitAnswer{OK: ok, Wait: wait}, true
}

// use takes what was let in without asking, or given back, of a limit that this entry
// owns.
func (k *bookkeeper) use(use *limitQuestion) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.list(k.now())
	if !k.owns(limitKey(use.Workspace)) {
		return
	}
	if b := k.bucket(k.limits, use.Workspace, k.now()); b != nil {
		b.Use(use.Cost)
	}
}

// answerLimit decides for another entry. A limit that is not known here yet goes
// without an answer: that entry decides by itself then.
func (k *bookkeeper) answerLimit(m *message) {
	answer, known := k.decide(m.Limit)
	k.mu.Lock()
	to, reachable := k.address[m.From]
	k.mu.Unlock()
	if known && reachable {
		k.wire.send(to, &message{From: k.self.Name, Life: k.self.Life, Sequence: m.Sequence, Kind: tellLimit, Answer: &answer})
	}
}
