package standin

import (
	"math"
	"math/rand/v2"
	"sort"
)

// zipfExponent is the exponent of the popularity distribution of objects, as in request logs of video services.
const zipfExponent = 0.8

// Zipf selects random objects by Zipf's law.
type Zipf struct {
	cumulativeWeights []float64
}

// NewZipf returns a distribution over the given number of objects.
func NewZipf(objects int) *Zipf {
	z := &Zipf{cumulativeWeights: make([]float64, objects)}
	sum := 0.0
	for i := range z.cumulativeWeights {
		sum += math.Pow(float64(i+1), -zipfExponent)
		z.cumulativeWeights[i] = sum
	}
	return z
}

// Draw returns a random object number. Numbers start at 0, which is the most popular object.
func (z *Zipf) Draw(rnd *rand.Rand) uint64 {
	total := z.cumulativeWeights[len(z.cumulativeWeights)-1]
	return uint64(sort.SearchFloat64s(z.cumulativeWeights, rnd.Float64()*total))
}
