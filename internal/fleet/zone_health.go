package fleet

import (
	"log/slog"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/settings"
)

const (
	// zoneSilenceThreshold is how long nothing must be heard from a whole zone for it to be taken
	// for partitioned.
	zoneSilenceThreshold = 2 * time.Second
	// zoneMissedHeartbeats is how many heartbeats of the zone must be missing at the least: where
	// machines are few, there are gaps between their heartbeats.
	zoneMissedHeartbeats = 4
	// partitionLeases is after how many leases machines of a partitioned zone are terminated.
	partitionLeases = 5
	// minZoneMachines is how many machines a zone must have to be judged as a whole.
	minZoneMachines = 3
	// terminateDivisor is the part of an unreachable zone that is terminated within a lease.
	terminateDivisor = 50
)

// zoneContact is the contact with the machines of a zone.
type zoneContact struct {
	expected  int // machines that should be reachable
	lastHeard ident.MonotonicTime
}

// zoneMonitor tells the failure of machines from that of the network to their zone.
type zoneMonitor struct {
	cfg *Config
	// partitioned has the zones from which neither machines nor peers are heard.
	partitioned map[string]bool
	// recoveredAt has the times at which partitions of zones last ended.
	recoveredAt map[string]ident.MonotonicTime
	// unreachable has the zones whose machines no controller reaches.
	unreachable map[string]*unreachableZone
}

func newZoneMonitor(cfg *Config) *zoneMonitor {
	return &zoneMonitor{
		cfg:         cfg,
		recoveredAt: map[string]ident.MonotonicTime{},
		unreachable: map[string]*unreachableZone{},
	}
}

// detectPartitions finds the zones from which neither machines nor peers are heard. They are
// partitioned rather than failed: work in them goes on for as long as its leases last, and
// must not be started elsewhere before. Nothing is placed there meanwhile.
func (z *zoneMonitor) detectPartitions(contacts map[string]*zoneContact, now ident.MonotonicTime) {
	previous := z.partitioned
	z.partitioned = map[string]bool{}
	for zone, contact := range contacts {
		if z.isPartitioned(zone, contact, now) {
			z.partitioned[zone] = true
			if !previous[zone] {
				slog.Info("zone partitioned: no machine or peer is heard", "zone", zone, "machines", contact.expected)
			}
		} else if previous[zone] {
			// Its machines are heard one after the other, as their calls time out.
			slog.Info("zone partition ended", "zone", zone)
			z.recoveredAt[zone] = now
		}
	}
}

// isPartitioned says whether neither machines nor peers of a zone are heard.
func (z *zoneMonitor) isPartitioned(zone string, contact *zoneContact, now ident.MonotonicTime) bool {
	heartbeatGap := z.cfg.Workers.HeartbeatS / float64(contact.expected)
	threshold := max(zoneSilenceThreshold, settings.Seconds(zoneMissedHeartbeats*heartbeatGap))
	return contact.expected >= minZoneMachines && now.Sub(contact.lastHeard) > threshold && z.cfg.ZonePeersSilent(zone)
}

// detectUnreachable finds the zones whose machines no controller reaches. A zone stays one until a
// machine of it is heard, even if all that it had are terminated by then.
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

// unreachableZone is a zone whose machines no controller reaches. They may have failed, or run
// behind a network partition, which cannot be told apart. If they were terminated as single
// unreachable machines are, a partition would cost the whole zone; the machines provisioned
// in their place would be unreachable as well, and so on for as long as the partition lasts.
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

// mayTerminate says whether one more machine may be terminated in the present period.
func (u *unreachableZone) mayTerminate() bool {
	return u.terminated < max(1, u.machines/terminateDivisor)
}
