// Package cloud contains the client of the cloud provider's API, which provisions, lists and terminates
// machines.
package cloud

import (
	"opaldale/internal/ident"
)

// Op is an operation of the provider's API.
type Op uint8

// The operations of the provider's API.
const (
	Catalog   Op = iota // lists the machine types
	Provision           // provisions machines of a type in a zone
	Terminate           // terminates machines
	List                // lists machines
)

// MachineType is a machine type that the provider offers.
type MachineType struct {
	SKU         string   `json:"sku"`
	VCPUs       float64  `json:"vcpus"`
	GPUs        float64  `json:"cards"`
	MemoryGB    float64  `json:"memory_gb"`
	LocalDiskGB float64  `json:"local_gb"`      // size of the disk for cached images
	PullGBPerS  float64  `json:"pull_gb_per_s"` // typical rate at which images are pulled
	HourlyPrice float64  `json:"hourly"`        // price of an on-demand machine for an hour
	SpotPrice   float64  `json:"market_price"`  // current price of a spot machine for an hour
	StartupS    float64  `json:"startup_s"`     // typical time from provisioning until the worker is running
	Zones       []string `json:"sites"`         // zones in which the type is offered
}

// InstanceStatus is the state of a machine in the provider's listing.
type InstanceStatus string

// The states of a listed machine. Terminated and reclaimed machines are not listed.
const (
	InstanceBooting InstanceStatus = "booting"
	InstanceRunning InstanceStatus = "running"
	InstanceFailed  InstanceStatus = "failed" // the machine stopped without a request; it is listed until it is terminated
)

// ListedMachine is a machine in the provider's listing, which may be out of date.
type ListedMachine struct {
	ID     ident.MachineID `json:"id"`
	Addr   string          `json:"addr"` // address of the worker; "" until it is known
	Model  string          `json:"model"`
	Zone   string          `json:"site"`
	Spot   bool            `json:"standby"`
	Status InstanceStatus  `json:"status"`
	AgeS   float64         `json:"age_s"` // time since the machine was provisioned, in seconds
}

// Request is a request to the provider's API. Only the fields that belong to the operation are used.
type Request struct {
	Op         Op                `json:"-"`
	RequestID  string            `json:"hire"` // of Provision; requests with the same ID are carried out only once
	Model      string            `json:"model"`
	Zone       string            `json:"site"`
	Spot       bool              `json:"standby"`
	Count      int               `json:"number"`
	MachineIDs []ident.MachineID `json:"-"` // of Terminate
	StartAfter ident.MachineID   `json:"-"` // of List: the page starts after this machine
	// NotAfter is the deadline for sending the request, on the monotonic clock of this node; 0: none.
	NotAfter ident.MonotonicTime `json:"-"`
}

// Outcome is the result of a request.
type Outcome uint8

// The outcomes of a request. After NoResponse it is unknown whether the provider carried out the request, and
// the provider may still do so later. After all other outcomes except OK it did not carry out the request.
const (
	NoResponse  Outcome = iota // no response, or a response that the API does not define
	OK                         // the request was carried out
	NoCapacity                 // the provider has no machine of the type in the zone
	Unavailable                // rate limit or outage of the API; not carried out
	Invalid                    // the request was malformed
	NotSent                    // NotAfter had passed before the request was sent
)

// Response is the response to a Request.
type Response struct {
	Outcome           Outcome
	Error             string            // error text for the log
	MachineTypes      []MachineType     // of Catalog
	Provisioned       []ident.MachineID // of Provision; may be fewer than requested
	Machines          []ListedMachine   // of List, by ID
	Truncated         bool              // of List: more machines follow on the next page
	ConnectionRefused bool              // the request was not sent because the connection was refused
}
