package simulator

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"opaldale/internal/api"
	"opaldale/internal/cloud"
	"opaldale/internal/controller"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/transport"
	"opaldale/internal/workers"
)

// Digest hashes all messages that the controllers of a run send, in order: requests to the
// key-value store and the cloud, commands to workers, frames to other controllers, and responses
// to users and workers. Each record includes the simulated time, the sender and the receiver.
// A nil Digest records nothing.
//
// Two builds with the same digest for a seed behaved identically in that run. The encoding uses
// only the labels below and wire formats, so that renaming a type, a field or a constant does
// not change the digest. Log lines and metrics are not included.
type Digest struct {
	hash   hash.Hash
	record []byte         // the record being encoded
	counts map[string]int // number of records by kind
}

// Kinds of records.
const (
	storeRecord   = "state"
	cloudRecord   = "cloud"
	commandRecord = "command"
	frameRecord   = "frame"
	answerRecord  = "answer"
)

// Labels of the receivers that have no name of their own.
const (
	storeLabel = "state service"
	cloudLabel = "cloud"
)

var storeLabels = map[kvstore.Op]string{
	kvstore.Get: "get", kvstore.List: "list", kvstore.Txn: "txn", kvstore.GrantLease: "grant",
	kvstore.RenewLease: "extend", kvstore.RevokeLease: "revoke", kvstore.Watch: "follow",
}

var cloudLabels = map[cloud.Op]string{
	cloud.Catalog: "catalog", cloud.Provision: "rent", cloud.Terminate: "return", cloud.List: "list",
}

var requestLabels = map[transport.Method]string{
	transport.SubmitJob: "submit", transport.GetJob: "poll", transport.CancelJob: "cancel", transport.WorkerHeartbeat: "report",
}

// NewDigest returns an empty digest.
func NewDigest() *Digest { return &Digest{hash: sha256.New(), counts: map[string]int{}} }

// Sum returns the hash of all records so far, in hexadecimal.
func (d *Digest) Sum() string { return hex.EncodeToString(d.hash.Sum(nil)) }

// storeRequest records a request from a controller to the key-value store.
func (d *Digest) storeRequest(now ident.MonotonicTime, from string, r kvstore.Request) {
	if d == nil {
		return
	}
	d.begin(storeRecord, now, from, storeLabel)
	d.text("operation", storeLabels[r.Op])
	d.text("key", r.Key)
	d.text("prefix", r.Prefix)
	d.text("after", r.StartAfter)
	d.number("revision", uint64(r.Revision))
	d.number("conditions", uint64(len(r.Compares)))
	for _, c := range r.Compares {
		d.text("key", c.Key)
		d.number("revision", uint64(c.Revision))
	}
	d.number("changes", uint64(len(r.Mutations)))
	for _, c := range r.Mutations {
		d.text("put", c.Put)
		d.text("value", string(c.Value))
		d.number("lease", c.LeaseID)
		d.text("delete", c.Delete)
	}
	d.number("ttl", uint64(r.TTL))
	d.number("lease", r.LeaseID)
	d.number("block", uint64(r.Block))
	d.number("timeout", uint64(r.Timeout))
	d.end()
}

// cloudRequest records a request from a controller to the cloud.
func (d *Digest) cloudRequest(now ident.MonotonicTime, from string, r cloud.Request) {
	if d == nil {
		return
	}
	d.begin(cloudRecord, now, from, cloudLabel)
	d.text("operation", cloudLabels[r.Op])
	d.text("request", r.RequestID)
	d.text("model", r.Model)
	d.text("zone", r.Zone)
	d.flag("spot", r.Spot)
	d.number("number", uint64(r.Count))
	d.number("machines", uint64(len(r.MachineIDs)))
	for _, h := range r.MachineIDs {
		d.text("machine", string(h))
	}
	d.text("after", string(r.StartAfter))
	d.number("not after", uint64(r.NotAfter))
	d.end()
}

// command records a command request from a controller to a worker.
func (d *Digest) command(now ident.MonotonicTime, from string, c workers.CommandCall) {
	if d == nil {
		return
	}
	d.begin(commandRecord, now, from, c.Addr)
	d.text("zone", c.Zone)
	d.number("not after", uint64(c.NotAfter))
	d.text("body", string(api.JSON(c.Body)))
	d.end()
}

// frame records an encoded frame that one controller sends to another.
func (d *Digest) frame(now ident.MonotonicTime, from, to string, encoded []byte) {
	if d == nil {
		return
	}
	d.begin(frameRecord, now, from, to)
	d.text("frame", string(encoded))
	d.end()
}

// answer records the response of a controller to a request from a user or a worker.
func (d *Digest) answer(now ident.MonotonicTime, from, to string, method transport.Method, job string, r controller.Response) {
	if d == nil {
		return
	}
	d.begin(answerRecord, now, from, to)
	d.text("request", requestLabels[method])
	d.text("job", job)
	d.number("status", uint64(r.Status))
	d.number("retry after", uint64(r.RetryAfterS))
	d.text("body", string(r.Body))
	d.end()
}

// begin starts a record with its kind, time, sender and receiver.
func (d *Digest) begin(kind string, now ident.MonotonicTime, from, to string) {
	d.counts[kind]++
	d.record = d.record[:0]
	d.text("record", kind)
	d.number("time", uint64(now))
	d.text("from", from)
	d.text("to", to)
}

// end adds the record to the hash, prefixed with its length.
func (d *Digest) end() {
	d.hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(d.record))))
	d.hash.Write(d.record)
}

// text appends a text field: its label and its value, each prefixed with its length.
func (d *Digest) text(label, value string) {
	for _, s := range []string{label, value} {
		d.record = binary.AppendUvarint(d.record, uint64(len(s)))
		d.record = append(d.record, s...)
	}
}

// number appends a numeric field.
func (d *Digest) number(label string, value uint64) {
	d.text(label, "")
	d.record = binary.BigEndian.AppendUint64(d.record, value)
}

// flag appends a boolean field.
func (d *Digest) flag(label string, value bool) {
	n := uint64(0)
	if value {
		n = 1
	}
	d.number(label, n)
}
