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
	LeaderLease time.Duration // how long leadership lasts without renewal
	Round       time.Duration // from one plan to the next
	Silent      time.Duration // a worker not heard of for so long is fenced; 0: by report_s
	IdleKeep    time.Duration // how long more machines are kept than are needed
	BootFactor  float64       // a boot is given up after this many times startup_s
	Headroom    float64       // multiplies the room kept free for expected arrivals
	Spare       float64       // part of the services' machines whose loss others must have room for
	MaxWait     time.Duration // a job that waits longer for its first task goes before all others
	GangWait    time.Duration // other work waits so long for room before a whole gang is stopped for it
	Plan        string        // "asm1", or "none": only local work and stealing
	Links       Links
	Rebalance   Rebalance
	Moves       Moves
}

// Rebalance says what is done about uneven load.
type Rebalance string

// The modes of rebalancing. Each but the first shows the load.
const (
	RebalanceOff    Rebalance = "off"
	RebalanceReport Rebalance = "report" // load, imbalance and hot teams are shown
	RebalancePlace  Rebalance = "place"  // while a team is hot, work is spread over equal holders
	RebalanceMove   Rebalance = "move"   // running tasks are moved when that pays
)

// Moves holds the operators' settings for moves of running tasks.
type Moves struct {
	Cluster, Zone, Team int           // moves at once
	Margin              float64       // how many times its cost a move must gain
	Settle              time.Duration // a leader leads for so long before it moves anything
	Patience            time.Duration // a task waits for so long before others are moved for it
	MinRun              time.Duration // a task has run for so long before it is moved
}

// rebalanceModes are all of them.
var rebalanceModes = []Rebalance{RebalanceOff, RebalanceReport, RebalancePlace, RebalanceMove}

const (
	// maxMoves bounds the moves at once.
	maxMoves  = 1000
	maxMargin = 100
)

// Links holds the operators' settings for the view of half-broken links.
type Links struct {
	Enabled  bool
	Suspect  time.Duration // granted beyond a link's usual delays before it is suspected
	HalfLife time.Duration // of the penalty for a link that breaks again and again
	Hold     time.Duration // a lead is kept for so long before it is handed over
	Persist  time.Duration // a sibling must be better placed for so long
}

// DefaultTuning is used where the operators say nothing.
func DefaultTuning() Tuning {
	return Tuning{
		LeaderLease: 2 * time.Second,
		Round:       5 * time.Second,
		IdleKeep:    12 * time.Second,
		BootFactor:  3.5,
		Headroom:    1,
		Spare:       0.05,
		MaxWait:     2 * time.Minute,
		GangWait:    5 * time.Second,
		Plan:        "asm1",
		Links: Links{
			Suspect:  time.Second,
			HalfLife: 15 * time.Second,
			Hold:     15 * time.Second,
			Persist:  3 * time.Second,
		},
		Rebalance: RebalanceOff,
		Moves: Moves{
			Cluster:  4,
			Zone:     2,
			Team:     2,
			Margin:   2,
			Settle:   15 * time.Second,
			Patience: 5 * time.Second,
			MinRun:   30 * time.Second,
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
		{"round: must be from 100ms to 10m", t.Round < 100*time.Millisecond || t.Round > 10*time.Minute},
		{"silent: must be 0 or at least 1s", t.Silent != 0 && t.Silent < time.Second},
		{"idle-keep: negative", t.IdleKeep < 0},
		{"boot-factor: must be at least 1", t.BootFactor < 1},
		{"headroom: must be from 0 to 10", t.Headroom < 0 || t.Headroom > 10},
		{"spare: must be from 0 to 1", t.Spare < 0 || t.Spare > 1},
		{"max-wait: must be at least 1s", t.MaxWait < time.Second},
		{"gang-wait: negative", t.GangWait < 0},
		{"plan: must be asm1 or none", t.Plan != "asm1" && t.Plan != "none"},
		{"rebalance: must be off, report, place or move", !slices.Contains(rebalanceModes, t.Rebalance)},
		{"moves-cluster: must be from 1 to 1000", t.Moves.Cluster < 1 || t.Moves.Cluster > maxMoves},
		{"moves-zone: must be from 1 to moves-cluster", t.Moves.Zone < 1 || t.Moves.Zone > t.Moves.Cluster},
		{"moves-team: must be from 1 to moves-cluster", t.Moves.Team < 1 || t.Moves.Team > t.Moves.Cluster},
		{"moves-margin: must be from 1 to 100", !(t.Moves.Margin >= 1 && t.Moves.Margin <= maxMargin)}, // nor NaN
		{"moves-settle: must be from 0 to 1h", t.Moves.Settle < 0 || t.Moves.Settle > time.Hour},
		{"moves-patience: must be from 0 to 1h", t.Moves.Patience < 0 || t.Moves.Patience > time.Hour},
		{"moves-min-run: must be from 0 to 1h", t.Moves.MinRun < 0 || t.Moves.MinRun > time.Hour},
		{"links-suspect: must be from 100ms to leader-lease", t.Links.Suspect < 100*time.Millisecond || t.Links.Suspect > t.LeaderLease},
		{"links-half-life: must be from 1s to 10m", t.Links.HalfLife < time.Second || t.Links.HalfLife > 10*time.Minute},
		{"links-hold: must be at least links-persist, and at most 10m", t.Links.Hold < t.Links.Persist || t.Links.Hold > 10*time.Minute},
		{"links-persist: must be at least 500ms", t.Links.Persist < 500*time.Millisecond},
	} {
		if f.bad {
			faults = append(faults, errors.New(f.name))
		}
	}
	return errors.Join(faults...)
}

// Read takes over what a tuning file says. Unknown names are refused.
func (t *Tuning) Read(b []byte) error {
	exprs, err := parseSexp(string(b))
	if err != nil {
		return err
	}
	if len(exprs) != 1 || len(exprs[0].list) == 0 || exprs[0].list[0].atom != "tuning" {
		return errors.New("want one expression (tuning ...)")
	}
	var faults []error
	for _, e := range exprs[0].list[1:] {
		if len(e.list) != 2 || e.list[0].atom == "" || e.list[1].atom == "" {
			faults = append(faults, errors.New("want (name value)"))
			continue
		}
		name := e.list[0].atom
		if err := t.set(name, e.list[1].atom); err != nil {
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
		*field, err = onOff(value)
	case *string:
		*field = value
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
		"round":           &t.Round,
		"silent":          &t.Silent,
		"idle-keep":       &t.IdleKeep,
		"boot-factor":     &t.BootFactor,
		"headroom":        &t.Headroom,
		"spare":           &t.Spare,
		"max-wait":        &t.MaxWait,
		"gang-wait":       &t.GangWait,
		"plan":            &t.Plan,
		"rebalance":       &t.Rebalance,
		"moves-cluster":   &t.Moves.Cluster,
		"moves-zone":      &t.Moves.Zone,
		"moves-team":      &t.Moves.Team,
		"moves-margin":    &t.Moves.Margin,
		"moves-settle":    &t.Moves.Settle,
		"moves-patience":  &t.Moves.Patience,
		"moves-min-run":   &t.Moves.MinRun,
		"links":           &t.Links.Enabled,
		"links-suspect":   &t.Links.Suspect,
		"links-half-life": &t.Links.HalfLife,
		"links-hold":      &t.Links.Hold,
		"links-persist":   &t.Links.Persist,
	}[name]
}

// onOff reads a setting that is on or off.
func onOff(value string) (bool, error) {
	switch value {
	case "on":
		return true, nil
	case "off":
		return false, nil
	}
	return false, errors.New("must be on or off")
}
