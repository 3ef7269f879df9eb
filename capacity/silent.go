package capacity

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/gravitational/trace"

	"savoryreel.example/savoryreel/control/api"
)

// Silent measures how long the poll that confirms an entry's catalogue takes
// while one of the control replicas accepts connections but does not respond,
// like a frozen process. Each poll begins when the previous one has ended, so
// this adds to the time until a change is in force.
func Silent(ctx context.Context, replicas ...int) (*Table, error) {
	t := &Table{SizeLabel: "control replicas", Columns: []string{"all answer, mean ms", "one silent, mean ms", "worst ms"}}
	for _, n := range replicas {
		s, err := newSite(ctx, n-1, slog.New(slog.DiscardHandler))
		if err != nil {
			return nil, err
		}
		values, err := s.measureSilent()
		s.close()
		if err != nil {
			return nil, err
		}
		t.Rows = append(t.Rows, Row{float64(n), values})
	}
	return t, nil
}

// measureSilent polls the site's replicas alone, then with a replica that does
// not respond.
func (s *site) measureSilent() ([]float64, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, trace.Wrap(err, "step=listen")
	}
	defer l.Close() // the kernel accepts connections into the backlog; nothing serves them
	meanAllAnswering, _, err := s.pollTimes(s.controlClient)
	if err != nil {
		return nil, err
	}
	mean, worst, err := s.pollTimes(api.NewClient(s.pool, append(s.controlAddresses, l.Addr().String()), "capacity"))
	return []float64{meanAllAnswering, mean, worst}, err
}

// pollTimes returns the mean and the longest time of several polls in
// milliseconds.
func (s *site) pollTimes(client *api.Client) (mean, worst float64, err error) {
	const rounds = 10
	for range rounds {
		startTime := time.Now()
		if _, err := client.Confirm(s.ctx); err != nil {
			return 0, 0, err
		}
		elapsedMs := time.Since(startTime).Seconds() * 1e3
		mean += elapsedMs / rounds
		worst = max(worst, elapsedMs)
	}
	return mean, worst, nil
}
