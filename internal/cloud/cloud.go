// Package cloud is the client of the cloud provider's API, which provisions, lists and terminates
// machines.
package cloud

import (
	"opaldale/internal/ident"
)

// Op is an operation of the API.
type Op uint8

// The operations of the API.
const (
	Catalog   Op = iota // lists the types of machines
	Provision           // provisions machines of a type in a zone
	Terminate           // terminates machines
	List                // lists machines
)

// MachineType is a type of machines.
type MachineType struct {
	SKU         string   `json:"sku"`
	VCPUs       float64  `json:"vcpus"`
	GPUs        float64  `json:"cards"`
	MemoryGB    float64  `json:"memory_gb"`
	LocalDiskGB float64  `json:"local_gb"`      // disk for cached images
	PullGBPerS  float64  `json:"pull_gb_per_s"` // usual rate at which images are pulled
	HourlyPrice float64  `json:"hourly"`        // of an on-demand machine
	SpotPrice   float64  `json:"market_price"`  // current price of a spot machine for an hour
	StartupS    float64  `json:"startup_s"`     // usual time from provisioning until the worker is up
	Zones       []string `json:"sites"`         // where the type is offered
}

// InstanceStatus is the state of a machine in the provider's list.
type InstanceStatus string

// The states of a listed machine. One that is terminated or reclaimed is not listed.
const (
	InstanceBooting InstanceStatus = "booting"
	InstanceRunning InstanceStatus = "running"
	InstanceFailed  InstanceStatus = "failed" // stopped by itself; listed until it is terminated
)

// ListedMachine is a machine in the provider's list, which may lag behind.
type ListedMachine struct {
	ID     ident.MachineID `json:"id"`
	Addr   string          `json:"addr"` // of its worker; "" while not known
	Model  string          `json:"model"`
	Zone   string          `json:"site"`
	Spot   bool            `json:"standby"`
	Status InstanceStatus  `json:"status"`
	AgeS   float64         `json:"age_s"` // since it was provisioned
}

// Request is a call of the API. Only the fields of its operation are used.
type Request struct {
	Op         Op                `json:"-"`
	RequestID  string            `json:"hire"` // of Provision; repeating a request with the same ID is idempotent
	Model      string            `json:"model"`
	Zone       string            `json:"site"`
	Spot       bool              `json:"standby"`
	Count      int               `json:"number"`
	MachineIDs []ident.MachineID `json:"-"` // of Terminate
	StartAfter ident.MachineID   `json:"-"` // of List: the page begins after this machine
	// NotAfter is the deadline for sending the request, by this node's clock; 0: none.
	NotAfter ident.MonotonicTime `json:"-"`
}

// Outcome is the result of a call, as far as the caller can know it.
type Outcome uint8

// The outcomes of a call. Only a request without an answer may be carried out later, or have been.
const (
	NoAnswer    Outcome = iota // no response, or one that the API does not define
	OK                         // carried out
	NoCapacity                 // the provider has no machine of that type and zone
	Unavailable                // rate limit or outage of the API
	Invalid                    // malformed request
	NotSent                    // its NotAfter had passed before it was sent
)

// Response is the response to a Request.
type Response struct {
	Outcome           Outcome
	Error             string            // for the log
	MachineTypes      []MachineType     // of Catalog
	Provisioned       []ident.MachineID // of Provision; may be fewer than requested
	Machines          []ListedMachine   // of List, by ID
	Truncated         bool              // of List: there are more machines after these
	ConnectionRefused bool              // the connection was refused; the request was not sent
}
