package links

import (
	"slices"
	"time"

	"opaldale/internal/enum"
	"opaldale/internal/ident"
)

// AdvertisementLifetime is the age at which an advertisement expires.
const AdvertisementLifetime = 4 * time.Second

// MergeResult is the outcome of Database.Merge: Accepted, or the reason why an advertisement was dropped.
type MergeResult uint8

// The results of Database.Merge.
const (
	Accepted      MergeResult = iota
	UnknownOrigin             // its origin is not a peer
	Expired                   // its age is unknown or has reached AdvertisementLifetime
	Superseded                // the database holds the same or a newer one of the same origin
)

// String returns the result's name in metrics.
func (r MergeResult) String() string { return enum.Name(mergeResultNames[:], r, "merge result") }

var mergeResultNames = [...]string{"taken", "foreign", "expired", "older"}

// Database is a link state database. It holds the newest advertisement of each peer.
type Database struct {
	peers   map[ident.NodeID]bool
	entries map[ident.NodeID]databaseEntry
}

type databaseEntry struct {
	advertisement Advertisement
	// madeAfter is the earliest possible creation time of the advertisement by this node's clock.
	madeAfter ident.MonotonicTime
}

// age returns an upper bound on the time since the advertisement was made.
func (e databaseEntry) age(now ident.MonotonicTime) time.Duration { return now.Sub(e.madeAfter) }

// NewDatabase returns an empty database that accepts advertisements of the given peers only.
func NewDatabase(peers []ident.NodeID) *Database {
	database := &Database{peers: map[ident.NodeID]bool{}, entries: map[ident.NodeID]databaseEntry{}}
	for _, peer := range peers {
		database.peers[peer] = true
	}
	return database
}

// Merge adds an advertisement received from its origin or from another peer. Its Age must be valid at
// now: the caller adds the time since this node sent the message that the sender has echoed, so that a
// delayed advertisement has a high age regardless of the sender's clock. A negative age means that the
// age is unknown.
func (d *Database) Merge(advertisement Advertisement, now ident.MonotonicTime) MergeResult {
	if !d.peers[advertisement.Origin] {
		return UnknownOrigin
	}
	if advertisement.Age < 0 || advertisement.Age >= AdvertisementLifetime {
		return Expired
	}
	held, ok := d.entries[advertisement.Origin]
	if ok && held.age(now) < AdvertisementLifetime && !advertisement.newer(&held.advertisement) {
		return Superseded
	}
	d.entries[advertisement.Origin] = databaseEntry{
		advertisement: advertisement,
		madeAfter:     now.Add(-advertisement.Age),
	}
	return Accepted
}

// Advertisement returns a peer's newest advertisement with its current age, and false if there is none
// or it has expired.
func (d *Database) Advertisement(origin ident.NodeID, now ident.MonotonicTime) (Advertisement, bool) {
	held, ok := d.entries[origin]
	if !ok || held.age(now) >= AdvertisementLifetime {
		return Advertisement{}, false
	}
	advertisement := held.advertisement
	advertisement.Age = held.age(now)
	return advertisement, true
}

// Advertisements returns the newest advertisement of each peer, ordered by origin, without those that
// have expired.
func (d *Database) Advertisements(now ident.MonotonicTime) []Advertisement {
	var current []Advertisement
	for _, origin := range d.origins() {
		if advertisement, ok := d.Advertisement(origin, now); ok {
			current = append(current, advertisement)
		}
	}
	return current
}

// origins returns the peers whose advertisements are in the database, sorted.
func (d *Database) origins() []ident.NodeID {
	origins := make([]ident.NodeID, 0, len(d.entries))
	for origin := range d.entries {
		origins = append(origins, origin)
	}
	slices.Sort(origins)
	return origins
}
