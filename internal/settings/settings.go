// Package settings reads the platform's TOML file and the operators' own
// S-expressions, and names every fault it finds in them.
package settings

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"

	"opaldale/internal/ident"
)

// Settings is everything a node is told from outside.
type Settings struct {
	Node          ident.NodeID `toml:"node_name"`
	Zone          string       `toml:"zone"`
	Bind          string       `toml:"bind"`
	TransportAddr string       `toml:"mesh_addr"`
	Peers         []Peer       `toml:"siblings"`
	Endpoints     Endpoints    `toml:"endpoints"`
	Cluster       Cluster      `toml:"cluster"`
	Tuning        Tuning       `toml:"-"`
}

// Peer is another controller.
type Peer struct {
	Node    ident.NodeID `toml:"node_name"`
	Zone    string       `toml:"zone"`
	Address string       `toml:"address"`
}

// Endpoints are the outside services.
type Endpoints struct {
	Cloud string `toml:"cloud"`
	Store string `toml:"state"`
}

// Cluster is what holds for all nodes.
type Cluster struct {
	Nodes             int           `toml:"nodes"`
	Zones             []string      `toml:"zones"`
	ClockErrorBoundMS float64       `toml:"time_bound_ms"`
	Teams             []Team        `toml:"teams"`
	Objectives        []Objective   `toml:"objectives"`
	Workers           WorkerTimes   `toml:"workers"`
	Store             StoreLimits   `toml:"state"`
	Cloud             CloudLimits   `toml:"cloud"`
	Resources         NodeResources `toml:"resources"`
}

// Team has its guarantee and its limit; 0 means none of either.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is a service-level objective of a class of jobs.
type Objective struct {
	Kind    ObjectiveKind `toml:"kind"`
	Class   string        `toml:"class"`
	WithinS float64       `toml:"within_s"` // time limit in seconds
	Share   float64       `toml:"share"`    // part of the jobs that must keep it
}

// ObjectiveKind says which time of a job an objective bounds. Kinds that are not known are ignored.
type ObjectiveKind string

// The kinds of objectives.
const (
	ObjectiveFinished ObjectiveKind = "finished" // from submission to the end of the job
	ObjectiveWait     ObjectiveKind = "wait"     // from submission to the start of its tasks
)

// WorkerTimes holds the workers' times.
type WorkerTimes struct {
	HeartbeatS float64 `toml:"report_s"`
	LeaseS     float64 `toml:"lease_s"`
	CancelS    float64 `toml:"cancel_s"`
	// GangWaitS is how long a task waits for the others of its gang, and GangPeerS
	// within which time they notice that one is gone, or must be told to stop.
	GangWaitS float64 `toml:"gang_wait_s"`
	GangPeerS float64 `toml:"gang_peer_s"`
}

// StoreLimits holds the limits of the state service.
type StoreLimits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
	// Announced holds the limits that the service will have from some moment on, without
	// notice; nil if nothing is announced.
	Announced *AnnouncedStoreLimits `toml:"next"`
}

// AnnouncedStoreLimits holds announced limits; 0 for one that stays.
type AnnouncedStoreLimits struct {
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// Strictest returns the smaller of the present and the announced limits.
func (s StoreLimits) Strictest() StoreLimits {
	if announced := s.Announced; announced != nil {
		if announced.WriteRPS > 0 {
			s.WriteRPS = min(s.WriteRPS, announced.WriteRPS)
		}
		if announced.ValueKB > 0 {
			s.ValueKB = min(s.ValueKB, announced.ValueKB)
		}
		if announced.TxnOps > 0 {
			s.TxnOps = min(s.TxnOps, announced.TxnOps)
		}
	}
	return s
}

// CloudLimits holds the limits of the cloud.
type CloudLimits struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// NodeResources is what a node may use of its machine.
type NodeResources struct {
	Cores    float64 `toml:"cores"`
	MemoryMB float64 `toml:"memory_mb"`
	Sockets  int     `toml:"sockets"`
}

// Seconds turns an amount of the settings into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Load reads the platform's file and, unless its path is empty, the operators'
// tuning file. The error joins every fault found.
func Load(path, tuning string) (*Settings, error) {
	platformFile, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := Parse(platformFile)
	if err != nil {
		return nil, err
	}
	if tuning != "" {
		tuningFile, err := os.ReadFile(tuning)
		if err != nil {
			return nil, err
		}
		if err := s.Tuning.Apply(tuningFile); err != nil {
			return nil, fmt.Errorf("%s: %w", tuning, err)
		}
	}
	return s, s.Tuning.check()
}

// Parse reads the platform's file; unknown fields are ignored.
func Parse(b []byte) (*Settings, error) {
	s := &Settings{Tuning: DefaultTuning()}
	if err := toml.Unmarshal(b, s); err != nil {
		return nil, err
	}
	return s, s.check()
}

// validation gathers what is wrong with the settings, each with the name of its field.
type validation struct {
	list []error
}

func (f *validation) add(format string, args ...any) {
	f.list = append(f.list, fmt.Errorf(format, args...))
}

// checkAddress checks an IP address with a port.
func (f *validation) checkAddress(name, v string) {
	host, _, err := net.SplitHostPort(v)
	if err != nil || net.ParseIP(host) == nil {
		f.add("%s: %q is not an IP address with a port", name, v)
	}
}

// checkPositive checks an amount that must be above 0.
func (f *validation) checkPositive(name string, v float64) {
	if !(v > 0) {
		f.add("%s: must be above 0", name)
	}
}

// check names every fault.
func (s *Settings) check() error {
	f := &validation{}
	if s.Node == "" {
		f.add("node_name: missing")
	}
	f.checkAddress("bind", s.Bind)
	f.checkAddress("mesh_addr", s.TransportAddr)
	f.checkAddress("endpoints.cloud", s.Endpoints.Cloud)
	f.checkAddress("endpoints.state", s.Endpoints.Store)
	s.checkPeers(f)
	if len(s.Cluster.Zones) == 0 {
		f.add("cluster.zones: missing")
	}
	s.Cluster.checkTeams(f)
	s.Cluster.Workers.check(f)
	s.Cluster.Store.check(f)
	s.Cluster.Cloud.check(f)
	s.Cluster.Resources.check(f)
	return errors.Join(f.list...)
}

func (s *Settings) checkPeers(f *validation) {
	seen := map[ident.NodeID]bool{s.Node: true}
	for i, p := range s.Peers {
		if p.Node == "" || seen[p.Node] {
			f.add("siblings[%d].node_name: missing or used twice", i)
		}
		seen[p.Node] = true
		f.checkAddress(fmt.Sprintf("siblings[%d].address", i), p.Address)
	}
}

func (c *Cluster) checkTeams(f *validation) {
	if len(c.Teams) == 0 {
		f.add("cluster.teams: missing")
	}
	seen := map[string]bool{}
	for i, t := range c.Teams {
		if t.Name == "" || seen[t.Name] {
			f.add("cluster.teams[%d].name: missing or used twice", i)
		}
		seen[t.Name] = true
		if t.CPUs < 0 || t.CPUsMax < 0 || t.GPUs < 0 || t.GPUsMax < 0 {
			f.add("cluster.teams[%d]: negative amount", i)
		}
	}
}

func (w WorkerTimes) check(f *validation) {
	f.checkPositive("cluster.workers.report_s", w.HeartbeatS)
	f.checkPositive("cluster.workers.lease_s", w.LeaseS)
	if w.CancelS <= w.LeaseS {
		f.add("cluster.workers.cancel_s: must be above lease_s")
	}
	if w.GangWaitS < 0 || w.GangPeerS < 0 {
		f.add("cluster.workers: gang_wait_s and gang_peer_s must not be negative")
	}
}

// The least that a state service must take.
const (
	minValueKB = 1
	minTxnOps  = 4
)

func (s StoreLimits) check(f *validation) {
	f.checkPositive("cluster.state.rps", s.RPS)
	f.checkPositive("cluster.state.write_rps", s.WriteRPS)
	if s.ValueKB < minValueKB {
		f.add("cluster.state.value_kb: must be at least 1")
	}
	if s.TxnOps < minTxnOps {
		f.add("cluster.state.txn_ops: must be at least 4")
	}
	if s.Announced != nil {
		s.Announced.check(f)
	}
}

func (n *AnnouncedStoreLimits) check(f *validation) {
	if n.WriteRPS < 0 {
		f.add("cluster.state.next.write_rps: negative")
	}
	if n.ValueKB != 0 && n.ValueKB < minValueKB {
		f.add("cluster.state.next.value_kb: must be at least 1")
	}
	if n.TxnOps != 0 && n.TxnOps < minTxnOps {
		f.add("cluster.state.next.txn_ops: must be at least 4")
	}
}

func (c CloudLimits) check(f *validation) {
	f.checkPositive("cluster.cloud.rps", c.RPS)
	if c.ListLagS < 0 {
		f.add("cluster.cloud.list_lag_s: negative")
	}
}

// minSockets is the least that a node can work with.
const minSockets = 16

func (r NodeResources) check(f *validation) {
	f.checkPositive("cluster.resources.cores", r.Cores)
	f.checkPositive("cluster.resources.memory_mb", r.MemoryMB)
	if r.Sockets < minSockets {
		f.add("cluster.resources.sockets: must be at least 16")
	}
}
