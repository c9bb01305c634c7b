// Package settings reads and validates the two configuration files of a controller: the platform's
// settings in TOML, and the operators' tuning as S-expressions. If a file can be decoded, the error names all
// invalid settings, not only the first one.
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

// Endpoints are the addresses (IP address and port) of the external services that a controller uses.
type Endpoints struct {
	Cloud string `toml:"cloud"` // the provider's API
	Store string `toml:"state"` // the key-value store
}

// Cluster is the part of the configuration that is the same on all nodes.
type Cluster struct {
	Nodes             int           `toml:"nodes"` // number of controllers
	Zones             []string      `toml:"zones"`
	ClockErrorBoundMS float64       `toml:"time_bound_ms"` // unused: leases depend on elapsed time only, not on the wall clock
	Teams             []Team        `toml:"teams"`
	Objectives        []Objective   `toml:"objectives"`
	Workers           WorkerTimes   `toml:"workers"`
	Store             StoreLimits   `toml:"state"`
	Cloud             CloudLimits   `toml:"cloud"`
	Resources         NodeResources `toml:"resources"`
}

// Team is the quota of a team: the CPUs and GPUs that are guaranteed to it, and the maximum that it may use.
// 0 means no guarantee or no maximum.
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
	Share   float64       `toml:"share"`    // fraction of the jobs that must meet the time limit
}

// ObjectiveKind is the duration that an objective limits. Objectives of unknown kinds are ignored.
type ObjectiveKind string

// The kinds of objectives.
const (
	ObjectiveFinished ObjectiveKind = "finished" // from submission to the end of the job
	ObjectiveWait     ObjectiveKind = "wait"     // from submission to the start of its tasks
)

// WorkerTimes are the intervals and timeouts of workers, in seconds.
type WorkerTimes struct {
	HeartbeatS float64 `toml:"report_s"`    // interval between heartbeats
	LeaseS     float64 `toml:"lease_s"`     // a worker kills its tasks if its lease is not renewed for this time
	CancelS    float64 `toml:"cancel_s"`    // maximum time from the cancellation of a task to its end
	GangWaitS  float64 `toml:"gang_wait_s"` // how long a task waits for the other tasks of its gang to start
	GangPeerS  float64 `toml:"gang_peer_s"` // maximum time until the tasks of a gang detect the loss of one of them
}

// StoreLimits are the limits of the key-value store.
type StoreLimits struct {
	RPS      float64 `toml:"rps"`       // requests per second
	WriteRPS float64 `toml:"write_rps"` // puts and deletes per second
	ValueKB  float64 `toml:"value_kb"`  // maximum size of a value, in KiB
	TxnOps   int     `toml:"txn_ops"`   // maximum number of operations in a transaction
	// Announced are limits that the store will introduce at an unknown time; nil if there are none.
	Announced *AnnouncedStoreLimits `toml:"next"`
}

// AnnouncedStoreLimits are limits that the store will introduce, see StoreLimits. A limit of 0 will not change.
type AnnouncedStoreLimits struct {
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// Strictest returns, for each limit, the lower one of the current and the announced value.
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
	ListLagS float64 `toml:"list_lag_s"` // maximum staleness of a listing, in seconds
}

// NodeResources are the resources that a controller may use on its machine.
type NodeResources struct {
	Cores    float64 `toml:"cores"`
	MemoryMB float64 `toml:"memory_mb"` // MiB
	Sockets  int     `toml:"sockets"`
}

// Seconds converts a number of seconds in the settings to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Load reads and validates the platform's settings and, unless tuningPath is empty, the tuning file. If both
// files are invalid, the error is about the platform's settings only. Values in the tuning file are checked
// against their bounds only if Apply accepts the file.
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

// Parse parses and validates the platform's settings in TOML. The result has the default tuning. Unknown
// fields are ignored. The error is the first decoding error, or joins the errors of all invalid settings.
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
