package controller

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/cloud"
	"opaldale/internal/handover"
	"opaldale/internal/ident"
	"opaldale/internal/links"
	"opaldale/internal/mesh"
	"opaldale/internal/statesvc"
	"opaldale/internal/upgrade"
	"opaldale/internal/workers"
)

const (
	// evaluateEvery paces the verdicts on links.
	evaluateEvery = 250 * time.Millisecond
	// probeStateAfter, probeMachinesAfter and probeCloudAfter are how long a link goes
	// without any traffic before it is probed.
	probeStateAfter    = time.Second
	probeMachinesAfter = 1500 * time.Millisecond
	probeCloudAfter    = 5 * time.Second
	// doubtAfter is how long a machine may take to answer before others of its zone are
	// asked, so that one lost machine is not taken for a lost zone.
	doubtAfter = 300 * time.Millisecond
	// doubtEvery paces the questions to all witnesses of a zone while one of its machines is
	// late.
	doubtEvery = 500 * time.Millisecond
	// sampleEvery paces the reports that a follower reads to learn their zone.
	sampleEvery = 500 * time.Millisecond
	// capableEvery paces the look for siblings that can read frames about links.
	capableEvery = 3 * time.Second
	// hesitation is for how long a node whose own link to the state service is damped lets
	// others claim the lead first.
	hesitation = 2 * time.Second
	// witnessesPerZone is how many machines of each zone a leader names to its siblings.
	witnessesPerZone = 3
	// maxWitnessZones bounds the zones of which it does.
	maxWitnessZones = links.MaxWitnesses / witnessesPerZone
)

var (
	stateLink = links.Peer{Kind: links.StateService}
	cloudLink = links.Peer{Kind: links.Cloud}
)

func siblingLink(n ident.NodeID) links.Peer {
	return links.Peer{Kind: links.Sibling, Name: string(n)}
}

func machinesLink(zone string) links.Peer {
	return links.Peer{Kind: links.Machines, Name: zone}
}

// linkView is what a node knows of its own links and of its siblings'.
type linkView struct {
	c           *Controller
	monitor     *links.Monitor
	view        *links.View
	history     handover.History
	incarnation uint64
	sequence    uint64
	capable     map[ident.NodeID]bool // siblings that can read frames about links
	looked      ident.MonotonicTime   // when those were last looked for
	looking     bool
	sampled     ident.MonotonicTime // when a report was last read for its zone
	recent      map[string][]links.Witness
	doubted     map[string]ident.MonotonicTime // when all witnesses of a zone were last asked
	refusals    map[links.Refusal]uint64       // rows that were not taken
	undated     uint64                         // messages of rows that echoed nothing of this node
	records     []HandoverRecord
	handovers   uint64 // terms that were ended by choice
}

// newLinkView makes the view of a node; its own clock and the wall clock at its start tell
// its processes apart.
func newLinkView(c *Controller) *linkView {
	tuning := c.set.Tuning.Links
	v := &linkView{
		c:           c,
		monitor:     links.NewMonitor(links.Config{Pause: tuning.SuspectAfter, HalfLife: tuning.PenaltyHalfLife}),
		incarnation: uint64(max(1, c.env.WallMS())),
		capable:     map[ident.NodeID]bool{},
		recent:      map[string][]links.Witness{},
		doubted:     map[string]ident.MonotonicTime{},
		refusals:    map[links.Refusal]uint64{},
	}
	v.view = links.NewView(c.siblings())
	v.monitor.Watch(stateLink)
	v.monitor.Watch(cloudLink)
	for _, n := range c.siblings() {
		v.monitor.Watch(siblingLink(n))
	}
	return v
}

// siblings returns the names of the other nodes.
func (c *Controller) siblings() []ident.NodeID {
	out := make([]ident.NodeID, 0, len(c.set.Peers))
	for _, s := range c.set.Peers {
		out = append(out, s.Node)
	}
	return out
}

// observedEnv is the world of a node whose links are watched: what is sent and answered is
// evidence.
type observedEnv struct {
	Env
	view *linkView
}

// Store sends a request to the state service. A long poll says nothing by taking long.
func (e observedEnv) Store(r statesvc.Request, f func(statesvc.Response)) {
	if r.Op == statesvc.Watch {
		e.Env.Store(r, f)
		return
	}
	sent := e.Now()
	e.view.monitor.Sent(stateLink, sent)
	e.Env.Store(r, func(a statesvc.Response) {
		switch {
		case a.Outcome == statesvc.Unavailable:
			e.view.monitor.Refused(stateLink, sent, e.Now())
		case a.Outcome != statesvc.NoAnswer:
			e.view.monitor.Answered(stateLink, sent, e.Now())
		case a.ConnectionRefused:
			e.view.monitor.Rejected(stateLink, e.Now())
		}
		f(a)
	})
}

// Cloud sends a request to the cloud.
func (e observedEnv) Cloud(r cloud.Request, f func(cloud.Response)) {
	sent := e.Now()
	e.view.monitor.Sent(cloudLink, sent)
	e.Env.Cloud(r, func(a cloud.Response) {
		switch {
		case a.Outcome == cloud.NotSent:
			e.view.monitor.Withdrawn(cloudLink, sent)
		case a.Outcome == cloud.Unavailable:
			e.view.monitor.Refused(cloudLink, sent, e.Now())
		case a.Outcome != cloud.NoAnswer:
			e.view.monitor.Answered(cloudLink, sent, e.Now())
		case a.ConnectionRefused:
			e.view.monitor.Rejected(cloudLink, e.Now())
		}
		f(a)
	})
}

// Worker sends a command to a machine. A refused connection is that machine's matter, not
// its zone's, and shows that the network carries both ways.
func (e observedEnv) Worker(c workers.CommandCall, f func(workers.CommandResult)) {
	if c.Zone == "" {
		e.Env.Worker(c, f)
		return
	}
	zone, sent := machinesLink(c.Zone), e.Now()
	e.view.monitor.Sent(zone, sent)
	e.Env.Worker(c, func(a workers.CommandResult) {
		switch {
		case a.NotSent:
			e.view.monitor.Withdrawn(zone, sent)
		case a.Status != 0 || a.ConnectionRefused:
			e.view.monitor.Answered(zone, sent, e.Now())
		}
		f(a)
	})
}

// evaluate brings the verdicts up to date, probes what carries no traffic, and has a leader
// compare itself with its siblings; again and again, once it is called.
func (v *linkView) evaluate() {
	now := v.c.env.Now()
	for _, change := range v.monitor.Evaluate(now) {
		logChange(change)
	}
	v.probe(now)
	v.findCapable(now)
	if l := v.c.lead; l != nil && l.ready {
		l.compare(now)
	}
	v.c.authorityNow()
	v.c.env.After(evaluateEvery, v.evaluate)
}

// logChange writes one line for each change of a verdict; those that are only a suspicion
// matter to nobody but who looks for them.
func logChange(c links.Change) {
	level := slog.LevelInfo
	if c.From.State != links.Down && c.To.State != links.Down {
		level = slog.LevelDebug
	}
	slog.Log(context.Background(), level, "link", "peer", c.Peer.String(), "direction", c.Direction.String(),
		"from", c.From.State.String(), "to", c.To.State.String(), "evidence", c.To.Evidence.String(), "damped", c.To.Damped)
}

// probe asks where there is no traffic to judge by.
func (v *linkView) probe(now ident.MonotonicTime) {
	if v.monitor.Idle(stateLink, now, probeStateAfter) {
		v.c.look()
	}
	if v.monitor.Idle(cloudLink, now, probeCloudAfter) {
		v.c.env.Cloud(cloud.Request{Op: cloud.Catalog}, func(cloud.Response) {})
	}
	byZone := v.witnesses(now)
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		link, witnesses := machinesLink(zone), byZone[zone]
		switch {
		case len(witnesses) == 0:
		case v.monitor.Overdue(link, now) > doubtAfter:
			if now.Sub(v.doubted[zone]) < doubtEvery {
				continue
			}
			v.doubted[zone] = now
			for _, w := range witnesses {
				v.ask(w)
			}
		case v.monitor.Idle(link, now, probeMachinesAfter):
			v.ask(witnesses[v.c.rng.IntN(len(witnesses))])
		}
	}
}

// ask sends a machine a command without orders, under no token: it is answered with a report
// and carried out by nobody.
func (v *linkView) ask(w links.Witness) {
	command := workers.CommandCall{Addr: w.Address, Zone: w.Zone, Body: api.CommandRequest{Incarnation: 1, Commands: []api.Command{}}}
	v.c.env.Worker(command, func(a workers.CommandResult) {
		if a.Status == 0 {
			v.drop(w)
		}
	})
}

// drop forgets a witness that didn't answer: it may be gone. (With one of two gone, its zone
// was found down for the other's being asked too seldom, and the lead moved for it.)
func (v *linkView) drop(w links.Witness) {
	v.recent[w.Zone] = slices.DeleteFunc(v.recent[w.Zone], func(o links.Witness) bool { return o == w })
}

// witnesses returns, by zone, machines that this node may ask: those whose reports came
// here, and those that the leader names.
func (v *linkView) witnesses(now ident.MonotonicTime) map[string][]links.Witness {
	out := map[string][]links.Witness{}
	for zone, list := range v.recent {
		out[zone] = append(out[zone], list...)
	}
	if v.c.lead != nil {
		return out
	}
	for _, r := range v.view.Rows(now) {
		for _, w := range r.Witnesses {
			out[w.Zone] = append(out[w.Zone], w)
		}
	}
	return out
}

// reported notes a machine's report; one that came from the machine itself shows that its
// zone is heard.
func (v *linkView) reported(r *api.Heartbeat, direct bool) {
	if direct {
		v.monitor.Heard(machinesLink(r.Zone), v.c.env.Now())
	}
	w := links.Witness{Zone: r.Zone, Address: r.Addr}
	list := v.recent[r.Zone]
	for _, known := range list {
		if known == w {
			return
		}
	}
	if len(list) >= witnessesPerZone {
		list = list[1:]
	}
	v.recent[r.Zone] = append(list, w)
}

// sample reads some of the reports that a follower passes on.
func (v *linkView) sample(body []byte) {
	now := v.c.env.Now()
	if now.Sub(v.sampled) < sampleEvery {
		return
	}
	v.sampled = now
	if r, err := api.ParseHeartbeat(body); err == nil {
		v.reported(r, true)
	}
}

// findCapable looks for siblings that can read frames about links, until all can.
func (v *linkView) findCapable(now ident.MonotonicTime) {
	if v.looking || len(v.capable) == len(v.c.peers) && v.c.level >= ident.FormatPacked || v.looked > 0 && now.Sub(v.looked) < capableEvery {
		return
	}
	v.looked, v.looking = now, true
	v.c.env.Store(statesvc.Request{Op: statesvc.List, Prefix: upgrade.NodeKeyPrefix, Timeout: commitTime}, func(r statesvc.Response) {
		v.looking = false
		if r.Outcome != statesvc.OK {
			return
		}
		for n, frames := range upgrade.FrameCapabilities(r.KeyValues) {
			if v.c.peers[n] != nil && frames >= mesh.LinksCapability {
				v.capable[n] = true
			}
		}
	})
	if v.c.level < ident.FormatPacked {
		v.c.readLevel(func() {})
	}
}

// speaks says whether a sibling can be told of links.
func (v *linkView) speaks(n ident.NodeID) bool {
	return v.capable[n] && v.c.level >= ident.FormatPacked
}

// row makes this node's row.
func (v *linkView) row(now ident.MonotonicTime) links.Row {
	v.sequence++
	r := v.monitor.Row(v.c.set.Node, v.incarnation, v.sequence)
	r.Links = r.Links[:min(len(r.Links), links.MaxLinks)]
	if v.c.lead == nil {
		return r
	}
	zones := slices.Sorted(maps.Keys(v.recent))
	for _, zone := range zones[:min(len(zones), maxWitnessZones)] {
		r.Witnesses = append(r.Witnesses, v.recent[zone]...)
	}
	return r
}

// send tells a sibling this node's row, and those of the others.
func (v *linkView) send(n ident.NodeID, own links.Row, now ident.MonotonicTime) {
	if !v.speaks(n) {
		return
	}
	rows := []links.Row{own}
	for _, r := range v.view.Rows(now) {
		if r.Origin != n && len(rows) < links.MaxRows {
			r.Witnesses = nil
			rows = append(rows, r)
		}
	}
	v.c.env.Mesh(n, &mesh.Frame{Kind: mesh.Links, ID: v.c.peers[n].beat, Rows: rows})
}

// take merges the rows that a sibling sends. They were made after it had heard the heartbeat
// that it names; without one of ours of late there is nothing to date them by.
func (v *linkView) take(f *mesh.Frame) {
	now := v.c.env.Now()
	at, ok := v.c.heartbeats.SentAt(f.ID)
	if !ok {
		v.undated++
		return
	}
	for _, r := range f.Rows {
		r.Age += now.Sub(at)
		if refusal := v.view.Merge(r, now); refusal != links.Taken && r.Origin != v.c.set.Node {
			v.refusals[refusal]++
		}
	}
}

// hesitate returns for how long others may claim the lead first.
func (v *linkView) hesitate() time.Duration {
	if v.monitor.Verdict(stateLink, links.Outbound).Damped {
		return hesitation
	}
	return 0
}

// relay returns a sibling that reaches a node which this one doesn't, by its own word.
func (v *linkView) relay(to ident.NodeID) (ident.NodeID, bool) {
	now := v.c.env.Now()
	for _, r := range v.view.Rows(now) {
		if r.Origin == to || !v.speaks(r.Origin) || !v.c.reachable(r.Origin) || v.doubtful(r.Origin) {
			continue
		}
		if l := r.Link(siblingLink(to)); l.In == links.Up && l.Out == links.Up {
			return r.Origin, true
		}
	}
	return "", false
}

// downTime returns for how long the link to a sibling has counted as down in either
// direction, and whether it does.
func (v *linkView) downTime(n ident.NodeID) (longest time.Duration, down bool) {
	now := v.c.env.Now()
	for _, direction := range []links.Direction{links.Inbound, links.Outbound} {
		if verdict := v.monitor.Verdict(siblingLink(n), direction); verdict.State == links.Down {
			longest, down = max(longest, now.Sub(verdict.Since)), true
		}
	}
	return longest, down
}

// doubtful says whether the link to a sibling counts as down, though it may pass messages at
// this moment: it may be damped for breaking again and again.
func (v *linkView) doubtful(n ident.NodeID) bool {
	_, down := v.downTime(n)
	return down
}

// forgetEmpty forgets the links to zones without machines: the last command to the last one
// was not answered since that was being returned, and says nothing of the next one. (The zone
// was found down when its next machine came, and the lead moved for it.)
func (v *linkView) forgetEmpty(machines map[string]int) {
	for _, p := range v.monitor.Peers() {
		if p.Kind == links.Machines && machines[p.Name] == 0 {
			v.monitor.Forget(p)
			delete(v.recent, p.Name)
		}
	}
}
