package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/policy/route"
)

// A replica starts later than the entries. Guards against counting all tokens since
// their start as present load, which would order too many servers.
func TestWorkTable(t *testing.T) {
	b := newWorkTable()
	now := time.Unix(0, 0)
	report := func(name string, incarnation, tokens uint64, rate float64) {
		b.record(entryIncarnation{name, incarnation}, []api.ServiceWork{{Service: "chat", Tokens: tokens, Rate: rate, Samples: route.MinRateSamples}}, now)
	}
	report("e1", 1, 1_000_000, 50)
	require.Zero(t, b.tokens("chat"))
	report("e1", 1, 1_000_500, 50)
	report("e1", 1, 1_000_400, 50) // delayed
	report("e1", 1, 1_000_600, 50)
	require.EqualValues(t, 600, b.tokens("chat"))
	report("e1", 2, 10, 0) // restarted
	report("e1", 2, 40, 0)
	require.EqualValues(t, 630, b.tokens("chat"))

	report("e2", 1, 0, 60)
	report("e3", 1, 0, 70)
	require.InDelta(t, 60, b.rate("chat"), 0, "the median of the reported rates")
	b.expire(now.Add(entryReportTTL + 1))
	require.Zero(t, b.rate("chat"))
	require.EqualValues(t, 630, b.tokens("chat"))
}

// Guards against working out the medians over all entries' measurements for each of hundreds
// of calls a second.
func TestRatesAreKeptForATime(t *testing.T) {
	b := newWorkTable()
	now := time.Unix(0, 0)
	report := func(tokens uint64, rate float64) {
		b.record(entryIncarnation{"a", 1}, []api.ServiceWork{{Service: "chat", Tokens: tokens, Rate: rate, Samples: route.MinRateSamples}}, now)
	}
	report(1, 40)
	report(2, 40)
	require.Equal(t, []api.ServiceWork{{Service: "chat", Rate: 40}}, b.rates(now))
	report(3, 90)
	require.Equal(t, 40.0, b.rates(now.Add(ratesTTL - time.Millisecond))[0].Rate)
	require.Equal(t, 90.0, b.rates(now.Add(ratesTTL))[0].Rate)
}

// A thousand entries have a few samples each. Guards against a rate that stays unknown, so that
// the service keeps many times the servers that its load needs; and against one that a few
// samples of a few entries decide.
func TestRateIsPooledFromFewSamplesOfManyEntries(t *testing.T) {
	b := newWorkTable()
	now := time.Unix(0, 0)
	report := func(entry int, rate float64, samples int) {
		b.record(entryIncarnation{fmt.Sprint(entry), 1}, []api.ServiceWork{{Service: "chat", Tokens: 1, Rate: rate, Samples: samples}}, now)
	}
	report(0, 9_000, 1)
	report(1, 90_000, 2)
	require.Zero(t, b.rate("chat"))
	for i := 2; i < 300; i++ {
		report(i, 36_000, 2)
	}
	require.InDelta(t, 36_000, b.rate("chat"), 0)
	require.Empty(t, b.rates(now), "too inaccurate to be taken over by entries")
}
