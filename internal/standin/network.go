package standin

import (
	"strings"
	"time"

	"opaldale/internal/ident"
)

// cut is a broken link.
type cut struct {
	hold bool
	held []func()
}

// deliver carries something from one party to another: after a short time, after
// a long one, or never.
func (w *World) deliver(from, to string, f func()) {
	c := w.cut(from, to)
	if c == nil {
		if c = w.directed(from, to); c != nil {
			w.lostOneWay++
		}
	}
	if c != nil {
		if c.hold {
			c.held = append(c.held, f)
		}
		return
	}
	if w.now < w.deaf[to] || w.now < w.mute[from] && strings.HasPrefix(to, "agent-") {
		return
	}
	d := time.Duration(200+w.rng.IntN(3000)) * time.Microsecond
	often := 200
	if strings.HasPrefix(to, "host-") {
		often = 25 // commands that come late are what tokens are for
	}
	if w.cfg.Faults && w.now < ident.MonotonicTime(w.cfg.Length) && w.rng.IntN(often) == 0 {
		if w.rng.IntN(2) == 0 {
			return
		}
		d = time.Duration(w.rng.IntN(30_000)) * time.Millisecond
	}
	w.at(d+w.slowed(from, to), f)
}

func (w *World) cut(a, b string) *cut {
	for _, k := range [][2]string{{a, b}, {b, a}, {a, "*"}, {b, "*"}, {a, kind(b)}, {b, kind(a)}} {
		if c := w.cuts[k]; c != nil {
			return c
		}
	}
	if za, zb := w.zoneOf(a), w.zoneOf(b); za != zb {
		if c := w.zones[za]; c != nil {
			return c
		}
		return w.zones[zb]
	}
	return nil
}

// zoneOf returns the zone of a node or a machine, "" for what belongs to none.
func (w *World) zoneOf(name string) string {
	for _, n := range w.nodes {
		if n.name == name {
			return n.zone
		}
	}
	if k := w.workers[ident.MachineID(name)]; k != nil {
		return k.m.site
	}
	return ""
}

// cutZone cuts a zone off from everything outside for a while.
func (w *World) cutZone(zone string, hold bool, d time.Duration) {
	if w.zones[zone] != nil {
		return
	}
	w.logf("zone %s is cut off, hold=%v, for %v", zone, hold, d)
	c := &cut{hold: hold}
	w.zones[zone] = c
	w.at(d, func() {
		delete(w.zones, zone)
		w.logf("zone %s is back", zone)
		w.release(c)
	})
}

// release delivers what a cut has held, in order.
func (w *World) release(c *cut) {
	for i, f := range c.held {
		w.at(time.Duration(i)*time.Microsecond, f)
	}
}

// machines stands for all machines, those to come as well, as one end of a cut.
const machines = "machines"

func kind(name string) string {
	if strings.HasPrefix(name, "host-") {
		return machines
	}
	return ""
}

// sever breaks a link for a while; what was held is then delivered in order.
func (w *World) sever(a, b string, hold bool, d time.Duration) {
	w.breakLink(w.cuts, a, b, "link", hold, d)
}

// breakLink breaks a link of a table for a while.
func (w *World) breakLink(table map[[2]string]*cut, a, b, what string, hold bool, d time.Duration) {
	k := [2]string{a, b}
	if table[k] != nil {
		return
	}
	w.logf("%s %s to %s is cut, hold=%v, for %v", what, a, b, hold, d)
	c := &cut{hold: hold}
	table[k] = c
	w.at(d, func() {
		delete(table, k)
		w.logf("%s %s to %s heals", what, a, b)
		w.release(c)
	})
}

// directed returns the break of a link in the direction from one party to another.
func (w *World) directed(from, to string) *cut {
	for _, k := range [][2]string{{from, to}, {from, "*"}, {"*", to}, {from, kind(to)}, {kind(from), to}} {
		if c := w.oneWay[k]; c != nil {
			return c
		}
	}
	return nil
}

// severWay breaks a link in one direction for a while: nothing that the first says comes to
// the second, requests and answers alike.
func (w *World) severWay(from, to string, hold bool, d time.Duration) {
	w.breakLink(w.oneWay, from, to, "way", hold, d)
}

// flap breaks a link in one direction again and again, for down out of each period.
func (w *World) flap(from, to string, down, period, whole time.Duration) {
	for at := time.Duration(0); at < whole; at += period {
		w.at(at, func() { w.severWay(from, to, false, down) })
	}
}

// others calls f for each node but one.
func (w *World) others(n *node, f func(*node)) {
	for _, o := range w.nodes {
		if o != n {
			f(o)
		}
	}
}

// isolate cuts a node from the state service and the other nodes, not from workers and
// users.
func (w *World) isolate(n *node, hold bool, d time.Duration) {
	w.sever(n.name, "state", hold, d)
	w.others(n, func(o *node) { w.sever(n.name, o.name, hold, d) })
}

// call is a request with its answer; exec may answer at any time. done gets nil
// without an answer in time.
func (w *World) call(from, to string, limit time.Duration, exec func(reply func(any)), done func(any)) {
	over := false
	finish := func(a any) {
		if !over {
			over = true
			done(a)
		}
	}
	w.at(limit, func() { finish(nil) })
	w.deliver(from, to, func() {
		exec(func(a any) { w.deliver(to, from, func() { finish(a) }) })
	})
}
