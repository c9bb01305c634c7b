package settings

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"
)

// Tuning holds the operators' own settings, written as S-expressions:
//
//	(tuning (leader-lease 2s) (round 5s) (plan asm1))
type Tuning struct {
	LeaderLease          time.Duration // how long leadership lasts without renewal
	PlanInterval         time.Duration // from one plan to the next
	UnreachableAfter     time.Duration // a worker not heard of for so long is fenced; 0: by report_s
	ScaleInDelay         time.Duration // how long more machines are kept than are needed
	BootTimeoutFactor    float64       // a boot is given up after this many times startup_s
	Headroom             float64       // multiplies the room kept free for expected arrivals
	ServiceSpareFraction float64       // part of the services' machines whose loss others must have room for
	StarvationTimeout    time.Duration // a job that waits longer for its first task goes before all others
	GangPreemptAfter     time.Duration // other work waits so long for room before a whole gang is stopped for it
	PlanMode             PlanMode      // how waiting tasks are assigned to machines
	Links                Links
	Rebalance            Rebalance
	Migration            MigrationLimits
}

// PlanMode says how waiting tasks are assigned to machines.
type PlanMode string

// The plan modes.
const (
	PlanASM1 PlanMode = "asm1" // by periodic plans, with local work and stealing between them
	PlanNone PlanMode = "none" // by local work and stealing only
)

// Rebalance says what is done about uneven load.
type Rebalance string

// The modes of rebalancing. Each but the first shows the load.
const (
	RebalanceOff    Rebalance = "off"
	RebalanceReport Rebalance = "report" // load, imbalance and hot teams are shown
	RebalancePlace  Rebalance = "place"  // while a team is hot, work is spread over equal holders
	RebalanceMove   Rebalance = "move"   // running tasks are moved when that pays
)

// MigrationLimits holds the operators' settings for moves of running tasks.
type MigrationLimits struct {
	Cluster, Zone, Team int           // moves at once
	MinGainFactor       float64       // how many times its cost a move must gain
	LeaderSettleTime    time.Duration // a leader leads for so long before it moves anything
	MinTaskWait         time.Duration // a task waits for so long before others are moved for it
	MinRunTime          time.Duration // a task has run for so long before it is moved
}

// rebalanceModes are all of them.
var rebalanceModes = []Rebalance{RebalanceOff, RebalanceReport, RebalancePlace, RebalanceMove}

const (
	// maxConcurrentMoves bounds the moves at once.
	maxConcurrentMoves = 1000
	maxGainFactor      = 100
)

// Links holds the operators' settings for the view of half-broken links.
type Links struct {
	Enabled         bool
	SuspectAfter    time.Duration // granted beyond a link's usual delays before it is suspected
	PenaltyHalfLife time.Duration // of the penalty for a link that breaks again and again
	MinLeadTime     time.Duration // a lead is kept for so long before it is handed over
	BetterPeerFor   time.Duration // a sibling must be better placed for so long
}

// DefaultTuning is used where the operators say nothing.
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
			SuspectAfter:    time.Second,
			PenaltyHalfLife: 15 * time.Second,
			MinLeadTime:     15 * time.Second,
			BetterPeerFor:   3 * time.Second,
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

func (t *Tuning) check() error {
	var faults []error
	for _, f := range []struct {
		name string
		bad  bool
	}{
		{"leader-lease: must be from 500ms to 60s", t.LeaderLease < 500*time.Millisecond || t.LeaderLease > time.Minute},
		{"round: must be from 100ms to 10m", t.PlanInterval < 100*time.Millisecond || t.PlanInterval > 10*time.Minute},
		{"silent: must be 0 or at least 1s", t.UnreachableAfter != 0 && t.UnreachableAfter < time.Second},
		{"idle-keep: negative", t.ScaleInDelay < 0},
		{"boot-factor: must be at least 1", t.BootTimeoutFactor < 1},
		{"headroom: must be from 0 to 10", t.Headroom < 0 || t.Headroom > 10},
		{"spare: must be from 0 to 1", t.ServiceSpareFraction < 0 || t.ServiceSpareFraction > 1},
		{"max-wait: must be at least 1s", t.StarvationTimeout < time.Second},
		{"gang-wait: negative", t.GangPreemptAfter < 0},
		{"plan: must be asm1 or none", t.PlanMode != PlanASM1 && t.PlanMode != PlanNone},
		{"rebalance: must be off, report, place or move", !slices.Contains(rebalanceModes, t.Rebalance)},
		{"moves-cluster: must be from 1 to 1000", t.Migration.Cluster < 1 || t.Migration.Cluster > maxConcurrentMoves},
		{"moves-zone: must be from 1 to moves-cluster", t.Migration.Zone < 1 || t.Migration.Zone > t.Migration.Cluster},
		{"moves-team: must be from 1 to moves-cluster", t.Migration.Team < 1 || t.Migration.Team > t.Migration.Cluster},
		{"moves-margin: must be from 1 to 100", !(t.Migration.MinGainFactor >= 1 && t.Migration.MinGainFactor <= maxGainFactor)}, // nor NaN
		{"moves-settle: must be from 0 to 1h", t.Migration.LeaderSettleTime < 0 || t.Migration.LeaderSettleTime > time.Hour},
		{"moves-patience: must be from 0 to 1h", t.Migration.MinTaskWait < 0 || t.Migration.MinTaskWait > time.Hour},
		{"moves-min-run: must be from 0 to 1h", t.Migration.MinRunTime < 0 || t.Migration.MinRunTime > time.Hour},
		{"links-suspect: must be from 100ms to leader-lease", t.Links.SuspectAfter < 100*time.Millisecond || t.Links.SuspectAfter > t.LeaderLease},
		{"links-half-life: must be from 1s to 10m", t.Links.PenaltyHalfLife < time.Second || t.Links.PenaltyHalfLife > 10*time.Minute},
		{"links-hold: must be at least links-persist, and at most 10m", t.Links.MinLeadTime < t.Links.BetterPeerFor || t.Links.MinLeadTime > 10*time.Minute},
		{"links-persist: must be at least 500ms", t.Links.BetterPeerFor < 500*time.Millisecond},
	} {
		if f.bad {
			faults = append(faults, errors.New(f.name))
		}
	}
	return errors.Join(faults...)
}

// Apply takes over what a tuning file says. Unknown names are refused.
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
			faults = append(faults, errors.New("want (name value)"))
			continue
		}
		name := expr.list[0].atom
		if err := t.set(name, expr.list[1].atom); err != nil {
			faults = append(faults, fmt.Errorf("%s: %w", name, err))
		}
	}
	return errors.Join(faults...)
}

var errUnknownSetting = errors.New("unknown setting")

// set takes over one setting.
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

// field returns where a setting is kept, nil if there is none of that name.
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
		"links-suspect":   &t.Links.SuspectAfter,
		"links-half-life": &t.Links.PenaltyHalfLife,
		"links-hold":      &t.Links.MinLeadTime,
		"links-persist":   &t.Links.BetterPeerFor,
	}[name]
}

// parseOnOff reads a setting that is on or off.
func parseOnOff(value string) (bool, error) {
	switch value {
	case "on":
		return true, nil
	case "off":
		return false, nil
	}
	return false, errors.New("must be on or off")
}
