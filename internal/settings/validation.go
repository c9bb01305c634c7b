package settings

import (
	"errors"
	"fmt"
	"net"

	"opaldale/internal/ident"
)

// The minimum limits and resources that a controller needs.
const (
	minValueKB = 1  // minimum for the store's limit on the size of a value, in KiB
	minTxnOps  = 4  // minimum for the store's limit on operations in a transaction
	minSockets = 16 // minimum number of sockets of a node
)

// validation collects the errors of settings. Each error text begins with the name of the setting.
type validation struct {
	faults []error
}

// add adds an error.
func (v *validation) add(format string, args ...any) {
	v.faults = append(v.faults, fmt.Errorf(format, args...))
}

// rejectIf adds an error if the condition is true.
func (v *validation) rejectIf(faulty bool, fault string) {
	if faulty {
		v.faults = append(v.faults, errors.New(fault))
	}
}

// err returns the joined errors, or nil if there are none.
func (v *validation) err() error { return errors.Join(v.faults...) }

// checkAddress checks that a value is an IP address with a port.
func (v *validation) checkAddress(name, value string) {
	host, _, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		v.add("%s: %q is not an IP address with a port", name, value)
	}
}

// checkPositive checks that a value is above 0 and is not NaN.
func (v *validation) checkPositive(name string, value float64) {
	if !(value > 0) {
		v.add("%s: must be above 0", name)
	}
}

// checkAtLeast checks that a value is not below the minimum. It accepts NaN.
func (v *validation) checkAtLeast(name string, value, minimum float64) {
	if value < minimum {
		v.add("%s: must be at least %v", name, minimum)
	}
}

// check validates the platform's settings and returns all errors.
func (s *Settings) check() error {
	v := &validation{}
	v.rejectIf(s.Node == "", "node_name: missing")
	v.checkAddress("bind", s.Bind)
	v.checkAddress("mesh_addr", s.TransportAddr)
	v.checkAddress("endpoints.cloud", s.Endpoints.Cloud)
	v.checkAddress("endpoints.state", s.Endpoints.Store)
	s.checkPeers(v)
	v.rejectIf(len(s.Cluster.Zones) == 0, "cluster.zones: missing")
	s.Cluster.checkTeams(v)
	s.Cluster.Workers.check(v)
	s.Cluster.Store.check(v)
	s.Cluster.Cloud.check(v)
	s.Cluster.Resources.check(v)
	return v.err()
}

// checkPeers checks that the names of all nodes are set and unique, and that all peers have valid addresses.
func (s *Settings) checkPeers(v *validation) {
	seen := map[ident.NodeID]bool{s.Node: true}
	for i, p := range s.Peers {
		if p.Node == "" || seen[p.Node] {
			v.add("siblings[%d].node_name: missing or used twice", i)
		}
		seen[p.Node] = true
		v.checkAddress(fmt.Sprintf("siblings[%d].address", i), p.Address)
	}
}

// checkTeams checks that team names are set and unique, and that quotas are not negative.
func (c *Cluster) checkTeams(v *validation) {
	v.rejectIf(len(c.Teams) == 0, "cluster.teams: missing")
	seen := map[string]bool{}
	for i, t := range c.Teams {
		if t.Name == "" || seen[t.Name] {
			v.add("cluster.teams[%d].name: missing or used twice", i)
		}
		seen[t.Name] = true
		if t.CPUs < 0 || t.CPUsMax < 0 || t.GPUs < 0 || t.GPUsMax < 0 {
			v.add("cluster.teams[%d]: cpus, cpus_max, gpus and gpus_max must not be negative", i)
		}
	}
}

func (w WorkerTimes) check(v *validation) {
	v.checkPositive("cluster.workers.report_s", w.HeartbeatS)
	v.checkPositive("cluster.workers.lease_s", w.LeaseS)
	v.rejectIf(w.CancelS <= w.LeaseS, "cluster.workers.cancel_s: must be above lease_s")
	v.rejectIf(w.GangWaitS < 0 || w.GangPeerS < 0, "cluster.workers: gang_wait_s and gang_peer_s must not be negative")
}

func (s StoreLimits) check(v *validation) {
	v.checkPositive("cluster.state.rps", s.RPS)
	v.checkPositive("cluster.state.write_rps", s.WriteRPS)
	v.checkAtLeast("cluster.state.value_kb", s.ValueKB, minValueKB)
	v.checkAtLeast("cluster.state.txn_ops", float64(s.TxnOps), minTxnOps)
	if s.Announced != nil {
		s.Announced.check(v)
	}
}

func (a *AnnouncedStoreLimits) check(v *validation) {
	v.rejectIf(a.WriteRPS < 0, "cluster.state.next.write_rps: negative")
	if a.ValueKB != 0 {
		v.checkAtLeast("cluster.state.next.value_kb", a.ValueKB, minValueKB)
	}
	if a.TxnOps != 0 {
		v.checkAtLeast("cluster.state.next.txn_ops", float64(a.TxnOps), minTxnOps)
	}
}

func (c CloudLimits) check(v *validation) {
	v.checkPositive("cluster.cloud.rps", c.RPS)
	v.rejectIf(c.ListLagS < 0, "cluster.cloud.list_lag_s: negative")
}

func (r NodeResources) check(v *validation) {
	v.checkPositive("cluster.resources.cores", r.Cores)
	v.checkPositive("cluster.resources.memory_mb", r.MemoryMB)
	v.checkAtLeast("cluster.resources.sockets", float64(r.Sockets), minSockets)
}
