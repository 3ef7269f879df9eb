package fleet

import (
	"context"
	"maps"
	"sync"
	"time"

	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/native"
)

func (m *Manager) notices(ctx context.Context, after uint64) (native.NoticePage, error) {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.Poll+noticeGrace)
	defer cancel()
	return m.deps.Cloud.Notices(ctx, after, m.cfg.Poll)
}

// spread tells all entries of the notices: an entry that sends no more work to a
// server saves it, while an order only lets the server say so itself.
func (m *Manager) spread(notices []native.Notice) {
	for _, n := range notices {
		body, err := noticeOf(n).Encode()
		if err != nil || !m.deps.Now().Before(n.Deadline) {
			continue // over before this leader heard of it
		}
		m.deps.Members.Put(NoticeKey(n.InstanceID), n.Sequence, body)
	}
}

// remind orders the servers to leave that are under notice and still say that
// they serve. It goes by the shared records, so it also finds a server that this
// replica did not know when the notice came, and one that the leader before did
// not reach.
func (m *Manager) remind(ctx context.Context) {
	var serving []*instance.Server
	for _, s := range m.deps.Members.View().AllServers() {
		if s.State == instance.StateServing && m.noticed(s.ID) {
			serving = append(serving, s)
		}
	}
	m.leave(ctx, serving)
}

func (m *Manager) noticed(id string) bool {
	r, known := m.deps.Members.View().Record(NoticeKey(id))
	if !known {
		return false
	}
	n, err := DecodeNotice(r.Body)
	return err == nil && m.deps.Now().Before(n.Ends())
}

// leave orders servers to leave, each once in remindEvery. An order that fails
// has its log line, and comes again.
func (m *Manager) leave(ctx context.Context, serving []*instance.Server) {
	now := m.deps.Now()
	maps.DeleteFunc(m.reminded, func(_ string, at time.Time) bool { return now.Sub(at) >= remindEvery })
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxOrders)
	for _, s := range serving {
		if _, done := m.reminded[s.ID]; done {
			continue
		}
		m.reminded[s.ID] = now
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			_ = m.deps.Orders.Give(ctx, s.Address, native.Order{Kind: native.OrderLeave}) // logged by Give
		})
	}
	wg.Wait()
}
