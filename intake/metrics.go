package intake

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// Register adds the metrics of the Intake and its gates, also of later ones, to a set.
func (in *Intake) Register(set *metrics.Set) {
	set.NewGauge("savoryreel_client_bytes_claimed", func() float64 { return float64(in.Claimed()) })
	in.mu.Lock()
	in.metrics = set
	gates := in.gates
	in.mu.Unlock()
	for _, g := range gates {
		g.register(set)
	}
}

func (g *Gate) register(set *metrics.Set) {
	gauge := func(name string, value func() float64) {
		set.NewGauge(fmt.Sprintf("%s{listener=%q}", name, g.name), value)
	}
	gauge("savoryreel_client_connections", func() float64 {
		g.intake.mu.Lock()
		defer g.intake.mu.Unlock()
		return float64(g.open)
	})
	gauge("savoryreel_clients_cut_off_total", func() float64 { return float64(g.Counts().Cut) })
	gauge("savoryreel_clients_refused_total", func() float64 { return float64(g.Counts().Refused) })
}
