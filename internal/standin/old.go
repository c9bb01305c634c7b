package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"opaldale/internal/ident"
	"opaldale/internal/statesvc"
	"opaldale/internal/upgrade"
)

// What follows stands for nodes of the version in production (deploy/service.toml):
// its formats, frozen, and what it refuses. It can go with package upgrade.

type oldRecord struct {
	Attempt ident.Attempt     `json:"t,omitempty"`
	Host    ident.MachineID   `json:"h,omitempty"`
	Session ident.Incarnation `json:"n,omitempty"`
	Done    bool              `json:"d,omitempty"`
}

type oldHeader struct {
	Spec  json.RawMessage `json:"spec"`
	Seq   uint64          `json:"seq"`
	AtMS  int64           `json:"at_ms"`
	Phase string          `json:"phase"`
	LSN   uint64          `json:"lsn,omitempty"`
	Tasks []oldRecord     `json:"tasks,omitempty"`
}

type oldSegment struct {
	LSN   uint64      `json:"lsn,omitempty"`
	Tasks []oldRecord `json:"tasks"`
}

type oldLog struct {
	LSN   uint64 `json:"n"`
	Lines []struct {
		Job   ident.JobID `json:"j"`
		Index int         `json:"i,omitempty"`
		oldRecord
	} `json:"l"`
}

type oldGroup struct {
	Model string `json:"model"`
	Zone  string `json:"site"`
	Spot  bool   `json:"standby,omitempty"`
	Hosts []struct {
		Host   ident.MachineID `json:"h"`
		Addr   string          `json:"a,omitempty"`
		BornMS int64           `json:"b"`
	} `json:"hosts"`
}

// readOld reads a value as the old version does, which keeps nothing that it doesn't
// know when it puts the value again: what it doesn't know must not be there.
func readOld(path string, value json.RawMessage) error {
	var v any
	prefix, rest, _ := strings.Cut(path, "/")
	switch {
	case prefix == "term":
		v = new(ident.Term)
	case prefix == "live" && strings.Contains(rest, "/"):
		v = new(oldSegment)
	case prefix == "live":
		v = new(oldHeader)
	case prefix == "log":
		v = new(oldLog)
	case prefix == "fleet":
		v = new(oldGroup)
	default:
		return nil
	}
	d := json.NewDecoder(bytes.NewReader(value))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if h, ok := v.(*oldHeader); ok {
		var spec struct {
			Shape string `json:"shape"`
		}
		if json.Unmarshal(h.Spec, &spec) != nil || spec.Shape != "batch" && spec.Shape != "service" {
			return fmt.Errorf("%s: a job of shape %q", path, spec.Shape)
		}
	}
	return nil
}

// asOld has a request of an old node answered as that one sees it.
func (e *nodeEnv) asOld(r statesvc.Request, f func(statesvc.Response)) (func(statesvc.Response), bool) {
	if r.Prefix == upgrade.NodeKeyPrefix || strings.HasPrefix(r.Key, upgrade.NodeKeyPrefix) {
		return nil, false // it knows of no such thing
	}
	return func(a statesvc.Response) {
		pairs := a.KeyValues
		if r.Op == statesvc.Get && a.Outcome == statesvc.OK {
			pairs = []statesvc.KeyValue{{Key: r.Key, Value: a.Value}}
		}
		for _, p := range pairs {
			if err := readOld(p.Key, p.Value); err != nil {
				e.w().broken("an old node can't read, or would not keep: %v", err)
			}
		}
		f(a)
	}, true
}

// tamper is what the mutations of a rollout do to the requests of a new node.
func (w *World) tamper(r statesvc.Request, f func(statesvc.Response)) (statesvc.Request, bool) {
	if w.cfg.Mutation == RaiseEarly && r.Prefix == upgrade.NodeKeyPrefix {
		out := statesvc.Response{Outcome: statesvc.OK}
		for _, n := range w.nodes {
			out.KeyValues = append(out.KeyValues, statesvc.KeyValue{Key: upgrade.NodeKeyPrefix + n.name, Value: json.RawMessage(`{"level":1}`)})
		}
		w.at(0, func() { f(out) })
		return r, false
	}
	if w.cfg.Mutation == WriteEarly && r.Op == statesvc.Txn {
		then := append([]statesvc.Mutation(nil), r.Mutations...)
		for i, c := range then {
			if strings.HasPrefix(c.Put, "live/") && bytes.HasPrefix(c.Value, []byte("{")) {
				then[i].Value = append([]byte(`{"early":1,`), c.Value[1:]...)
			}
		}
		r.Mutations = then
	}
	return r, true
}

// rollout replaces the nodes by new ones, one after the other.
func (w *World) rollout(i int) {
	if i == len(w.nodes) {
		return
	}
	n := w.nodes[i]
	if !n.alive {
		w.at(rollEvery/4, func() { w.rollout(i) })
		return
	}
	n.old = false
	n.kill(rollEvery / 4)
	w.at(rollEvery, func() { w.rollout(i + 1) })
}

// gangsWelcome says whether users may ask for what only new nodes know.
func (w *World) gangsWelcome() bool {
	for _, n := range w.nodes {
		if n.old {
			return false
		}
	}
	return true
}
