package fleet

import (
	"log/slog"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/settings"
)

const (
	// zoneSilenceThreshold is how long all machines of a zone must be silent before the zone counts as
	// partitioned.
	zoneSilenceThreshold = 2 * time.Second
	// zoneMissedHeartbeats is the number of heartbeats of the zone that must be missing as well: with
	// few machines, there are longer gaps between heartbeats.
	zoneMissedHeartbeats = 4
	// partitionLeases is the silence, in lease durations, after which machines of a partitioned zone
	// are terminated.
	partitionLeases = 5
	// minZoneMachines is how many machines a zone must have to be judged as a whole.
	minZoneMachines = 3
	// terminateDivisor bounds the machines of an unreachable zone that are terminated within a lease
	// duration, to 1/terminateDivisor of them.
	terminateDivisor = 50
)

// zoneContact is the contact with the machines of a zone.
type zoneContact struct {
	expected  int // machines that should be reachable
	lastHeard ident.MonotonicTime
}

// zoneMonitor distinguishes failures of machines from network partitions of their zone.
type zoneMonitor struct {
	cfg *Config
	// partitioned holds the zones whose machines and peers are all silent.
	partitioned map[string]bool
	// recoveredAt holds the times at which partitions of zones last ended.
	recoveredAt map[string]ident.MonotonicTime
	// unreachable holds the zones whose machines no controller reaches.
	unreachable map[string]*unreachableZone
}

func newZoneMonitor(cfg *Config) *zoneMonitor {
	return &zoneMonitor{
		cfg:         cfg,
		recoveredAt: map[string]ident.MonotonicTime{},
		unreachable: map[string]*unreachableZone{},
	}
}

// detectPartitions finds the zones whose machines and peers are all silent. They count as partitioned
// rather than failed: tasks in them keep running until the leases of their machines expire, and must
// not be started elsewhere before. Nothing is placed there meanwhile.
func (z *zoneMonitor) detectPartitions(contacts map[string]*zoneContact, now ident.MonotonicTime) {
	previous := z.partitioned
	z.partitioned = map[string]bool{}
	for zone, contact := range contacts {
		if z.isPartitioned(zone, contact, now) {
			z.partitioned[zone] = true
			if !previous[zone] {
				slog.Info("zone partitioned: all machines and peers are silent", "zone", zone, "machines", contact.expected)
			}
		} else if previous[zone] {
			// Its machines report one after the other, as their pending calls time out.
			slog.Info("zone partition ended", "zone", zone)
			z.recoveredAt[zone] = now
		}
	}
}

// isPartitioned reports whether all machines and peers of a zone are silent.
func (z *zoneMonitor) isPartitioned(zone string, contact *zoneContact, now ident.MonotonicTime) bool {
	heartbeatGap := z.cfg.Workers.HeartbeatS / float64(contact.expected)
	threshold := max(zoneSilenceThreshold, settings.Seconds(zoneMissedHeartbeats*heartbeatGap))
	return contact.expected >= minZoneMachines && now.Sub(contact.lastHeard) > threshold && z.cfg.ZonePeersSilent(zone)
}

// detectUnreachable finds the zones whose machines no controller reaches. A zone stays unreachable
// until one of its machines reports, even if all of the original ones are terminated by then.
func (z *zoneMonitor) detectUnreachable(contacts map[string]*zoneContact, overdue time.Duration, now ident.MonotonicTime) {
	for name, contact := range contacts {
		silence := now.Sub(contact.lastHeard)
		unreachable := contact.expected >= minZoneMachines && silence > overdue && z.cfg.ZoneUnreachable(name)
		switch known := z.unreachable[name]; {
		case unreachable && known == nil:
			slog.Info("zone unreachable from every controller", "zone", name, "machines", contact.expected)
			z.unreachable[name] = &unreachableZone{since: now, machines: contact.expected, periodStart: now}
		case known != nil && silence < overdue:
			slog.Info("zone reachable again", "zone", name)
			delete(z.unreachable, name)
		}
	}
}

// unreachableZone is a zone whose machines no controller reaches. A failure of the machines can't be
// distinguished from a network partition. If they were terminated as single unreachable machines are,
// a partition would cost the whole zone, and the machines provisioned as replacements would be
// unreachable as well.
type unreachableZone struct {
	since       ident.MonotonicTime
	machines    int                 // when it became unreachable
	terminated  int                 // in the present period
	periodStart ident.MonotonicTime // a period is as long as a lease
}

// renewBudget begins the next period of terminations when the present one is over.
func (u *unreachableZone) renewBudget(now ident.MonotonicTime, period time.Duration) {
	if now.Sub(u.periodStart) >= period {
		u.periodStart = now
		u.terminated = 0
	}
}

// mayTerminate reports whether one more machine may be terminated in the present period.
func (u *unreachableZone) mayTerminate() bool {
	return u.terminated < max(1, u.machines/terminateDivisor)
}
