package control

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"savoryreel.example/savoryreel/contract"
	"savoryreel.example/savoryreel/control/api"
	"savoryreel.example/savoryreel/fleet"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/membership"
	"savoryreel.example/savoryreel/native"
	"savoryreel.example/savoryreel/policy/scale"
	"savoryreel.example/savoryreel/records"
	"savoryreel.example/savoryreel/replica"
	"savoryreel.example/savoryreel/replica/host"
	"savoryreel.example/savoryreel/zone"
)

// noticePollTimeout is how long one request for reclaim notices waits at the cloud.
const noticePollTimeout = time.Second

// initMembership sets up this replica's membership node, through which the leader
// knows the backend servers.
func (c *Control) initMembership() error {
	self := c.peerInfo()
	var err error
	c.members, err = membership.New(membership.Config{
		Self: instance.Member{
			ID: self.ID, Incarnation: self.Incarnation, Role: instance.RoleControl,
			Region: c.cfg.Region, Zone: c.cfg.Zone, LinkAddress: c.cfg.LinkListen,
		},
		Seeds: c.cfg.Entries, Merge: records.Merge,
	}, membership.Deps{Pool: c.pool, Log: c.log})
	return err
}

// initFleetManager sets up the fleet manager if a cloud is configured.
func (c *Control) initFleetManager() error {
	if c.cfg.Cloud == "" {
		return nil
	}
	zones, err := parseZones(c.cfg.CloudZones)
	if err != nil {
		return trace.Wrap(err, "step=read zones")
	}
	classes, err := parseClasses(c.cfg.CloudClasses)
	if err != nil {
		return trace.Wrap(err, "step=read machine classes")
	}
	timeout := c.cfg.TickInterval * host.DefaultElectionTicks
	orders := fleet.NewOrders(fleet.DefaultOrdersConfig(timeout), fleet.OrdersDeps{Lease: c.host, Log: c.log, Now: c.now})
	c.cloud = native.NewCloud(native.CloudConfig{Address: c.cfg.Cloud})
	c.fleet, err = fleet.NewManager(fleet.Config{
		Site: c.cfg.CloudSite, Zones: zones, Classes: classes, Scale: scale.DefaultConfig(),
		DecisionInterval: c.cfg.FleetInterval, PollTimeout: noticePollTimeout,
		StoreRate: float64(c.cfg.WeightStoreMBPerSecond) * megabyte, MinLoadRate: float64(c.cfg.MinLoadMBPerSecond) * megabyte,
	}, fleet.Deps{
		Cloud: c.cloud, Log: fleetLog{log: c.host, machine: c.machine}, Members: c.members, Orders: orders, Models: c.machine.models,
		Lease: c.host, Logger: c.log, Now: c.now,
	})
	return err
}

// megabyte is the number of bytes in the megabyte of the settings.
const megabyte = 1_000_000

// models returns the models of the catalogue's services, without duplicates.
func (m *Machine) models() []fleet.Model {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var models []fleet.Model
	services := m.catalogueState.Catalogue().Services
	for i := range services {
		model := fleet.Model{Name: services[i].Model, Version: services[i].Version}
		if services[i].Kind == contract.KindModel && !slices.Contains(models, model) {
			models = append(models, model)
		}
	}
	return models
}

// runFleet runs the fleet manager until ctx ends.
func (c *Control) runFleet(ctx context.Context) error {
	defer c.cloud.Close()
	return c.fleet.Run(ctx)
}

// fleetLog stores the fleet's state in the replicated log.
type fleetLog struct {
	log     Log
	machine *Machine
}

// Fleet implements fleet.Log. It returns the state including every command committed
// before the call.
func (f fleetLog) Fleet(ctx context.Context) (fleet.State, error) {
	if err := f.log.ReadBarrier(ctx); err != nil {
		return fleet.State{}, err
	}
	return f.machine.Fleet(), nil
}

// Commit implements fleet.Log.
func (f fleetLog) Commit(ctx context.Context, c fleet.Command) (fleet.Result, error) {
	data, err := c.Encode()
	if err != nil {
		return fleet.Result{}, err
	}
	out, err := f.log.Propose(ctx, uint8(api.KindFleet), data)
	if err != nil {
		return fleet.Result{}, err
	}
	result, ok := out.(fleet.Result)
	if !ok {
		return fleet.Result{}, trace.BadParameter("fleet command returned a %T", out)
	}
	return result, nil
}

// Fleet returns the state of the fleet manager as applied here.
func (m *Machine) Fleet() fleet.State {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.fleet
}

func (m *Machine) applyFleet(e replica.Entry) (any, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	result, err := m.fleet.Apply(e.Data)
	if err != nil {
		return nil, err
	}
	return result, nil
}

// parseZones parses "zone=region/data-centre" items.
func parseZones(list []string) ([]zone.Zone, error) {
	var zones []zone.Zone
	for _, item := range list {
		name, location, found := strings.Cut(item, "=")
		region, dataCentre, hasCentre := strings.Cut(location, "/")
		if !found || !hasCentre {
			return nil, fmt.Errorf("%q is not zone=region/data-centre", item)
		}
		zones = append(zones, zone.Zone{Name: name, Region: region, DataCentre: dataCentre})
	}
	return zones, zone.Validate(zones)
}

// parseClasses parses "class=capacity" items, with the capacity in tokens per second.
func parseClasses(list []string) ([]scale.Class, error) {
	var classes []scale.Class
	for _, item := range list {
		name, capacityText, found := strings.Cut(item, "=")
		capacity, err := strconv.ParseFloat(capacityText, 64)
		if !found || name == "" || err != nil || capacity <= 0 {
			return nil, fmt.Errorf("%q is not class=tokens per second", item)
		}
		classes = append(classes, scale.Class{Name: name, Capacity: capacity})
	}
	return classes, nil
}

func validateZones(list []string) error {
	_, err := parseZones(list)
	return err
}

func validateClasses(list []string) error {
	_, err := parseClasses(list)
	return err
}
