package workers

import (
	"math"
	"slices"
	"testing"
)

// TestImageCache checks that the most recently used images that fit on the disk are kept, and that the most
// recently used image is kept even if it does not fit.
func TestImageCache(t *testing.T) {
	for _, c := range []struct {
		name   string
		used   []Image
		diskGB float64
		want   []string
	}{
		{"all fit on the disk", []Image{{"a", 1}, {"b", 2}}, 3, []string{"a", "b"}},
		{"least recently used is evicted", []Image{{"a", 1}, {"b", 2}, {"c", 1}}, 3, []string{"b", "c"}},
		{"another use makes an image the last", []Image{{"a", 1}, {"b", 1}, {"a", 1}, {"c", 2}}, 3, []string{"a", "c"}},
		{"use of the last changes nothing", []Image{{"a", 1}, {"b", 1}, {"b", 1}}, 3, []string{"a", "b"}},
		{"larger than the disk", []Image{{"a", 1}, {"b", 9}}, 3, []string{"b"}},
		{"unknown disk", []Image{{"a", 100}, {"b", 100}}, math.Inf(1), []string{"a", "b"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var cache imageCache
			for _, image := range c.used {
				cache.markUsed(image, c.diskGB)
			}
			var names []string
			for _, image := range cache.images {
				names = append(names, image.Name)
			}
			if !slices.Equal(names, c.want) {
				t.Errorf("cached images: got %v, want %v", names, c.want)
			}
			if !cache.has(c.want[0]) || cache.has("other") {
				t.Errorf("has(%q) %v, has(%q) %v; want true, false", c.want[0], cache.has(c.want[0]), "other", cache.has("other"))
			}
		})
	}
}
