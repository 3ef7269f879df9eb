package settings

import (
	"bytes"
	"testing"
	"time"

	"github.com/spf13/pflag"
	"github.com/stretchr/testify/require"
)

type testConfig struct {
	addr   string
	key    string
	peers  []string
	limit  int
	period time.Duration
}

func loadTestConfig(args ...string) (*Set, *testConfig, error) {
	flags := pflag.NewFlagSet("test", pflag.ContinueOnError)
	s, c := New(flags), &testConfig{}
	s.String(&c.addr, "addr", "127.0.0.1:1", "address", HostPort)
	s.Secret(&c.key, "key", "key", Required)
	s.Strings(&c.peers, "peers", nil, "peers", HostPorts)
	s.Int(&c.limit, "limit", 5, "limit", Between(1, 10))
	s.Duration(&c.period, "period", time.Second, "period", Between(time.Millisecond, time.Minute))
	if err := flags.Parse(args); err != nil {
		return nil, nil, err
	}
	return s, c, s.Load()
}

// Guards against a wrong precedence of flag, variable and default, and against a list in
// a variable that is not split at its commas.
func TestFlagOverridesVariableOverridesDefault(t *testing.T) {
	t.Setenv("SAVORYREEL_KEY", "k")
	t.Setenv("SAVORYREEL_LIMIT", "7")
	t.Setenv("SAVORYREEL_PERIOD", "2s")
	t.Setenv("SAVORYREEL_PEERS", "127.0.0.1:2, 127.0.0.1:3")
	_, c, err := loadTestConfig("--limit", "8")
	require.NoError(t, err)
	require.Equal(t, &testConfig{
		addr: "127.0.0.1:1", key: "k", peers: []string{"127.0.0.1:2", "127.0.0.1:3"}, limit: 8, period: 2 * time.Second,
	}, c)
}

// Guards against a Load that returns at the first invalid setting: an operator would have
// to restart the process once for each of the four faults.
func TestLoadReportsAllFaultsTogether(t *testing.T) {
	t.Setenv("SAVORYREEL_LIMIT", "many")
	_, _, err := loadTestConfig("--addr", "localhost", "--period", "1h")
	var invalid *InvalidError
	require.ErrorAs(t, err, &invalid)
	require.Len(t, invalid.Faults, 4)
	text := err.Error()
	for _, name := range []string{"--addr (SAVORYREEL_ADDR)", "--key (SAVORYREEL_KEY): missing", "--limit (SAVORYREEL_LIMIT): \"many\"", "--period"} {
		require.Contains(t, text, name)
	}
}

// Guards against a secret's value in the output of Print.
func TestPrintOmitsSecrets(t *testing.T) {
	s, _, err := loadTestConfig("--key", "hush")
	require.NoError(t, err)
	var out bytes.Buffer
	s.Print(&out)
	require.NotContains(t, out.String(), "hush")
	require.Contains(t, out.String(), "SAVORYREEL_KEY=(set)")
	require.Contains(t, out.String(), "SAVORYREEL_PERIOD=1s")
}
