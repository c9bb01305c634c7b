package settings

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"
)

// Tuning is the part of the configuration that operators set. The tuning file is an S-expression:
//
//	(tuning (leader-lease 2s) (round 5s) (plan asm1))
type Tuning struct {
	LeaderLease          time.Duration // duration of the leader lease
	PlanInterval         time.Duration // interval between placement plans
	UnreachableAfter     time.Duration // a machine without heartbeats for this time is fenced; 0: a multiple of report_s
	ScaleInDelay         time.Duration // how long capacity must be in excess before machines are cordoned and then terminated
	BootTimeoutFactor    float64       // a boot counts as failed after this multiple of startup_s
	Headroom             float64       // factor applied to the free capacity kept for expected arrivals
	ServiceSpareFraction float64       // free capacity kept for failures, as a fraction of the services' capacity
	StarvationTimeout    time.Duration // a job that waits longer for its first task gets precedence; see placement.Config.MaxWait
	GangPreemptAfter     time.Duration // how long other tasks wait before a whole gang is preempted for them
	PlanMode             PlanMode      // how waiting tasks are assigned to machines
	Links                Links
	Rebalance            Rebalance
	Migration            MigrationLimits
}

// PlanMode is the method by which waiting tasks are assigned to machines.
type PlanMode string

// The plan modes.
const (
	PlanASM1 PlanMode = "asm1" // periodic plans; in between, idle machines take or steal waiting tasks
	PlanNone PlanMode = "none" // no plans: idle machines take or steal waiting tasks
)

// Rebalance is the mode of rebalancing, which is the reaction to uneven load.
type Rebalance string

// The modes of rebalancing. All modes except RebalanceOff report the load. RebalanceMove does not include
// RebalancePlace.
const (
	RebalanceOff    Rebalance = "off"
	RebalanceReport Rebalance = "report" // report load, imbalance and overloaded teams
	RebalancePlace  Rebalance = "place"  // while any team is overloaded, place tasks on the least used holders of their images
	RebalanceMove   Rebalance = "move"   // move running tasks if the gain exceeds the cost
)

// rebalanceModes are all modes of rebalancing.
var rebalanceModes = []Rebalance{RebalanceOff, RebalanceReport, RebalancePlace, RebalanceMove}

// MigrationLimits are the limits on moves of running tasks.
type MigrationLimits struct {
	Cluster, Zone, Team int           // maximum number of concurrent moves in the cluster, from one zone, of one team
	MinGainFactor       float64       // minimum ratio of the gain of a move to its cost
	LeaderSettleTime    time.Duration // time after the start of a term before the first move
	MinTaskWait         time.Duration // a task must wait this long before a running task is moved to free capacity for it
	MinRunTime          time.Duration // a task must run this long before it is moved
}

// Upper bounds of tuning values. The error texts repeat the numbers.
const (
	maxHeadroom        = 10
	maxConcurrentMoves = 1000
	maxGainFactor      = 100
)

// Links is the tuning of the link monitor, which detects partial network failures, and of leadership
// handovers.
type Links struct {
	Enabled             bool
	SuspectGrace        time.Duration // time added to a link's usual delays before the link becomes suspect; see links.Config
	PenaltyHalfLife     time.Duration // half-life of the flap damping penalty; see links.Config
	MinTermDuration     time.Duration // minimum time that a node leads before a handover; see handover.Config
	StabilizationWindow time.Duration // how long the reason for a handover must persist; see handover.Config
}

// DefaultTuning returns the default tuning, which applies to settings that are not in the tuning file.
func DefaultTuning() Tuning {
	return Tuning{
		LeaderLease:          2 * time.Second,
		PlanInterval:         5 * time.Second,
		ScaleInDelay:         12 * time.Second,
		BootTimeoutFactor:    3.5,
		Headroom:             1,
		ServiceSpareFraction: 0.05,
		StarvationTimeout:    2 * time.Minute,
		GangPreemptAfter:     5 * time.Second,
		PlanMode:             PlanASM1,
		Links: Links{
			SuspectGrace:        time.Second,
			PenaltyHalfLife:     15 * time.Second,
			MinTermDuration:     15 * time.Second,
			StabilizationWindow: 3 * time.Second,
		},
		Rebalance: RebalanceOff,
		Migration: MigrationLimits{
			Cluster:          4,
			Zone:             2,
			Team:             2,
			MinGainFactor:    2,
			LeaderSettleTime: 15 * time.Second,
			MinTaskWait:      5 * time.Second,
			MinRunTime:       30 * time.Second,
		},
	}
}

// check validates the values and returns all errors.
func (t *Tuning) check() error {
	v := &validation{}
	t.checkScheduling(v)
	t.checkRebalancing(v)
	t.Links.check(v, t.LeaderLease)
	return v.err()
}

func (t *Tuning) checkScheduling(v *validation) {
	v.rejectIf(outside(t.LeaderLease, 500*time.Millisecond, time.Minute), "leader-lease: must be from 500ms to 60s")
	v.rejectIf(outside(t.PlanInterval, 100*time.Millisecond, 10*time.Minute), "round: must be from 100ms to 10m")
	v.rejectIf(t.UnreachableAfter != 0 && t.UnreachableAfter < time.Second, "silent: must be 0 or at least 1s")
	v.rejectIf(t.ScaleInDelay < 0, "idle-keep: negative")
	v.rejectIf(t.BootTimeoutFactor < 1, "boot-factor: must be at least 1")
	v.rejectIf(outside(t.Headroom, 0, maxHeadroom), "headroom: must be from 0 to 10")
	v.rejectIf(outside(t.ServiceSpareFraction, 0, 1), "spare: must be from 0 to 1")
	v.rejectIf(t.StarvationTimeout < time.Second, "max-wait: must be at least 1s")
	v.rejectIf(t.GangPreemptAfter < 0, "gang-wait: negative")
	v.rejectIf(t.PlanMode != PlanASM1 && t.PlanMode != PlanNone, "plan: must be asm1 or none")
}

func (t *Tuning) checkRebalancing(v *validation) {
	v.rejectIf(!slices.Contains(rebalanceModes, t.Rebalance), "rebalance: must be off, report, place or move")
	m := &t.Migration
	v.rejectIf(outside(m.Cluster, 1, maxConcurrentMoves), "moves-cluster: must be from 1 to 1000")
	v.rejectIf(outside(m.Zone, 1, m.Cluster), "moves-zone: must be from 1 to moves-cluster")
	v.rejectIf(outside(m.Team, 1, m.Cluster), "moves-team: must be from 1 to moves-cluster")
	validGain := m.MinGainFactor >= 1 && m.MinGainFactor <= maxGainFactor // false for NaN
	v.rejectIf(!validGain, "moves-margin: must be from 1 to 100")
	v.rejectIf(outside(m.LeaderSettleTime, 0, time.Hour), "moves-settle: must be from 0 to 1h")
	v.rejectIf(outside(m.MinTaskWait, 0, time.Hour), "moves-patience: must be from 0 to 1h")
	v.rejectIf(outside(m.MinRunTime, 0, time.Hour), "moves-min-run: must be from 0 to 1h")
}

func (l *Links) check(v *validation, leaderLease time.Duration) {
	v.rejectIf(outside(l.SuspectGrace, 100*time.Millisecond, leaderLease), "links-suspect: must be from 100ms to leader-lease")
	v.rejectIf(outside(l.PenaltyHalfLife, time.Second, 10*time.Minute), "links-half-life: must be from 1s to 10m")
	v.rejectIf(outside(l.MinTermDuration, l.StabilizationWindow, 10*time.Minute),
		"links-hold: must be at least links-persist, and at most 10m")
	v.rejectIf(l.StabilizationWindow < 500*time.Millisecond, "links-persist: must be at least 500ms")
}

// outside reports whether a value is out of the inclusive range from least to greatest. It returns false for NaN.
func outside[T cmp.Ordered](value, least, greatest T) bool { return value < least || value > greatest }

// Apply sets the fields for the settings in a tuning file. If the file is not an expression (tuning ...), the
// error describes the first fault. Otherwise it joins the errors of all settings that have the wrong form, an
// unknown name or a malformed value. Apply does not check values against their bounds; check does.
func (t *Tuning) Apply(b []byte) error {
	exprs, err := parseSexp(string(b))
	if err != nil {
		return err
	}
	if len(exprs) != 1 || len(exprs[0].list) == 0 || exprs[0].list[0].atom != "tuning" {
		return errors.New("want one expression (tuning ...)")
	}
	var faults []error
	for _, expr := range exprs[0].list[1:] {
		if len(expr.list) != 2 || expr.list[0].atom == "" || expr.list[1].atom == "" {
			faults = append(faults, errors.New("want a setting of the form (name value)"))
			continue
		}
		name := expr.list[0].atom
		if err := t.set(name, expr.list[1].atom); err != nil {
			faults = append(faults, fmt.Errorf("%s: %w", name, err))
		}
	}
	return errors.Join(faults...)
}

// errNotOnOff is the error for a boolean setting whose value is neither on nor off.
var errNotOnOff = errors.New("must be on or off")

// errUnknownSetting is the error for an unknown setting name.
var errUnknownSetting = errors.New("unknown setting")

// set parses a value and assigns it to the setting with the given name.
func (t *Tuning) set(name, value string) error {
	var err error
	switch field := t.field(name).(type) {
	case *time.Duration:
		*field, err = time.ParseDuration(value)
	case *float64:
		*field, err = strconv.ParseFloat(value, 64)
	case *int:
		*field, err = strconv.Atoi(value)
	case *bool:
		*field, err = parseOnOff(value)
	case *PlanMode:
		*field = PlanMode(value)
	case *Rebalance:
		*field = Rebalance(value)
	default:
		err = errUnknownSetting
	}
	return err
}

// field returns a pointer to the field of the setting with the given name, or nil if the name is unknown.
func (t *Tuning) field(name string) any {
	return map[string]any{
		"leader-lease":    &t.LeaderLease,
		"round":           &t.PlanInterval,
		"silent":          &t.UnreachableAfter,
		"idle-keep":       &t.ScaleInDelay,
		"boot-factor":     &t.BootTimeoutFactor,
		"headroom":        &t.Headroom,
		"spare":           &t.ServiceSpareFraction,
		"max-wait":        &t.StarvationTimeout,
		"gang-wait":       &t.GangPreemptAfter,
		"plan":            &t.PlanMode,
		"rebalance":       &t.Rebalance,
		"moves-cluster":   &t.Migration.Cluster,
		"moves-zone":      &t.Migration.Zone,
		"moves-team":      &t.Migration.Team,
		"moves-margin":    &t.Migration.MinGainFactor,
		"moves-settle":    &t.Migration.LeaderSettleTime,
		"moves-patience":  &t.Migration.MinTaskWait,
		"moves-min-run":   &t.Migration.MinRunTime,
		"links":           &t.Links.Enabled,
		"links-suspect":   &t.Links.SuspectGrace,
		"links-half-life": &t.Links.PenaltyHalfLife,
		"links-hold":      &t.Links.MinTermDuration,
		"links-persist":   &t.Links.StabilizationWindow,
	}[name]
}

// parseOnOff parses the value of a boolean setting.
func parseOnOff(value string) (bool, error) {
	switch value {
	case "on":
		return true, nil
	case "off":
		return false, nil
	}
	return false, errNotOnOff
}
