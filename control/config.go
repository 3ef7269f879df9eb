package control

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"savoryreel.example/savoryreel/contract"
	"savoryreel.example/savoryreel/intake"
	"savoryreel.example/savoryreel/settings"
)

// Config holds a control replica's settings.
type Config struct {
	ID                     int
	Region                 string
	Zone                   string
	DataDir                string
	LinkListen             string
	OperatorAddr           string
	OpsAddr                string
	Replicas               []string // "id=ip:port" of the group's initial replicas; does not list one that is added later
	Entries                []string // link addresses of entries through which this replica joins the membership; may be empty
	ClusterKey             string
	OperatorKey            string
	LogLevel               string
	TickInterval           time.Duration
	SnapshotEvery          int
	Cloud                  string // address of the cloud API; empty: the fleet is not managed
	CloudSite              string
	CloudZones             []string // "zone=region/data-centre"
	CloudClasses           []string // "class=tokens per second"
	FleetInterval          time.Duration
	WeightStoreMBPerSecond int // total throughput of the weight store; 0: servers are not ordered to load models
	MinLoadMBPerSecond     int // minimum throughput at which a model load is started
	MaxEntries             int // entries that may hold a share of the limits at the same time
	MemoryMB               int // that the process may use; 0: what the machine has
	MaxDescriptors         int // that the process may open; 0: the limit of the system
}

// Declare adds the settings, with defaults, help texts and checks, to s.
func (c *Config) Declare(s *settings.Set) {
	s.Int(&c.ID, "id", 1, "id of this control replica; a replica that lost its disk needs a new one", settings.Between(1, 1<<30))
	s.String(&c.Region, "region", "r1", "region of this instance", settings.Required)
	s.String(&c.Zone, "zone", "z1", "zone of this instance", settings.Required)
	s.String(&c.DataDir, "data", "", "data directory", settings.Required)
	s.String(&c.LinkListen, "link-listen", "127.0.0.1:7101", "address on which this process accepts links of other processes", settings.HostPort)
	s.String(&c.OperatorAddr, "operator-listen", "127.0.0.1:7102", "address of the operators' API", settings.HostPort)
	s.String(&c.OpsAddr, "ops-listen", "127.0.0.1:7103", "address of health, metrics and profiles", settings.HostPort)
	s.Strings(&c.Replicas, "replicas", []string{"1=127.0.0.1:7101"}, "the initial control replicas, as id=ip:port; does not list replicas that are added later", validateReplicas)
	s.Strings(&c.Entries, "entries", nil, "link addresses of some entries, through which this replica joins the membership", settings.HostPorts)
	s.Secret(&c.ClusterKey, "cluster-key", "key by which the system's processes authenticate each other", settings.Required)
	s.Secret(&c.OperatorKey, "operator-key", "bearer key of the operators", settings.Required)
	s.String(&c.LogLevel, "log-level", "info", "debug, info, warn or error", settings.LogLevel)
	s.Duration(&c.TickInterval, "tick", 10*time.Millisecond, "tick, the time unit of elections and heartbeats", settings.Between(time.Millisecond, time.Second))
	s.String(&c.Cloud, "cloud", "", "address of the cloud API; without it, the fleet is not managed", settings.Optional(settings.HostPort))
	s.String(&c.CloudSite, "cloud-site", "savoryreel", "prefix of the client tokens at the cloud; must differ between sites that share a cloud account", settings.Required)
	s.Strings(&c.CloudZones, "cloud-zones", nil, "zones of this region where instances may start, as zone=region/data-centre", validateZones)
	s.Strings(&c.CloudClasses, "cloud-classes", nil, "machine classes and the throughput of each within the latency target, as class=tokens per second", validateClasses)
	s.Duration(&c.FleetInterval, "fleet-every", time.Minute, "interval of the decisions on the fleet", settings.Between(time.Second, time.Hour))
	s.Int(&c.WeightStoreMBPerSecond, "weight-rate", 0, "total throughput of the weight store in megabytes per second; 0: servers are not ordered to load models", settings.Between(0, 1_000_000))
	s.Int(&c.MinLoadMBPerSecond, "load-rate", 100, "minimum throughput at which a model load is started, in megabytes per second", settings.Between(1, 1_000_000))
	s.Int(&c.MaxEntries, "max-entries", 16, "maximum number of entries that share the workspaces' limits", settings.Between(1, 10_000))
	s.Int(&c.MemoryMB, "memory-mb", 0, settings.MemoryUsage, settings.Between(0, 1<<24))
	s.Int(&c.MaxDescriptors, "max-descriptors", 0, settings.DescriptorsUsage, settings.Between(0, 1<<24))
	s.Int(&c.SnapshotEvery, "snapshot-every", 10_000, "number of log entries between snapshots", settings.Between(10, 10_000_000))
}

func validateReplicas(list []string) error {
	if len(list) == 0 {
		return fmt.Errorf("missing")
	}
	_, err := parseReplicas(list)
	return err
}

// parseReplicas parses "id=ip:port" items and returns the addresses by id.
func parseReplicas(list []string) (map[uint64]string, error) {
	addresses := make(map[uint64]string, len(list))
	for _, item := range list {
		id, addr, found := strings.Cut(item, "=")
		n, err := strconv.ParseUint(id, 10, 64)
		if !found || err != nil || n == 0 {
			return nil, fmt.Errorf("%q is not id=ip:port", item)
		}
		if err := settings.HostPort(addr); err != nil {
			return nil, err
		}
		if _, dup := addresses[n]; dup {
			return nil, fmt.Errorf("replica %d is listed twice", n)
		}
		addresses[n] = addr
	}
	return addresses, nil
}

// clients returns the bounds on what the process holds for its clients.
func (c *Config) clients(now func() time.Time) *intake.Intake {
	return intake.New(intake.LimitsOf(int64(c.MemoryMB)<<20, c.MaxDescriptors), now)
}

func (c *Config) operatorKeyHash() contract.KeyHash { return contract.HashKey(c.OperatorKey) }
