package workers

import (
	"math"
	"slices"
	"time"

	"opaldale/internal/api"
)

// Image is a container image in a machine's cache.
type Image struct {
	Name string
	GB   float64
}

// imageCache is an estimate of the container images that a worker has cached. Workers evict the least
// recently used images when the disk is full.
type imageCache struct {
	images []Image // ordered from least to most recently used
}

func indexOfImage(images []Image, name string) int {
	return slices.IndexFunc(images, func(image Image) bool { return image.Name == name })
}

func (c *imageCache) has(name string) bool { return indexOfImage(c.images, name) >= 0 }

// markUsed makes an image the most recently used one. If the image is new and all images together exceed
// the disk size, the least recently used ones are evicted.
func (c *imageCache) markUsed(used Image, diskGB float64) {
	i := indexOfImage(c.images, used.Name)
	if i < 0 {
		c.images = append(c.images, used)
		c.evict(diskGB)
		return
	}
	cached := c.images[i]
	last := len(c.images) - 1
	copy(c.images[i:], c.images[i+1:])
	c.images[last] = cached
}

// evict removes the least recently used images until the rest fit on the disk. It always keeps the most
// recently used image.
func (c *imageCache) evict(diskGB float64) {
	totalGB := 0.0
	for _, image := range c.images {
		totalGB += image.GB
	}
	evicted := 0
	for evicted < len(c.images)-1 && totalGB > diskGB {
		totalGB -= c.images[evicted].GB
		evicted++
	}
	c.images = slices.Delete(c.images, 0, evicted)
}

func (c *imageCache) clear() { c.images = nil }

// CachedImages returns the images that the machine probably has cached, least recently used first.
// Callers must not modify the slice.
func (w *Worker) CachedImages() []Image { return w.imageCache.images }

// HasImage reports whether the machine probably has an image cached.
func (w *Worker) HasImage(image string) bool { return w.imageCache.has(image) }

// recordImageUse records that a task of the job uses the job's image on the machine.
func (w *Worker) recordImageUse(s *api.Spec) {
	diskGB := math.Inf(1) // while the machine type is unknown, no images are evicted
	if w.Type != nil {
		diskGB = w.Type.LocalDiskGB
	}
	w.imageCache.markUsed(Image{s.Image, s.ImageGB}, diskGB)
}

// HasTaskWithImage reports whether a task allocated on the machine uses an image. Such an image is cached
// there, or is about to be pulled.
func (w *Worker) HasTaskWithImage(image string) bool {
	for _, t := range w.Tasks {
		if t.Job.Spec.Image == image {
			return true
		}
	}
	return false
}

// ImagePullTime estimates how long the machine takes to pull a job's image. It returns 0 if the pull rate
// is unknown.
func (w *Worker) ImagePullTime(s *api.Spec) time.Duration {
	if w.Type == nil || w.Type.PullGBPerS <= 0 {
		return 0
	}
	return time.Duration(s.ImageGB / w.Type.PullGBPerS * float64(time.Second))
}
