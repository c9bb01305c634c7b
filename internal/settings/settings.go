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
	Node     ident.NodeID `toml:"node_name"`
	Zone     string       `toml:"zone"`
	Bind     string       `toml:"bind"`
	MeshAddr string       `toml:"mesh_addr"`
	Siblings []Sibling    `toml:"siblings"`
	Ends     Endpoints    `toml:"endpoints"`
	Cluster  Cluster      `toml:"cluster"`
	Tuning   Tuning       `toml:"-"`
}

// Sibling is another controller.
type Sibling struct {
	Node    ident.NodeID `toml:"node_name"`
	Zone    string       `toml:"zone"`
	Address string       `toml:"address"`
}

// Endpoints are the outside services.
type Endpoints struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Cluster is what holds for all nodes.
type Cluster struct {
	Nodes       int         `toml:"nodes"`
	Zones       []string    `toml:"zones"`
	TimeBoundMS float64     `toml:"time_bound_ms"`
	Teams       []Team      `toml:"teams"`
	Objectives  []Objective `toml:"objectives"`
	Workers     Workers     `toml:"workers"`
	State       State       `toml:"state"`
	Cloud       Cloud       `toml:"cloud"`
	Resources   Resources   `toml:"resources"`
}

// Team is a desk with its guarantee and its limit; 0 means none of either.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective restates one of the users' aims.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
}

// Workers holds the workers' times.
type Workers struct {
	ReportS float64 `toml:"report_s"`
	LeaseS  float64 `toml:"lease_s"`
	CancelS float64 `toml:"cancel_s"`
	// GangWaitS is how long a task waits for the others of its gang, and GangPeerS
	// within which time they notice that one is gone, or must be told to stop.
	GangWaitS float64 `toml:"gang_wait_s"`
	GangPeerS float64 `toml:"gang_peer_s"`
}

// State holds the limits of the state service.
type State struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
	// Next holds the limits that the service will have from some moment on, without
	// notice; nil if nothing is announced.
	Next *NextState `toml:"next"`
}

// NextState holds announced limits; 0 for one that stays.
type NextState struct {
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// Tight returns the smaller of the present and the announced limits.
func (s State) Tight() State {
	if n := s.Next; n != nil {
		if n.WriteRPS > 0 {
			s.WriteRPS = min(s.WriteRPS, n.WriteRPS)
		}
		if n.ValueKB > 0 {
			s.ValueKB = min(s.ValueKB, n.ValueKB)
		}
		if n.TxnOps > 0 {
			s.TxnOps = min(s.TxnOps, n.TxnOps)
		}
	}
	return s
}

// Cloud holds the limits of the cloud.
type Cloud struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// Resources is what a node may use of its machine.
type Resources struct {
	Cores    float64 `toml:"cores"`
	MemoryMB float64 `toml:"memory_mb"`
	Sockets  int     `toml:"sockets"`
}

// Seconds turns an amount of the settings into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Load reads the platform's file and, unless its path is empty, the operators'
// tuning file. The error joins every fault found.
func Load(path, tuning string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := Parse(b)
	if err != nil {
		return nil, err
	}
	if tuning != "" {
		t, err := os.ReadFile(tuning)
		if err != nil {
			return nil, err
		}
		if err := s.Tuning.Read(t); err != nil {
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

func (s *Settings) check() error {
	var faults []error
	bad := func(format string, a ...any) { faults = append(faults, fmt.Errorf(format, a...)) }
	addr := func(name, v string) {
		host, _, err := net.SplitHostPort(v)
		if err != nil || net.ParseIP(host) == nil {
			bad("%s: %q is not an IP address with a port", name, v)
		}
	}
	positive := func(name string, v float64) {
		if !(v > 0) {
			bad("%s: must be above 0", name)
		}
	}
	if s.Node == "" {
		bad("node_name: missing")
	}
	addr("bind", s.Bind)
	addr("mesh_addr", s.MeshAddr)
	addr("endpoints.cloud", s.Ends.Cloud)
	addr("endpoints.state", s.Ends.State)
	seen := map[ident.NodeID]bool{s.Node: true}
	for i, p := range s.Siblings {
		if p.Node == "" || seen[p.Node] {
			bad("siblings[%d].node_name: missing or used twice", i)
		}
		seen[p.Node] = true
		addr(fmt.Sprintf("siblings[%d].address", i), p.Address)
	}
	c := s.Cluster
	if len(c.Zones) == 0 {
		bad("cluster.zones: missing")
	}
	if len(c.Teams) == 0 {
		bad("cluster.teams: missing")
	}
	teams := map[string]bool{}
	for i, t := range c.Teams {
		if t.Name == "" || teams[t.Name] {
			bad("cluster.teams[%d].name: missing or used twice", i)
		}
		teams[t.Name] = true
		if t.CPUs < 0 || t.CPUsMax < 0 || t.GPUs < 0 || t.GPUsMax < 0 {
			bad("cluster.teams[%d]: negative amount", i)
		}
	}
	positive("cluster.workers.report_s", c.Workers.ReportS)
	positive("cluster.workers.lease_s", c.Workers.LeaseS)
	if c.Workers.CancelS <= c.Workers.LeaseS {
		bad("cluster.workers.cancel_s: must be above lease_s")
	}
	positive("cluster.state.rps", c.State.RPS)
	positive("cluster.state.write_rps", c.State.WriteRPS)
	if c.State.ValueKB < 1 {
		bad("cluster.state.value_kb: must be at least 1")
	}
	if c.State.TxnOps < 4 {
		bad("cluster.state.txn_ops: must be at least 4")
	}
	if n := c.State.Next; n != nil {
		if n.WriteRPS < 0 {
			bad("cluster.state.next.write_rps: negative")
		}
		if n.ValueKB != 0 && n.ValueKB < 1 {
			bad("cluster.state.next.value_kb: must be at least 1")
		}
		if n.TxnOps != 0 && n.TxnOps < 4 {
			bad("cluster.state.next.txn_ops: must be at least 4")
		}
	}
	if c.Workers.GangWaitS < 0 || c.Workers.GangPeerS < 0 {
		bad("cluster.workers: gang_wait_s and gang_peer_s must not be negative")
	}
	positive("cluster.cloud.rps", c.Cloud.RPS)
	if c.Cloud.ListLagS < 0 {
		bad("cluster.cloud.list_lag_s: negative")
	}
	positive("cluster.resources.cores", c.Resources.Cores)
	positive("cluster.resources.memory_mb", c.Resources.MemoryMB)
	if c.Resources.Sockets < 16 {
		bad("cluster.resources.sockets: must be at least 16")
	}
	return errors.Join(faults...)
}
