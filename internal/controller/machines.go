package controller

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/commit"
	"opaldale/internal/ident"
	"opaldale/internal/statesvc"
	"opaldale/internal/workers"
)

// groupRecord is the value of a key of machines, all of one kind.
type groupRecord struct {
	Model  string          `json:"model"`
	Zone   string          `json:"site"`
	Spot   bool            `json:"standby,omitempty"`
	Hosts  []machineRecord `json:"hosts,omitempty"` // of the first format
	Text   string          `json:"text,omitempty"`  // from it on: host, address and birth of each
	BaseMS int64           `json:"base,omitempty"`  // from which births are counted, in seconds
}

type machineRecord struct {
	Host   ident.MachineID `json:"h"`
	Addr   string          `json:"a,omitempty"`
	BornMS int64           `json:"b"`
}

const (
	// groupSize bounds the machines on record under one key: what one request rents.
	groupSize = 50
	// groupBytes, plainBytes and packedBytes bound what a record takes beside the names
	// in it, and what a machine does in either format; addrBytes is kept for an address.
	groupBytes  = 100
	plainBytes  = 40
	packedBytes = 14
	addrBytes   = 21
)

// pack puts machines into text.
func (r *groupRecord) pack(list []machineRecord) {
	for i, m := range list {
		if i == 0 || m.BornMS < r.BaseMS {
			r.BaseMS = m.BornMS
		}
	}
	var b strings.Builder
	for i, m := range list {
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s,%s,%d", url.PathEscape(string(m.Host)), url.PathEscape(m.Addr), (m.BornMS-r.BaseMS)/1000)
	}
	r.Text = b.String()
}

// machines returns the machines of a record in either format.
func (r *groupRecord) machines() ([]machineRecord, error) {
	out := r.Hosts
	for _, f := range strings.Fields(r.Text) {
		p := strings.Split(f, ",")
		if len(p) != 3 {
			return nil, fmt.Errorf("malformed machine %q", f)
		}
		host, err := url.PathUnescape(p[0])
		if err != nil {
			return nil, err
		}
		addr, err := url.PathUnescape(p[1])
		if err != nil {
			return nil, err
		}
		age, err := strconv.ParseInt(p[2], 10, 64)
		if err != nil {
			return nil, err
		}
		out = append(out, machineRecord{ident.MachineID(host), addr, r.BaseMS + age*1000})
	}
	return out, nil
}

// kindOf names what the machines of a group have in common.
type kindOf struct {
	model, site string
	standby     bool
}

// groupFits says whether a group's record stays within the limits that may come, with
// so many machines more.
func (l *lead) groupFits(g *workers.RecordGroup, k kindOf, more ...*workers.Worker) bool {
	size := groupBytes + len(k.model) + len(k.site)
	per := plainBytes
	if l.level >= ident.FormatPacked {
		per = packedBytes
	}
	for _, list := range [][]*workers.Worker{g.Members, more} {
		for _, w := range list {
			size += per + len(w.ID) + max(len(w.Addr), addrBytes)
		}
	}
	return size <= l.valueBytes && len(g.Members)+len(more) <= groupSize
}

// commitWorker writes a machine's record, new or changed. A new machine is waited
// for, as a successor must know it before anything runs there; the rest has time.
func (l *lead) commitWorker(w *workers.Worker) {
	fresh := w.Group == nil
	if fresh {
		k := kindOf{w.Model, w.Zone, w.Spot}
		g := l.groups[k]
		if g == nil || g.Deleted || !l.groupFits(g, k, w) {
			g = l.nextGroup(k)
			l.groups[k] = g
		}
		w.Group = g
		g.Members = append(g.Members, w)
	}
	if w.State == workers.Terminated {
		g := w.Group
		g.Members = slices.DeleteFunc(slices.Clone(g.Members), func(o *workers.Worker) bool { return o == w })
		l.commits.MarkDirtyLazily(g.Doc, func() { w.Persisted = false })
		return
	}
	if fresh {
		l.commits.MarkDirty(w.Group.Doc, func() {
			if w.State != workers.Terminated {
				w.Persisted = true
				l.dirty = true
			}
		})
		return
	}
	l.commits.MarkDirtyLazily(w.Group.Doc, nil)
}

func (l *lead) nextGroup(k kindOf) *workers.RecordGroup {
	l.lastGroup++
	return l.newGroup(fmt.Sprintf("%s%d-%d", fleetPrefix, l.term, l.lastGroup), k)
}

func (l *lead) newGroup(path string, k kindOf) *workers.RecordGroup {
	g := &workers.RecordGroup{Doc: &commit.Document{Key: path}}
	g.Doc.Render = func() json.RawMessage {
		members := slices.Concat(g.Members, g.Leaving)
		if len(members) == 0 {
			// Deleted, and not used again.
			g.Deleted = true
			return nil
		}
		r := groupRecord{Model: k.model, Zone: k.site, Spot: k.standby}
		var list []machineRecord
		for _, w := range members {
			list = append(list, machineRecord{w.ID, w.Addr, l.c.env.WallMS() - l.c.env.Now().Sub(w.CreatedAt).Milliseconds()})
		}
		if l.level >= ident.FormatPacked {
			r.pack(list)
		} else {
			r.Hosts = list
		}
		b := api.JSON(r)
		// Those that leave have their address in their next group; of longer addresses
		// than expected, reports tell again.
		for _, from := range []int{len(g.Members), 0} {
			if len(b) > l.valueBytes && l.level >= ident.FormatPacked {
				for i := range list[from:] {
					list[from+i].Addr = ""
				}
				r.pack(list)
				b = api.JSON(r)
			}
		}
		return b
	}
	return g
}

func (l *lead) restoreGroup(p statesvc.KeyValue) error {
	var r groupRecord
	if err := json.Unmarshal(p.Value, &r); err != nil {
		return fmt.Errorf("%s: %w", p.Key, err)
	}
	list, err := r.machines()
	if err != nil {
		return fmt.Errorf("%s: %w", p.Key, err)
	}
	k := kindOf{r.Model, r.Zone, r.Spot}
	g := l.newGroup(p.Key, k)
	g.Doc.Revision = p.Revision
	now := l.c.env.Now()
	for _, m := range list {
		if w := l.workers.Workers[m.Host]; w != nil {
			// On its way from one group to another when a term ended.
			l.workers.RestoreAddress(w, m.Addr)
			l.commits.MarkDirtyLazily(g.Doc, nil)
			continue
		}
		age := time.Duration(l.c.env.WallMS()-m.BornMS) * time.Millisecond
		w := l.workers.Restore(m.Host, r.Model, r.Zone, r.Spot, now.Add(-max(0, age)), m.Addr, g)
		g.Members = append(g.Members, w)
	}
	if l.level >= ident.FormatPacked && r.Text == "" {
		l.older = append(l.older, g)
	}
	return nil
}

// fitLoaded brings machines' records that an earlier term left in the first format to
// the present one. It goes with the first format.
func (l *lead) fitLoaded() {
	for _, g := range l.older {
		l.fit(g)
	}
	l.older = nil
}

// fitGroups splits the groups that were put under larger limits: none must have to be
// put again when it is too large.
func (l *lead) fitGroups() {
	seen := map[*workers.RecordGroup]bool{}
	for _, w := range l.workers.Sorted() {
		g := w.Group
		if g == nil || seen[g] {
			continue
		}
		seen[g] = true
		l.fit(g)
	}
}

func (l *lead) fit(g *workers.RecordGroup) {
	if len(g.Members) == 0 {
		return
	}
	w := g.Members[0]
	k := kindOf{w.Model, w.Zone, w.Spot}
	if l.groupFits(g, k) {
		l.commits.MarkDirtyLazily(g.Doc, nil)
	} else {
		l.split(g, k)
	}
}

// split moves machines to other groups. They leave the old one when the new record is
// durable, so that a successor finds each in at least one of both.
func (l *lead) split(g *workers.RecordGroup, k kindOf) {
	slog.Info("splitting a record of machines", "path", g.Doc.Key, "machines", len(g.Members))
	for !l.groupFits(g, k) && len(g.Members) > 1 {
		n := l.nextGroup(k)
		for len(g.Members) > 1 && l.groupFits(n, k, g.Members[len(g.Members)-1]) {
			w := g.Members[len(g.Members)-1]
			g.Members = g.Members[:len(g.Members)-1]
			g.Leaving = append(g.Leaving, w)
			n.Members = append(n.Members, w)
			w.Group = n
			if l.groupFits(g, k) {
				break
			}
		}
		if len(n.Members) == 0 {
			return
		}
		moved := slices.Clone(n.Members)
		l.commits.MarkDirty(n.Doc, func() {
			g.Leaving = slices.DeleteFunc(g.Leaving, func(w *workers.Worker) bool { return slices.Contains(moved, w) })
			l.commits.MarkDirtyLazily(g.Doc, nil)
		})
	}
}
