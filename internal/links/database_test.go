package links

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"opaldale/internal/ident"
)

// TestSupersededAdvertisements merges advertisements in random order, including duplicates and delayed
// ones, and checks that the database holds the newest one that has not expired.
func TestSupersededAdvertisements(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		database := NewDatabase([]ident.NodeID{"a"})
		now := ident.MonotonicTime(time.Hour)
		var held *Advertisement // the expected content of the database
		var made ident.MonotonicTime
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause_ms")) * time.Millisecond)
			a := Advertisement{
				Origin:      "a",
				Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
				Sequence:    rapid.Uint64Range(1, 20).Draw(t, "sequence"),
				Age:         time.Duration(rapid.IntRange(0, 6000).Draw(t, "age_ms")) * time.Millisecond,
			}
			expired := held == nil || now.Sub(made) >= AdvertisementLifetime
			newer := expired || a.Incarnation > held.Incarnation ||
				a.Incarnation == held.Incarnation && a.Sequence > held.Sequence
			want := a.Age < AdvertisementLifetime && newer
			if got := database.Merge(a, now); (got == Accepted) != want {
				t.Fatalf("merging %+v into a database with %+v: got %v, want accepted %v", a, held, got, want)
			}
			if want {
				held, made = &a, now.Add(-a.Age)
			}
			got, ok := database.Advertisement("a", now)
			if fresh := held != nil && now.Sub(made) < AdvertisementLifetime; ok != fresh || ok && got.Sequence != held.Sequence {
				t.Fatalf("got advertisement %+v, %v; want %+v, %v", got, ok, held, fresh)
			}
		}
		if got := database.Merge(Advertisement{Origin: "stranger", Incarnation: 9, Sequence: 9}, now); got != UnknownOrigin {
			t.Fatalf("merging an advertisement of an unknown origin: got %v, want %v", got, UnknownOrigin)
		}
	})
}
