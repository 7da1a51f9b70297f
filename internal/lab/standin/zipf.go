package standin

import (
	"math"
	"math/rand/v2"
	"sort"
)

// zipfExponent is that of the popularity of objects, as request logs of videos show it.
const zipfExponent = 0.8

// Zipf draws objects by Zipf's law.
type Zipf struct {
	cumulated []float64
}

// NewZipf makes one for so many objects.
func NewZipf(objects int) *Zipf {
	z := &Zipf{cumulated: make([]float64, objects)}
	sum := 0.0
	for i := range z.cumulated {
		sum += math.Pow(float64(i+1), -zipfExponent)
		z.cumulated[i] = sum
	}
	return z
}

// Draw draws the number of an object, from 0 on, the most popular first.
func (z *Zipf) Draw(rnd *rand.Rand) uint64 {
	total := z.cumulated[len(z.cumulated)-1]
	return uint64(sort.SearchFloat64s(z.cumulated, rnd.Float64()*total))
}
