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

// publishNotices writes the notices to the shared membership records, so that
// entries send no more requests to these servers. A leave order alone depends on
// the server to announce that it is leaving.
func (m *Manager) publishNotices(notices []native.Notice) {
	for _, n := range notices {
		body, err := newNotice(n).Encode()
		if err != nil || !m.deps.Now().Before(n.Deadline) {
			continue // the deadline has passed
		}
		m.deps.Members.Put(NoticeKey(n.InstanceID), n.Sequence, body)
	}
}

// orderNoticedToLeave orders servers that have a notice but still announce
// StateServing to leave. It reads the shared records, so it includes servers that
// were missing from the view when the notice arrived, and servers that the last
// leader could not reach.
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

// orderToLeave sends leave orders, each at most once per leaveOrderInterval. A
// failed order is logged by Send and repeated after the interval.
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
			_ = m.deps.Orders.Send(ctx, s.Address, native.Order{Kind: native.OrderLeave}) // logged by Send
		})
	}
	wg.Wait()
}
