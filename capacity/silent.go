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
// while one more control replica, of so many together, takes connections and
// says nothing, as one that has frozen does. The next poll begins when the last
// one has ended, so this adds to the time until a change is in force.
func Silent(ctx context.Context, replicas ...int) (*Table, error) {
	t := &Table{Size: "control replicas", Columns: []string{"all answer, mean ms", "one silent, mean ms", "worst ms"}}
	for _, n := range replicas {
		s, err := newSite(ctx, n-1, slog.New(slog.DiscardHandler))
		if err != nil {
			return nil, err
		}
		values, err := s.withSilentReplica()
		s.close()
		if err != nil {
			return nil, err
		}
		t.Rows = append(t.Rows, Row{float64(n), values})
	}
	return t, nil
}

func (s *site) withSilentReplica() ([]float64, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, trace.Wrap(err, "step=listen")
	}
	defer l.Close() // the backlog takes connections that nobody serves
	usual, _, err := s.pollTimes(s.client)
	if err != nil {
		return nil, err
	}
	mean, worst, err := s.pollTimes(api.NewClient(s.pool, append(s.control, l.Addr().String()), "capacity"))
	return []float64{usual, mean, worst}, err
}

// pollTimes returns the mean and the worst time of some polls in milliseconds.
func (s *site) pollTimes(client *api.Client) (mean, worst float64, err error) {
	const rounds = 10
	for range rounds {
		began := time.Now()
		if _, err := client.Confirm(s.ctx); err != nil {
			return 0, 0, err
		}
		took := time.Since(began).Seconds() * 1e3
		mean += took / rounds
		worst = max(worst, took)
	}
	return mean, worst, nil
}
