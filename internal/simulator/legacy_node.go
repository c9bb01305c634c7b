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

// What follows stands for nodes of the version in production (deploy/service.toml):
// its formats, frozen, and what it refuses. It can go with package upgrade.

type legacyRecord struct {
	Attempt ident.Attempt     `json:"t,omitempty"`
	Host    ident.MachineID   `json:"h,omitempty"`
	Session ident.Incarnation `json:"n,omitempty"`
	Done    bool              `json:"d,omitempty"`
}

type legacyHeader struct {
	Spec  json.RawMessage `json:"spec"`
	Seq   uint64          `json:"seq"`
	AtMS  int64           `json:"at_ms"`
	Phase string          `json:"phase"`
	LSN   uint64          `json:"lsn,omitempty"`
	Tasks []legacyRecord  `json:"tasks,omitempty"`
}

type legacySegment struct {
	LSN   uint64         `json:"lsn,omitempty"`
	Tasks []legacyRecord `json:"tasks"`
}

type legacyLog struct {
	LSN   uint64 `json:"n"`
	Lines []struct {
		Job   ident.JobID `json:"j"`
		Index int         `json:"i,omitempty"`
		legacyRecord
	} `json:"l"`
}

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

// checkLegacyValue reads a value as the old version does, which keeps nothing that it doesn't
// know when it puts the value again: what it doesn't know must not be there.
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
			return fmt.Errorf("%s: a job of shape %q", path, spec.Shape)
		}
	}
	return nil
}

// legacyRequest has a request of an old node answered as that one sees it.
func (e *nodeEnv) legacyRequest(r kvstore.Request, f func(kvstore.Response)) (func(kvstore.Response), bool) {
	if r.Prefix == upgrade.NodeKeyPrefix || strings.HasPrefix(r.Key, upgrade.NodeKeyPrefix) {
		return nil, false // it knows of no such thing
	}
	return func(a kvstore.Response) {
		pairs := a.KeyValues
		if r.Op == kvstore.Get && a.Outcome == kvstore.OK {
			pairs = []kvstore.KeyValue{{Key: r.Key, Value: a.Value}}
		}
		for _, p := range pairs {
			if err := checkLegacyValue(p.Key, p.Value); err != nil {
				e.sim().reportViolation("an old node can't read, or would not keep: %v", err)
			}
		}
		f(a)
	}, true
}
