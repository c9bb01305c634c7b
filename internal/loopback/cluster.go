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
	"opaldale/internal/decode"
	"opaldale/internal/ident"
	"opaldale/internal/server"
	"opaldale/internal/settings"
)

// zones are the zones of the machines. Nodes are assigned to them in turn.
var zones = []string{"east", "west"}

// Store and Cloud are the party names of the key-value store and of the cloud. The other parties are the nodes, by name,
// and the machines, by zone.
const (
	Store = "state"
	Cloud = "cloud"
)

// Cluster is a cluster of controllers, workers, a key-value store and a cloud on the loopback interface.
type Cluster struct {
	Network  *Network
	Recorder *Recorder

	provider *provider
	delayer  *delayer
	services []*http.Server
	ports    []reservedPort // of the nodes
	client   *http.Client

	mu       sync.Mutex
	nodes    []*node
	parties  map[string]string // party name by address
	jobs     map[ident.JobID]Workload
	stopping bool
}

// Options configures a cluster.
type Options struct {
	Nodes int
	// ZoneCapacity is the maximum number of machines per zone, for spot and on-demand machines separately. 0 means 8.
	ZoneCapacity int
	// Seed seeds the delays of messages, which SetDelays sets.
	Seed uint64
	// Tune modifies the settings of each node before the node starts. It must not be nil.
	Tune func(*settings.Settings)
}

// Workload defines how long the tasks of a job run.
type Workload struct {
	FirstDuration time.Duration // run time of the first task; 0 for a replica, which runs until it is stopped
	DurationStep  time.Duration // additional run time of each task over the previous one
	CPUs          float64       // per task, set by Submit
}

// node is a controller. Its process is a server.Server that can be killed and restarted.
type node struct {
	name     string
	settings *settings.Settings
	server   *server.Server
}

// Start starts a cluster. The caller must stop it.
func Start(o Options) (*Cluster, error) {
	c := &Cluster{
		Network:  NewNetwork(),
		Recorder: newRecorder(),
		parties:  map[string]string{},
		jobs:     map[ident.JobID]Workload{},
		client:   &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	c.provider, c.delayer = newProvider(c, o.ZoneCapacity), newDelayer(o.Seed)
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

// serve starts the HTTP server of the store or of the cloud and returns its address.
func (c *Cluster) serve(name string, h http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	httpServer := &http.Server{Handler: h}
	c.services = append(c.services, httpServer)
	c.parties[listener.Addr().String()] = name
	go serveHTTP(name, httpServer, listener)
	return listener.Addr().String(), nil
}

// serveHTTP serves HTTP requests to a party until its server is closed, and logs any other error.
func serveHTTP(name string, httpServer *http.Server, listener net.Listener) {
	if err := httpServer.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		slog.Error("HTTP server failed", "party", name, "err", err)
	}
}

// reserveAddr returns a loopback address that stays reserved until the cluster stops, also while no process listens on it.
func (c *Cluster) reserveAddr() (string, error) {
	port, err := reservePort()
	if err != nil {
		return "", err
	}
	c.ports = append(c.ports, port)
	return port.addr.String(), nil
}

// configureNodes creates the nodes with their settings.
func (c *Cluster) configureNodes(nodes int, storeAddr, cloudAddr string, tune func(*settings.Settings)) error {
	for i := range nodes {
		bind, err := c.reserveAddr()
		if err != nil {
			return err
		}
		transportAddr, err := c.reserveAddr()
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

// SetDelays replaces the delays of messages between controllers and workers. At first there are none.
func (c *Cluster) SetDelays(delays Delays) { c.delayer.set(delays) }

// partyAt returns the party that serves an address: a node, Store, Cloud, or the zone of a machine.
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

// Restart starts a new process of a node.
func (c *Cluster) Restart(i int) error {
	n := c.nodes[i]
	s, err := server.New(n.settings, c.Network.Dialer(n.name, c.partyAt))
	if err != nil {
		return err
	}
	c.mu.Lock()
	n.server = s
	c.mu.Unlock()
	go func() { slog.Debug("node server stopped", "node", n.name, "err", s.Serve()) }()
	return nil
}

// Kill kills the process of a node.
func (c *Cluster) Kill(i int) {
	c.mu.Lock()
	s := c.nodes[i].server
	c.mu.Unlock()
	s.Close()
}

// Stop heals all links and stops the nodes, the machines, the store and the cloud.
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
		_ = s.Close() // all clients have stopped, so an error has no effect
	}
	for _, port := range c.ports {
		port.release()
	}
}

// stopped reports whether Stop was called.
func (c *Cluster) stopped() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopping
}

// nodeAddr returns the HTTP address of node i modulo the number of nodes.
func (c *Cluster) nodeAddr(i int) string {
	return c.nodes[i%len(c.nodes)].settings.Bind
}

// initialNode returns the index of the node to which the worker of a machine sends its first heartbeat.
func (c *Cluster) initialNode(id ident.MachineID) uint32 {
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

// CancelDeadline returns the time after a cancellation within which all tasks of the job must have stopped.
func (c *Cluster) CancelDeadline() time.Duration {
	return settings.Seconds(c.nodes[0].settings.Cluster.Workers.CancelS)
}

// mayStillRun reports whether tasks may still run on a machine: it is not terminated and its lease has not expired.
func (c *Cluster) mayStillRun(id ident.MachineID) bool {
	w := c.provider.worker(id)
	return w != nil && w.mayStillRun()
}

// workload returns the workload of a job.
func (c *Cluster) workload(id ident.JobID) (Workload, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, ok := c.jobs[id]
	return w, ok
}

// Response is the response of a node to a user.
type Response struct {
	Status int // HTTP status, 0 if there was no response
	Job    api.JobView
}

// Submit submits a job to a node. The tasks of the job run as the workload defines.
func (c *Cluster) Submit(i int, s api.Spec, w Workload) Response {
	w.CPUs = s.VCPUs
	c.mu.Lock()
	c.jobs[s.ID] = w
	c.mu.Unlock()
	body, err := json.Marshal(s)
	if err != nil {
		return Response{}
	}
	return c.sendRequest(i, http.MethodPost, "/v2/runs", body)
}

// Get requests the status of a job from a node.
func (c *Cluster) Get(i int, id ident.JobID) Response {
	return c.sendRequest(i, http.MethodGet, "/v2/runs/"+string(id), nil)
}

// Cancel requests a node to cancel a job.
func (c *Cluster) Cancel(i int, id ident.JobID) Response {
	return c.sendRequest(i, http.MethodPost, "/v2/runs/"+string(id)+"/cancel", nil)
}

// sendRequest sends an HTTP request to a node.
func (c *Cluster) sendRequest(i int, method, path string, body []byte) Response {
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+c.nodeAddr(i)+path, bytes.NewReader(body))
	if err != nil {
		return Response{}
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return Response{}
	}
	defer resp.Body.Close()
	response := Response{Status: resp.StatusCode}
	if decode.JSONFrom(resp.Body, &response.Job) != nil {
		response.Job = api.JobView{}
	}
	return response
}

// Violations returns a description of each invariant violation in the record of the workers.
func (c *Cluster) Violations() []string {
	c.Recorder.mu.Lock()
	defer c.Recorder.mu.Unlock()
	return slices.Clone(c.Recorder.violations)
}

// Moves returns the number of moves of running tasks in the records of the store.
func (c *Cluster) Moves() int {
	c.Recorder.mu.Lock()
	defer c.Recorder.mu.Unlock()
	total := 0
	for _, n := range c.Recorder.moves {
		total += n
	}
	return total
}

// Load returns the number of machines that run tasks, the number of running tasks, and the imbalance, which is the
// coefficient of variation of the CPUs in use over all machines that have booted.
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

// StartCount returns the number of task starts, including those of repeated attempts.
func (c *Cluster) StartCount() int {
	c.Recorder.mu.Lock()
	defer c.Recorder.mu.Unlock()
	return c.Recorder.startCount
}
