package replication

import (
	"math/rand/v2"
	"sort"

	"cairnfront/internal/sim/faults"
)

// Draw makes a script that a ledger of three copies has to bear: machines are lost with their disks one at a time, with time between to
// copy what they held; losses of power, stops, cuts and bad networks come on top of that, and all is well in the last seconds.
func GenerateScript(seed uint64, routers int, until float64) faults.Script {
	rnd := rand.New(rand.NewPCG(seed, 0x1ed9e4))
	s := faults.Script{Seed: seed, Peers: routers, Until: until}
	last := until - 20
	for at := 4 + 3*rnd.Float64(); at < last; at += lossEvery * (0.9 + 0.4*rnd.Float64()) {
		s.Acts = append(s.Acts, faults.Act{Do: faults.Wipe, At: at, Until: at + 1 + 4*rnd.Float64(), From: []int{rnd.IntN(routers)}})
	}
	for range 2 + rnd.IntN(5) {
		a := faults.Act{At: 3 + rnd.Float64()*(last-6)}
		a.Until = min(a.At+0.3+rnd.ExpFloat64()*2, last)
		switch rnd.IntN(6) {
		case 0, 1:
			a.Do, a.From = faults.Kill, []int{rnd.IntN(routers)}
		case 2:
			a.Do, a.From = faults.Pause, []int{rnd.IntN(routers)}
		case 3:
			a.Do, a.Both = faults.Cut, rnd.IntN(3) > 0
			for i := range routers {
				if rnd.IntN(3) == 0 {
					a.From = append(a.From, i)
				} else {
					a.To = append(a.To, i)
				}
			}
			if len(a.From) == 0 || len(a.To) == 0 {
				a.From, a.To = []int{0}, []int{1}
			}
		case 4:
			a.Do, a.Share = faults.Lose, 0.3*rnd.Float64()
		default:
			a.Do, a.S = faults.Delay, 0.15*rnd.Float64()
		}
		if a.Until > a.At {
			s.Acts = append(s.Acts, a)
		}
	}
	sort.SliceStable(s.Acts, func(i, j int) bool { return s.Acts[i].At < s.Acts[j].At })
	return s
}

// lossEvery is the s between two machines that are lost with their disks: what it takes to find out, to wait, and to copy.
const lossEvery = 16.0
