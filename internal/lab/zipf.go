package lab

import (
	"math"
	"math/rand/v2"
	"sort"
)

// zipfExponent is that of the popularity of objects, as request logs of videos show it.
const zipfExponent = 0.8

// zipf draws objects by Zipf's law.
type zipf struct {
	cumulated []float64
}

func newZipf(objects int) *zipf {
	z := &zipf{cumulated: make([]float64, objects)}
	sum := 0.0
	for i := range z.cumulated {
		sum += math.Pow(float64(i+1), -zipfExponent)
		z.cumulated[i] = sum
	}
	return z
}

// draw draws the number of an object, from 0 on, the most popular first.
func (z *zipf) draw(rnd *rand.Rand) uint64 {
	total := z.cumulated[len(z.cumulated)-1]
	return uint64(sort.SearchFloat64s(z.cumulated, rnd.Float64()*total))
}
