package entry

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"savoryreel.example/savoryreel/request"
)

// Metrics holds an entry's metrics. The operations listener exposes their set.
type Metrics struct {
	set *metrics.Set

	attemptsFailed   *metrics.Counter
	resumed          *metrics.Counter
	recomputed       *metrics.Counter
	cached           *metrics.Counter
	carried          *metrics.Counter
	prompt           *metrics.Counter
	handedOver       *metrics.Counter
	takenOver        *metrics.Counter
	quarantined      *metrics.Counter
	queueWait        *metrics.Histogram
	firstToken       *metrics.Histogram // since the request was accepted
	engineFirstToken *metrics.Histogram // since the attempt was sent to the engine
	betweenTokens    *metrics.Histogram
	ledgerCommit     *metrics.Histogram
}

// NewMetrics registers an entry's metrics on set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{
		set:              set,
		attemptsFailed:   set.NewCounter("savoryreel_attempts_failed_total"),
		resumed:          set.NewCounter("savoryreel_answers_resumed_total"),
		recomputed:       set.NewCounter("savoryreel_tokens_recomputed_total"),
		cached:           set.NewCounter("savoryreel_prompt_tokens_cached_total"),
		carried:          set.NewCounter("savoryreel_tokens_carried_total"),
		prompt:           set.NewCounter("savoryreel_prompt_tokens_total"),
		handedOver:       set.NewCounter("savoryreel_requests_handed_over_total"),
		takenOver:        set.NewCounter("savoryreel_requests_taken_over_total"),
		quarantined:      set.NewCounter("savoryreel_requests_quarantined_total"),
		queueWait:        set.NewHistogram("savoryreel_queue_wait_seconds"),
		firstToken:       set.NewHistogram("savoryreel_first_token_seconds"),
		engineFirstToken: set.NewHistogram("savoryreel_engine_first_token_seconds"),
		betweenTokens:    set.NewHistogram("savoryreel_between_tokens_seconds"),
		ledgerCommit:     set.NewHistogram("savoryreel_ledger_commit_seconds"),
	}
}

// requestEnded counts one request by outcome and problem code. The code of a request without
// a problem is empty.
func (m *Metrics) requestEnded(o request.Outcome, c request.Code) {
	m.set.GetOrCreateCounter(fmt.Sprintf("savoryreel_requests_total{outcome=%q,code=%q}", o, c)).Inc()
}
