package entry

import (
	"time"

	"savoryreel.example/savoryreel/intake"
	"savoryreel.example/savoryreel/policy/pick"
	"savoryreel.example/savoryreel/settings"
)

// Config holds the settings of an entry. Declare documents them.
type Config struct {
	ID               string
	Region           string
	Zone             string
	CallerListen     string
	CallerAddr       string // advertised to callers; empty: CallerListen
	LinkListen       string
	OpsAddr          string
	Control          []string // link addresses of the control replicas
	Seeds            []string // link addresses of other entries to contact first
	ClusterKey       string
	AnnounceKey      string
	LogLevel         string
	FreshFor         time.Duration
	ServeUnconfirmed bool
	ListValidity     time.Duration
	DrainTimeout     time.Duration
	Capacity         int // requests in flight at full load
	MemoryMB         int // that the process may use; 0: what the machine has
	MaxDescriptors   int // that the process may open; 0: the limit of the system
}

// Declare declares the settings on s.
func (c *Config) Declare(s *settings.Set) {
	s.String(&c.ID, "id", "entry-1", "name of this entry, unique among all instances", settings.Required)
	s.String(&c.Region, "region", "r1", "region of this instance", settings.Required)
	s.String(&c.Zone, "zone", "z1", "zone of this instance", settings.Required)
	s.String(&c.CallerListen, "listen", "127.0.0.1:7001", "address for callers and for backend servers' announcements", settings.HostPort)
	s.String(&c.CallerAddr, "advertise", "", "address that is advertised to callers, if it differs from --listen", settings.Optional(settings.HostPort))
	s.String(&c.LinkListen, "link-listen", "127.0.0.1:7002", "address for links of other processes", settings.HostPort)
	s.String(&c.OpsAddr, "ops-listen", "127.0.0.1:7003", "address of health, metrics and profiles", settings.HostPort)
	s.Strings(&c.Control, "control", []string{"127.0.0.1:7101"}, "link addresses of all control replicas", settings.HostPorts)
	s.Strings(&c.Seeds, "entries", nil, "link addresses of other entries to contact first", settings.HostPorts)
	s.Secret(&c.ClusterKey, "cluster-key", "shared key of this system's processes", settings.Required)
	s.Secret(&c.AnnounceKey, "announce-key", "bearer key of backend servers' announcements", settings.Required)
	s.String(&c.LogLevel, "log-level", "info", "debug, info, warn or error", settings.LogLevel)
	s.Duration(&c.FreshFor, "fresh-for", 4*time.Second, "how long a confirmed catalogue counts as current", settings.Between(time.Second, time.Minute))
	s.Bool(&c.ServeUnconfirmed, "serve-unconfirmed", false, "admit requests by a catalogue that control has not confirmed; an operator's change may then not be in force here")
	s.Duration(&c.ListValidity, "list-validity", 30*time.Second, "how long callers cache the list of entries to use", settings.Between(time.Second, 10*time.Minute))
	s.Int(&c.Capacity, "capacity", 1000, "requests in flight at which this entry counts as fully loaded when callers are distributed", settings.Between(1, 1_000_000))
	s.Int(&c.MemoryMB, "memory-mb", 0, settings.MemoryUsage, settings.Between(0, 1<<24))
	s.Int(&c.MaxDescriptors, "max-descriptors", 0, settings.DescriptorsUsage, settings.Between(0, 1<<24))
	s.Duration(&c.DrainTimeout, "drain-timeout", 5*time.Minute, "how long a stop waits for requests to end before it hands them over", settings.Between(time.Second, time.Hour))
}

// clients returns the bounds on what the process holds for its clients.
func (c *Config) clients(now func() time.Time) *intake.Intake {
	return intake.New(intake.LimitsOf(int64(c.MemoryMB)<<20, c.MaxDescriptors), now)
}

// advertisedAddress returns the address that callers are to use.
func (c *Config) advertisedAddress() string {
	if c.CallerAddr != "" {
		return c.CallerAddr
	}
	return c.CallerListen
}

// pickConfig returns the settings of the policy that chooses entries for callers.
func (c *Config) pickConfig() pick.Config {
	p := pick.DefaultConfig()
	p.Validity = c.ListValidity
	p.HeavyValidity = min(p.HeavyValidity, c.ListValidity)
	return p
}
