// Package settings reads the two configuration files of a controller: the platform's settings in TOML,
// and the operators' tuning as S-expressions. It reports all faults of a file, not only the first one.
package settings

import (
	"fmt"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"

	"opaldale/internal/ident"
)

// Settings is the configuration of one controller.
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

// Peer is another controller of the cluster.
type Peer struct {
	Node    ident.NodeID `toml:"node_name"`
	Zone    string       `toml:"zone"`
	Address string       `toml:"address"`
}

// Endpoints are the addresses (IP address and port) of the services that a controller uses.
type Endpoints struct {
	Cloud string `toml:"cloud"` // the provider's API
	Store string `toml:"state"` // the key-value store
}

// Cluster is the configuration that all nodes share.
type Cluster struct {
	Nodes             int           `toml:"nodes"` // number of controllers
	Zones             []string      `toml:"zones"`
	ClockErrorBoundMS float64       `toml:"time_bound_ms"` // not used: leases depend on elapsed time only
	Teams             []Team        `toml:"teams"`
	Objectives        []Objective   `toml:"objectives"`
	Workers           WorkerTimes   `toml:"workers"`
	Store             StoreLimits   `toml:"state"`
	Cloud             CloudLimits   `toml:"cloud"`
	Resources         NodeResources `toml:"resources"`
}

// Team is a team's quota: its guaranteed CPUs and GPUs, and the limits on them. 0 means no guarantee, or
// no limit.
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
	Share   float64       `toml:"share"`    // fraction of the jobs that must meet the limit
}

// ObjectiveKind is the duration of a job that an objective limits. Unknown kinds are ignored.
type ObjectiveKind string

// The kinds of objectives.
const (
	ObjectiveFinished ObjectiveKind = "finished" // from submission to the end of the job
	ObjectiveWait     ObjectiveKind = "wait"     // from submission to the start of its tasks
)

// WorkerTimes are the intervals and time limits of workers, in seconds.
type WorkerTimes struct {
	HeartbeatS float64 `toml:"report_s"`    // from one heartbeat to the next
	LeaseS     float64 `toml:"lease_s"`     // a worker whose lease is not renewed kills its tasks after this time
	CancelS    float64 `toml:"cancel_s"`    // a cancelled task has ended after this time
	GangWaitS  float64 `toml:"gang_wait_s"` // a task waits this long for the other tasks of its gang
	GangPeerS  float64 `toml:"gang_peer_s"` // the tasks of a gang detect the loss of one of them within this time
}

// StoreLimits are the limits of the key-value store.
type StoreLimits struct {
	RPS      float64 `toml:"rps"`       // requests per second
	WriteRPS float64 `toml:"write_rps"` // puts and deletes per second
	ValueKB  float64 `toml:"value_kb"`  // largest value, in KiB
	TxnOps   int     `toml:"txn_ops"`   // operations in a transaction
	// Announced are limits that the store will introduce at an unknown time, nil if there are none.
	Announced *AnnouncedStoreLimits `toml:"next"`
}

// AnnouncedStoreLimits are limits that the store will introduce. 0 means that a limit will not change.
type AnnouncedStoreLimits struct {
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// Strictest returns the lower of each present and announced limit.
func (s StoreLimits) Strictest() StoreLimits {
	announced := s.Announced
	if announced == nil {
		return s
	}
	if announced.WriteRPS > 0 {
		s.WriteRPS = min(s.WriteRPS, announced.WriteRPS)
	}
	if announced.ValueKB > 0 {
		s.ValueKB = min(s.ValueKB, announced.ValueKB)
	}
	if announced.TxnOps > 0 {
		s.TxnOps = min(s.TxnOps, announced.TxnOps)
	}
	return s
}

// CloudLimits are the limits of the provider's API.
type CloudLimits struct {
	RPS      float64 `toml:"rps"`        // requests per second
	ListLagS float64 `toml:"list_lag_s"` // seconds by which a listing may be out of date
}

// NodeResources are the resources of its machine that a controller may use.
type NodeResources struct {
	Cores    float64 `toml:"cores"`
	MemoryMB float64 `toml:"memory_mb"` // MiB
	Sockets  int     `toml:"sockets"`
}

// Seconds returns the duration for a number of seconds in the settings.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Load reads and checks the platform's settings and, unless tuningPath is empty, the tuning file. The
// error joins all faults of the first file that has any.
func Load(path, tuningPath string) (*Settings, error) {
	platformFile, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := Parse(platformFile)
	if err != nil {
		return nil, err
	}
	if tuningPath != "" {
		tuningFile, err := os.ReadFile(tuningPath)
		if err != nil {
			return nil, err
		}
		if err := s.Tuning.Apply(tuningFile); err != nil {
			return nil, fmt.Errorf("%s: %w", tuningPath, err)
		}
	}
	if err := s.Tuning.check(); err != nil {
		return nil, err
	}
	return s, nil
}

// Parse reads and checks the platform's settings in TOML. The tuning of the result is the default one.
// Unknown fields are ignored. The error joins all faults.
func Parse(b []byte) (*Settings, error) {
	s := &Settings{Tuning: DefaultTuning()}
	if err := toml.Unmarshal(b, s); err != nil {
		return nil, err
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	return s, nil
}
