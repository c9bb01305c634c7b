package simulator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/upgrade"
)

// The types below are the storage formats of the version in production, which deploy/service.toml names. They can be
// removed together with package upgrade.

// legacyRecord is the placement of a task in the format of the version in production.
type legacyRecord struct {
	Attempt ident.Attempt     `json:"t,omitempty"`
	Host    ident.MachineID   `json:"h,omitempty"`
	Session ident.Incarnation `json:"n,omitempty"`
	Done    bool              `json:"d,omitempty"`
}

// legacyHeader is the header record of a job.
type legacyHeader struct {
	Spec  json.RawMessage `json:"spec"`
	Seq   uint64          `json:"seq"`
	AtMS  int64           `json:"at_ms"`
	Phase string          `json:"phase"`
	LSN   uint64          `json:"lsn,omitempty"`
	Tasks []legacyRecord  `json:"tasks,omitempty"`
}

// legacySegment is a further record of a job whose tasks do not fit in its header record.
type legacySegment struct {
	LSN   uint64         `json:"lsn,omitempty"`
	Tasks []legacyRecord `json:"tasks"`
}

// legacyLog is a record of the commit log.
type legacyLog struct {
	LSN   uint64 `json:"n"`
	Lines []struct {
		Job   ident.JobID `json:"j"`
		Index int         `json:"i,omitempty"`
		legacyRecord
	} `json:"l"`
}

// legacyGroup is the record of the machines of one type in one zone.
type legacyGroup struct {
	Model string `json:"model"`
	Zone  string `json:"site"`
	Spot  bool   `json:"standby,omitempty"`
	Hosts []struct {
		Host   ident.MachineID `json:"h"`
		Addr   string          `json:"a,omitempty"`
		BornMS int64           `json:"b"`
	} `json:"hosts"`
}

// checkLegacyValue returns an error if the version in production could not read a value without loss. That version drops
// unknown fields when it writes the value again, so the value must have none.
func checkLegacyValue(path string, value json.RawMessage) error {
	var v any
	prefix, rest, _ := strings.Cut(path, "/")
	switch {
	case prefix == "term":
		v = new(ident.Term)
	case prefix == "live" && strings.Contains(rest, "/"):
		v = new(legacySegment)
	case prefix == "live":
		v = new(legacyHeader)
	case prefix == "log":
		v = new(legacyLog)
	case prefix == "fleet":
		v = new(legacyGroup)
	default:
		return nil
	}
	d := json.NewDecoder(bytes.NewReader(value))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if h, ok := v.(*legacyHeader); ok {
		var spec struct {
			Shape string `json:"shape"`
		}
		if json.Unmarshal(h.Spec, &spec) != nil || spec.Shape != "batch" && spec.Shape != "service" {
			return fmt.Errorf("%s: got a job of shape %q, want batch or service", path, spec.Shape)
		}
	}
	return nil
}

// legacyRequest wraps f in a check that a legacy node can read the values of the response. It returns false for a request
// that such a node would not send.
func (e *nodeEnv) legacyRequest(r kvstore.Request, f func(kvstore.Response)) (func(kvstore.Response), bool) {
	if r.Prefix == upgrade.NodeKeyPrefix || strings.HasPrefix(r.Key, upgrade.NodeKeyPrefix) {
		return nil, false // legacy nodes do not announce or read format levels
	}
	return func(a kvstore.Response) {
		pairs := a.KeyValues
		if r.Op == kvstore.Get && a.Outcome == kvstore.OK {
			pairs = []kvstore.KeyValue{{Key: r.Key, Value: a.Value}}
		}
		for _, p := range pairs {
			if err := checkLegacyValue(p.Key, p.Value); err != nil {
				e.sim().reportViolation("a legacy node cannot read the value, or would drop fields of it: %v", err)
			}
		}
		f(a)
	}, true
}
