package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/coordinator/api"
)

// A replica starts later than the entries. Guards against counting all tokens since
// their start as present load, which would order too many servers.
func TestWorkTable(t *testing.T) {
	b := newWorkTable()
	now := time.Unix(0, 0)
	report := func(name string, incarnation, tokens uint64, rate float64) {
		b.record(entryIncarnation{name, incarnation}, []api.ServiceWork{{Service: "chat", Tokens: tokens, Rate: rate}}, now)
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
		b.record(entryIncarnation{"a", 1}, []api.ServiceWork{{Service: "chat", Tokens: tokens, Rate: rate}}, now)
	}
	report(1, 40)
	report(2, 40)
	require.Equal(t, []api.ServiceWork{{Service: "chat", Rate: 40}}, b.rates(now))
	report(3, 90)
	require.Equal(t, 40.0, b.rates(now.Add(ratesTTL - time.Millisecond))[0].Rate)
	require.Equal(t, 90.0, b.rates(now.Add(ratesTTL))[0].Rate)
}
