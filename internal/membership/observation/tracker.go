package observation

import (
	"maps"
	"math"
	"slices"

	"cairnfront/internal/membership/swim"
	"cairnfront/routing"
)

// What is held. Times in seconds unless a constant says otherwise.
const (
	expiry         = 10.0 // of an observation: an endpoint that still fails is observed again by then
	localExpiry    = 60.0 // of own evidence, after the last attempt
	maxEndpoints   = 1024 // with observations, and with own evidence
	maxPerEndpoint = 24   // observations
	maxHeld        = 4096 // observations in all, about 300 bytes each with their signed encodings
)

// Own observations. Times in seconds unless a constant says otherwise.
const (
	failuresToReport  = 2    // failed attempts in a row: one is chance
	slowToReport      = 4    // late attempts in a row
	successesToReport = 3    // good attempts in a row before an own report is taken back
	repeatAfter       = 6.0  // after which an observation that still holds is reported again
	reportsPerSecond  = 4.0  // own ones: more is a storm
	reportBurst       = 16.0 // own ones
)

// heldObservation is an observation until it expires.
type heldObservation struct {
	Observation
	expiresAt float64
	verified  bool // confirmed or refuted by an own attempt
}

// localEvidence is what this router's own attempts showed of an endpoint.
type localEvidence struct {
	last          Health
	run           int // attempts in a row with that health
	reported      Health
	reportedAt    float64
	lastSuccessAt float64
	lastFailureAt float64
}

// Tracker holds the observations of one router. It belongs to one goroutine.
type Tracker struct {
	self         swim.MemberID
	zone         string
	maxByzantine int
	startMillis  uint64

	held      map[routing.EndpointID][]heldObservation // in the order in which they came
	heldCount int
	witnesses map[swim.MemberID]*witness
	local     map[routing.EndpointID]*localEvidence
	doubts    map[routing.EndpointID]Doubt

	lastSequence uint32
	unsigned     []Observation
	reports      tokenBucket
	queue        []queuedObservation
}

// New makes the tracker of a member, with its zone and its incarnation. At most maxByzantine members are taken to
// be byzantine.
func New(self swim.MemberID, zone string, maxByzantine int, startMillis uint64) *Tracker {
	return &Tracker{
		self:         self,
		zone:         zone,
		maxByzantine: maxByzantine,
		startMillis:  startMillis,
		held:         map[routing.EndpointID][]heldObservation{},
		witnesses:    map[swim.MemberID]*witness{},
		local:        map[routing.EndpointID]*localEvidence{},
		doubts:       map[routing.EndpointID]Doubt{},
		reports:      tokenBucket{tokens: reportBurst},
	}
}

// AttemptEnded takes how an own attempt at an endpoint ended. It confirms or refutes the endpoint's witnesses, and
// may make an own observation, which TakeUnsigned returns.
func (t *Tracker) AttemptEnded(now float64, endpoint routing.EndpointID, health Health) []Doubt {
	evidence := t.localOf(now, endpoint)
	if evidence == nil {
		return nil
	}
	evidence.add(now, health)
	t.verifyWitnesses(now, endpoint, evidence)
	if evidence.worthReporting(now) && t.reports.take(now) {
		evidence.reported, evidence.reportedAt = health, now
		t.lastSequence++
		t.unsigned = append(t.unsigned, Observation{
			Witness:            t.self,
			WitnessStartMillis: t.startMillis,
			Sequence:           t.lastSequence,
			Endpoint:           endpoint,
			Health:             health,
			Zone:               t.zone,
		})
	}
	return t.updateDoubt(now, endpoint)
}

// localOf is the evidence of an endpoint, made if need be; nil if there are too many endpoints.
func (t *Tracker) localOf(now float64, endpoint routing.EndpointID) *localEvidence {
	if evidence := t.local[endpoint]; evidence != nil {
		return evidence
	}
	if len(t.local) >= maxEndpoints {
		t.expire(now)
	}
	if len(t.local) >= maxEndpoints {
		return nil
	}
	evidence := &localEvidence{}
	t.local[endpoint] = evidence
	return evidence
}

func (e *localEvidence) add(now float64, health Health) {
	if e.last != health {
		e.last, e.run = health, 0
	}
	e.run++
	if health == Failing {
		e.lastFailureAt = now
	} else {
		e.lastSuccessAt = now
	}
}

// worthReporting reports whether enough attempts in a row agree and the same was not reported lately. Good health
// is worth reporting only to take back another report.
func (e *localEvidence) worthReporting(now float64) bool {
	if e.reported == e.last && now < e.reportedAt+repeatAfter {
		return false
	}
	if e.last == Healthy && (e.reported == 0 || e.reported == Healthy) {
		return false
	}
	return e.run >= attemptsToReport(e.last)
}

// attemptsToReport is how many attempts in a row have to agree before they are reported.
func attemptsToReport(health Health) int {
	switch health {
	case Failing:
		return failuresToReport
	case Slow:
		return slowToReport
	case Healthy:
		return successesToReport
	}
	return math.MaxInt
}

// Tick drops what has expired and gives the doubts that changed by it, in the order of their endpoints.
func (t *Tracker) Tick(now float64) (changed []Doubt) {
	endpoints := slices.Sorted(maps.Keys(t.doubts))
	t.expire(now)
	for _, endpoint := range endpoints {
		changed = append(changed, t.updateDoubt(now, endpoint)...)
	}
	return changed
}

func (t *Tracker) expire(now float64) {
	t.dropHeld(func(h heldObservation) bool { return now >= h.expiresAt })
	for endpoint, e := range t.local {
		if now > max(e.lastSuccessAt, e.lastFailureAt)+localExpiry {
			delete(t.local, endpoint)
		}
	}
}

// dropHeld drops the observations that meet a condition.
func (t *Tracker) dropHeld(condition func(heldObservation) bool) {
	for endpoint, list := range t.held {
		before := len(list)
		list = slices.DeleteFunc(list, condition)
		t.heldCount -= before - len(list)
		if len(list) == 0 {
			delete(t.held, endpoint)
		} else {
			t.held[endpoint] = list
		}
	}
}

// EndpointEvidence is what is held of an endpoint, for operators.
type EndpointEvidence struct {
	Endpoint  routing.EndpointID
	Doubt     float64
	Witnesses []swim.MemberID
	Healths   []Health // what each witness observed
}

// Snapshot lists the observations that have not expired, by endpoint.
func (t *Tracker) Snapshot(now float64) (list []EndpointEvidence) {
	for _, endpoint := range slices.Sorted(maps.Keys(t.held)) {
		evidence := EndpointEvidence{Endpoint: endpoint, Doubt: t.doubts[endpoint].Level}
		for _, h := range t.held[endpoint] {
			if now < h.expiresAt {
				evidence.Witnesses = append(evidence.Witnesses, h.Witness)
				evidence.Healths = append(evidence.Healths, h.Health)
			}
		}
		if len(evidence.Witnesses) > 0 {
			list = append(list, evidence)
		}
	}
	return list
}
