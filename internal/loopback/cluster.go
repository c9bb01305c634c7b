package loopback

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"math"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/ident"
	"opaldale/internal/server"
	"opaldale/internal/settings"
)

// zones are the zones of the machines, over which the nodes are spread.
var zones = []string{"east", "west"}

// The ends of links beside the nodes, by name, and the machines, by zone.
const (
	Store = "state"
	Cloud = "cloud"
)

// Cluster is a cluster on the loopback interface.
type Cluster struct {
	Network  *Network
	Recorder *Recorder

	provider *provider
	services []*http.Server
	client   *http.Client

	mu       sync.Mutex
	nodes    []*node
	parties  map[string]string // by address
	jobs     map[ident.JobID]Workload
	stopping bool
}

// Options configure a cluster.
type Options struct {
	Nodes int
	// ZoneCapacity is how many machines of each zone and kind the cloud has, by default a few.
	ZoneCapacity int
	// Tune changes the settings of each node. It must not be nil.
	Tune func(*settings.Settings)
}

// Workload is what the tasks of a job do.
type Workload struct {
	FirstDuration time.Duration // run time of the first task; 0: a replica
	DurationStep  time.Duration // by which each task runs longer than the one before
	CPUs          float64       // of each task, set by Submit
}

// node is a controller, whose process is a server that can be killed and restarted.
type node struct {
	name     string
	settings *settings.Settings
	server   *server.Server
}

// Start starts a cluster.
func Start(o Options) (*Cluster, error) {
	c := &Cluster{
		Network:  NewNetwork(),
		Recorder: newRecorder(),
		parties:  map[string]string{},
		jobs:     map[ident.JobID]Workload{},
		client:   &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	c.provider = newProvider(c, o.ZoneCapacity)
	kv := newStore()
	kv.onChange = c.Recorder.recordChange
	storeAddr, err := c.serve(Store, kv.handler())
	if err != nil {
		return nil, err
	}
	cloudAddr, err := c.serve(Cloud, c.provider.handler())
	if err != nil {
		return nil, err
	}
	if err := c.configureNodes(o.Nodes, storeAddr, cloudAddr, o.Tune); err != nil {
		return nil, err
	}
	for i := range c.nodes {
		if err := c.Restart(i); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// serve starts a service and returns its address.
func (c *Cluster) serve(name string, h http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	web := &http.Server{Handler: h}
	c.services = append(c.services, web)
	c.parties[listener.Addr().String()] = name
	go serveHTTP(name, web, listener)
	return listener.Addr().String(), nil
}

// serveHTTP serves requests to a party until its server is closed, and logs any other end.
func serveHTTP(name string, web *http.Server, listener net.Listener) {
	if err := web.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		slog.Error("HTTP server failed", "party", name, "err", err)
	}
}

// freeAddr returns an address that is not in use at present.
func freeAddr() (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// configureNodes makes the settings of the nodes.
func (c *Cluster) configureNodes(nodes int, storeAddr, cloudAddr string, tune func(*settings.Settings)) error {
	for i := range nodes {
		bind, err := freeAddr()
		if err != nil {
			return err
		}
		transportAddr, err := freeAddr()
		if err != nil {
			return err
		}
		n := &node{name: fmt.Sprintf("agent-%d", i), settings: &settings.Settings{
			Zone:          zones[i%len(zones)],
			Bind:          bind,
			TransportAddr: transportAddr,
			Endpoints: settings.Endpoints{Cloud: cloudAddr,
				Store: storeAddr},
			Tuning: settings.DefaultTuning(),
			Cluster: settings.Cluster{
				Nodes:             nodes,
				Zones:             zones,
				ClockErrorBoundMS: 100,
				Teams:             []settings.Team{{Name: "red", CPUs: 40, CPUsMax: 60}, {Name: "blue", CPUs: 20, CPUsMax: 60}},
				Workers:           settings.WorkerTimes{HeartbeatS: 0.5, LeaseS: 8, CancelS: 20, GangWaitS: 5, GangPeerS: 1},
				Store:             settings.StoreLimits{RPS: 500, WriteRPS: 300, ValueKB: 16, TxnOps: 24},
				Cloud:             settings.CloudLimits{RPS: 20, ListLagS: 1},
				Resources: settings.NodeResources{
					Cores:    1,
					MemoryMB: 512,
					Sockets:  1000,
				},
			},
		}}
		n.settings.Node = ident.NodeID(n.name)
		tune(n.settings)
		c.parties[bind], c.parties[transportAddr] = n.name, n.name
		c.nodes = append(c.nodes, n)
	}
	for _, n := range c.nodes {
		for _, o := range c.nodes {
			if o != n {
				n.settings.Peers = append(n.settings.Peers,
					settings.Peer{Node: o.settings.Node, Zone: o.settings.Zone, Address: o.settings.TransportAddr})
			}
		}
	}
	return nil
}

// partyAt returns the party at an address: a node, a service, or the zone of a machine.
func (c *Cluster) partyAt(addr string) string {
	c.mu.Lock()
	name, ok := c.parties[addr]
	c.mu.Unlock()
	if ok {
		return name
	}
	return c.provider.zoneOf(addr)
}

// Names returns the names of the nodes.
func (c *Cluster) Names() []string {
	var names []string
	for _, n := range c.nodes {
		names = append(names, n.name)
	}
	return names
}

// Restart starts the next process of a node.
func (c *Cluster) Restart(i int) error {
	n := c.nodes[i]
	s, err := server.New(n.settings, c.Network.Dialer(n.name, c.partyAt))
	if err != nil {
		return err
	}
	c.mu.Lock()
	n.server = s
	c.mu.Unlock()
	go func() { slog.Debug("node stopped serving", "node", n.name, "err", s.Serve()) }()
	return nil
}

// Kill kills the process of a node.
func (c *Cluster) Kill(i int) {
	c.mu.Lock()
	s := c.nodes[i].server
	c.mu.Unlock()
	s.Close()
}

// Stop stops the nodes, the machines and the services.
func (c *Cluster) Stop() {
	c.Network.HealAll()
	c.mu.Lock()
	c.stopping = true
	c.mu.Unlock()
	for i := range c.nodes {
		c.Kill(i)
	}
	c.provider.terminateAll()
	for _, s := range c.services {
		_ = s.Close() // nothing uses the service any more
	}
}

func (c *Cluster) stopped() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopping
}

func (c *Cluster) nodeAddr(i int) string {
	return c.nodes[i%len(c.nodes)].settings.Bind
}

func (c *Cluster) homeNode(id ident.MachineID) uint32 {
	f := fnv.New32()
	f.Write([]byte(id))
	return f.Sum32() % uint32(len(c.nodes))
}

func (c *Cluster) heartbeatInterval() time.Duration {
	return settings.Seconds(c.nodes[0].settings.Cluster.Workers.HeartbeatS)
}

func (c *Cluster) leaseDuration() time.Duration {
	return settings.Seconds(c.nodes[0].settings.Cluster.Workers.LeaseS)
}

// CancelDeadline returns how long tasks of a cancelled job may still run.
func (c *Cluster) CancelDeadline() time.Duration {
	return settings.Seconds(c.nodes[0].settings.Cluster.Workers.CancelS)
}

// mayStillRun reports whether tasks of a machine may still run, as its lease has not expired.
func (c *Cluster) mayStillRun(id ident.MachineID) bool {
	w := c.provider.worker(id)
	return w != nil && w.mayStillRun()
}

// workload returns what the tasks of a job do.
func (c *Cluster) workload(id ident.JobID) (Workload, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, ok := c.jobs[id]
	return w, ok
}

// Answer is a node's reply to a user.
type Answer struct {
	Status int // HTTP status, 0: no reply
	Job    api.JobView
}

// Submit submits a job with a workload at a node.
func (c *Cluster) Submit(i int, s api.Spec, w Workload) Answer {
	w.CPUs = s.VCPUs
	c.mu.Lock()
	c.jobs[s.ID] = w
	c.mu.Unlock()
	body, err := json.Marshal(s)
	if err != nil {
		return Answer{}
	}
	return c.ask(i, http.MethodPost, "/v2/runs", body)
}

// Get queries a node about a job.
func (c *Cluster) Get(i int, id ident.JobID) Answer {
	return c.ask(i, http.MethodGet, "/v2/runs/"+string(id), nil)
}

// Cancel cancels a job at a node.
func (c *Cluster) Cancel(i int, id ident.JobID) Answer {
	return c.ask(i, http.MethodPost, "/v2/runs/"+string(id)+"/cancel", nil)
}

// ask sends a request to a node.
func (c *Cluster) ask(i int, method, path string, body []byte) Answer {
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+c.nodeAddr(i)+path, bytes.NewReader(body))
	if err != nil {
		return Answer{}
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return Answer{}
	}
	defer resp.Body.Close()
	a := Answer{Status: resp.StatusCode}
	if json.NewDecoder(resp.Body).Decode(&a.Job) != nil {
		a.Job = api.JobView{}
	}
	return a
}

// Violations returns the invariants that were violated, by the workers' own record.
func (c *Cluster) Violations() []string {
	c.Recorder.mu.Lock()
	defer c.Recorder.mu.Unlock()
	return slices.Clone(c.Recorder.violations)
}

// Moves returns how many moves of running tasks were recorded.
func (c *Cluster) Moves() int {
	c.Recorder.mu.Lock()
	defer c.Recorder.mu.Unlock()
	total := 0
	for _, n := range c.Recorder.moves {
		total += n
	}
	return total
}

// Load returns the number of machines that run tasks, the number of these tasks, and the imbalance: the coefficient of
// variation of the CPUs in use on all machines that have booted.
func (c *Cluster) Load() (machines, tasks int, imbalance float64) {
	used := c.provider.runningMachines()
	for machine, list := range c.Recorder.running() {
		machines++
		for _, task := range list {
			w, _ := c.workload(task.Job)
			used[machine] += w.CPUs
			tasks++
		}
	}
	sum, square := 0.0, 0.0
	for _, cpus := range used {
		sum += cpus
		square += cpus * cpus
	}
	if sum == 0 {
		return machines, tasks, 0
	}
	n := float64(len(used))
	mean := sum / n
	return machines, tasks, math.Sqrt(max(0, square/n-mean*mean)) / mean
}

// StartCount returns how many tasks were started.
func (c *Cluster) StartCount() int {
	c.Recorder.mu.Lock()
	defer c.Recorder.mu.Unlock()
	return c.Recorder.startCount
}
