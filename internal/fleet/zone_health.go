package fleet

import (
	"log/slog"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/settings"
)

const (
	// zoneSilenceThreshold is the shortest time for which all machines of a zone must be silent before
	// the zone counts as partitioned.
	zoneSilenceThreshold = 2 * time.Second
	// zoneMissedHeartbeats is the number of heartbeats from the zone that must be missing as well. With
	// few machines, the time between two heartbeats from a zone may exceed zoneSilenceThreshold.
	zoneMissedHeartbeats = 4
	// partitionLeases is the silence after which a machine of a partitioned zone is terminated, as a
	// multiple of the lease duration.
	partitionLeases = 5
	// minZoneMachines is the number of machines from which a zone can be found partitioned or
	// unreachable. In smaller zones the machines are only checked individually.
	minZoneMachines = 3
	// terminateDivisor limits the terminations in an unreachable zone: within a lease duration, at most
	// 1/terminateDivisor of its machines, but at least one, may be terminated.
	terminateDivisor = 50
)

// zoneContact summarizes the communication with the machines of a zone.
type zoneContact struct {
	expected    int                 // number of machines that should be reachable
	lastContact ident.MonotonicTime // last contact with any of them, or the last stall of this node if later
}

// zoneMonitor detects zones that are partitioned or unreachable, so that a network failure of a zone is
// not mistaken for the failure of all its machines.
type zoneMonitor struct {
	cfg *Config
	// partitioned holds the zones whose machines and controllers are all silent.
	partitioned map[string]bool
	// recoveredAt holds the times at which partitions of zones last ended.
	recoveredAt map[string]ident.MonotonicTime
	// unreachable holds the zones whose machines no controller can reach.
	unreachable map[string]*unreachableZone
}

func newZoneMonitor(cfg *Config) *zoneMonitor {
	return &zoneMonitor{
		cfg:         cfg,
		recoveredAt: map[string]ident.MonotonicTime{},
		unreachable: map[string]*unreachableZone{},
	}
}

// detectPartitions finds the zones whose machines and controllers are all silent. They count as
// partitioned, not as failed: their tasks keep running until the leases of the machines expire, and must
// not be restarted elsewhere before that. Meanwhile, no tasks are placed in these zones.
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
			// The machines resume their heartbeats one after the other, as their pending calls time
			// out, so their silence only counts from now.
			slog.Info("zone partition ended", "zone", zone)
			z.recoveredAt[zone] = now
		}
	}
}

// isPartitioned reports whether all machines and controllers of a zone have been silent for long enough.
func (z *zoneMonitor) isPartitioned(zone string, contact *zoneContact, now ident.MonotonicTime) bool {
	heartbeatGap := z.cfg.Workers.HeartbeatS / float64(contact.expected)
	threshold := max(zoneSilenceThreshold, settings.Seconds(zoneMissedHeartbeats*heartbeatGap))
	return contact.expected >= minZoneMachines && now.Sub(contact.lastContact) > threshold && z.cfg.ZonePeersUnreachable(zone)
}

// detectUnreachable finds the zones whose machines no controller can reach. A zone stays unreachable until
// one of its machines sends a heartbeat, even if all of the original machines are terminated by then.
func (z *zoneMonitor) detectUnreachable(contacts map[string]*zoneContact, overdue time.Duration, now ident.MonotonicTime) {
	for name, contact := range contacts {
		silence := now.Sub(contact.lastContact)
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

// unreachableZone is a zone whose machines no controller can reach. Whether the machines have failed or
// are behind a network partition can't be determined. Individual unreachable machines are terminated,
// but terminating all machines here would destroy the whole zone in case of a partition, and the
// replacements provisioned there would be unreachable as well.
type unreachableZone struct {
	since       ident.MonotonicTime
	machines    int                 // number of machines when the zone became unreachable
	terminated  int                 // number of machines terminated in the present period
	periodStart ident.MonotonicTime // start of the present period, which is as long as a lease
}

// renewBudget starts a new period when the present one is over, and resets the number of terminations.
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
