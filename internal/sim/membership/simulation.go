package membership

import (
	"fmt"
	"hash"
	"hash/fnv"
	"math/rand/v2"
	"slices"

	"cairnfront/internal/membership/swim"
	"cairnfront/internal/sim/clock"
	"cairnfront/internal/sim/faults"
)

// simulation is the state of one run.
type simulation struct {
	scheduler   *clock.Scheduler
	config      Config
	random      *rand.Rand
	instances   []*instance
	nameHashes  []uint64
	instanceIDs []uint64 // instance IDs of preloaded instances; nil without preloading
	killedAt    map[int]float64
	failedAt    map[observedMember]swim.Incarnation
	bytes       int
	datagrams   int
	trace       hash.Hash64
	result      *Result
}

// observedMember identifies a member and the instance that observes it.
type observedMember struct{ observer, member int }

// Run runs a simulation with the given configuration.
func Run(config Config) (*Result, error) {
	if err := config.Script.Validate(); err != nil {
		return nil, err
	}
	s := newSimulation(config)
	for _, i := range s.instances {
		if config.Preloaded {
			s.instanceIDs = append(s.instanceIDs, s.random.Uint64())
		}
		s.scheduler.After(startSpread*s.random.Float64(), func() { s.start(i) })
	}
	for _, transition := range config.Script.Transitions() {
		s.scheduler.At(transition.Time, func() { s.applyTransition(transition) })
	}
	end := config.Script.Duration
	settledBytes := 0
	s.scheduler.At(min(settleTime, end), func() { settledBytes = s.bytes })
	s.countDatagrams(end)
	if config.MeasureAgreement {
		last := lastFaultEnd(config.Script)
		s.scheduler.At(last+minTimer, func() { s.checkAgreement(last) })
	}
	s.scheduler.RunUntil(end)
	s.finish(float64(s.bytes-settledBytes), end)
	return s.result, nil
}

func newSimulation(config Config) *simulation {
	s := &simulation{
		scheduler: clock.New(config.Script.Seed, networkRandomStream, 0),
		config:    config,
		random:    rand.New(rand.NewPCG(config.Script.Seed, instanceRandomStream)),
		killedAt:  map[int]float64{},
		failedAt:  map[observedMember]swim.Incarnation{},
		trace:     fnv.New64a(),
		result:    &Result{Members: config.Script.Processes, AgreementSeconds: -1},
	}
	for i := range config.Script.Processes {
		s.nameHashes = append(s.nameHashes, swim.NameHash(fmt.Sprintf("n%d", i)))
		s.instances = append(s.instances, &instance{id: i, hostile: slices.Contains(config.Hostile, i)})
	}
	return s
}

// countDatagrams schedules the measurement of the datagram rate for each second.
func (s *simulation) countDatagrams(end float64) {
	const measurementMargin = 1e-9 // each second is measured just before the next one starts
	for second := 1.0; second <= end; second++ {
		before := 0
		s.scheduler.At(second-1, func() { before = s.datagrams })
		s.scheduler.At(second-measurementMargin, func() {
			rate := float64(s.datagrams-before) / float64(len(s.instances))
			s.result.DatagramsPerSecond = append(s.result.DatagramsPerSecond, rate)
		})
	}
}

func (s *simulation) finish(bytes, end float64) {
	s.result.BytesPerSecond = bytes / float64(len(s.instances)) / max(end-settleTime, 1)
	s.result.TraceHash = s.trace.Sum64()
	for _, i := range s.instances {
		if i.up {
			present, _, _ := i.core.Counts()
			s.result.FinalPresent = append(s.result.FinalPresent, present)
		}
	}
	slices.Sort(s.result.DetectionSeconds)
}

func lastFaultEnd(script faults.Script) float64 {
	end := 0.0
	for _, fault := range script.Faults {
		end = max(end, fault.Start, fault.End)
	}
	return end
}
