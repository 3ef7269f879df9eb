package fleet

import (
	"context"
	"maps"
	"sync"
	"time"

	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/native"
)

func (m *Manager) readNotices(ctx context.Context, after uint64) (native.NoticePage, error) {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.PollTimeout+noticeGrace)
	defer cancel()
	return m.deps.Cloud.Notices(ctx, after, m.cfg.PollTimeout)
}

// publishNotices tells all entries of the notices: an entry that sends no more work to a
// server saves it, while an order only lets the server say so itself.
func (m *Manager) publishNotices(notices []native.Notice) {
	for _, n := range notices {
		body, err := newNotice(n).Encode()
		if err != nil || !m.deps.Now().Before(n.Deadline) {
			continue // over before this leader heard of it
		}
		m.deps.Members.Put(NoticeKey(n.InstanceID), n.Sequence, body)
	}
}

// orderNoticedToLeave orders the servers to leave that are under notice and still say that
// they serve. It goes by the shared records, so it also finds a server that this
// replica did not know when the notice came, and one that the leader before did
// not reach.
func (m *Manager) orderNoticedToLeave(ctx context.Context) {
	var serving []*instance.Server
	for _, s := range m.deps.Members.View().AllServers() {
		if s.State == instance.StateServing && m.hasNotice(s.ID) {
			serving = append(serving, s)
		}
	}
	m.orderToLeave(ctx, serving)
}

func (m *Manager) hasNotice(id string) bool {
	r, known := m.deps.Members.View().Record(NoticeKey(id))
	if !known {
		return false
	}
	n, err := DecodeNotice(r.Body)
	return err == nil && m.deps.Now().Before(n.Ends())
}

// orderToLeave orders servers to orderToLeave, each once in remindEvery. An order that fails
// has its log line, and comes again.
func (m *Manager) orderToLeave(ctx context.Context, serving []*instance.Server) {
	now := m.deps.Now()
	maps.DeleteFunc(m.lastLeaveOrders, func(_ string, at time.Time) bool { return now.Sub(at) >= leaveOrderInterval })
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentOrders)
	for _, s := range serving {
		if _, recent := m.lastLeaveOrders[s.ID]; recent {
			continue
		}
		m.lastLeaveOrders[s.ID] = now
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			_ = m.deps.Orders.Send(ctx, s.Address, native.Order{Kind: native.OrderLeave}) // logged by Give
		})
	}
	wg.Wait()
}
