package observation

import (
	"maps"
	"math"
	"slices"

	"cairnfront/internal/membership/swim"
	"cairnfront/routing"
)

// Limits of the stored observations. Times are in seconds unless a comment states another unit.
const (
	observationTTL   = 10.0 // s; an endpoint that still fails is observed again within this time
	localEvidenceTTL = 60.0 // s since the last attempt
	maxEndpoints     = 1024 // limit of the endpoints with observations, and of those with local evidence
	maxPerEndpoint   = 24   // observations per endpoint
	maxStored        = 4096 // observations in total, about 300 bytes each with their signed encodings
)

// Reporting of observations by this router. Times are in seconds unless a comment states another unit.
const (
	failuresToReport  = 2    // consecutive failed attempts; a single one may be chance
	slowToReport      = 4    // consecutive late attempts
	successesToReport = 3    // consecutive successful attempts before a report is revoked
	repeatInterval    = 6.0  // interval after which an unchanged observation is reported again
	reportsPerSecond  = 4.0  // limits the traffic when many endpoints fail at once
	reportBurst       = 16.0 // reports that may be sent at once
)

// storedObservation is an observation with its expiry time.
type storedObservation struct {
	Observation
	expiresAt float64
	verified  bool // confirmed or refuted by an attempt of this router
}

// localEvidence is what the attempts of this router showed about an endpoint's health.
type localEvidence struct {
	last          Health
	consecutive   int // number of consecutive attempts with that health
	reported      Health
	reportedAt    float64
	lastSuccessAt float64
	lastFailureAt float64
}

// Tracker holds the observations known to one router. It is not safe for concurrent use.
type Tracker struct {
	self         swim.MemberID
	zone         string
	maxByzantine int
	startMillis  uint64

	stored      map[routing.EndpointID][]storedObservation // in order of arrival
	storedCount int
	witnesses   map[swim.MemberID]*witness
	local       map[routing.EndpointID]*localEvidence
	doubts      map[routing.EndpointID]Doubt

	lastSequence uint32
	unsigned     []Observation
	reports      tokenBucket
	queue        []queuedObservation
}

// New returns the tracker of a member with the given zone and start time. maxByzantine is the maximum number of
// byzantine members.
func New(self swim.MemberID, zone string, maxByzantine int, startMillis uint64) *Tracker {
	return &Tracker{
		self:         self,
		zone:         zone,
		maxByzantine: maxByzantine,
		startMillis:  startMillis,
		stored:       map[routing.EndpointID][]storedObservation{},
		witnesses:    map[swim.MemberID]*witness{},
		local:        map[routing.EndpointID]*localEvidence{},
		doubts:       map[routing.EndpointID]Doubt{},
		reports:      tokenBucket{tokens: reportBurst},
	}
}

// AttemptEnded records the outcome of an attempt by this router at an endpoint. It confirms or refutes the
// observations by other witnesses, and may create an observation by this router, which TakeUnsigned returns.
func (t *Tracker) AttemptEnded(now float64, endpoint routing.EndpointID, health Health) []Doubt {
	evidence := t.localOf(now, endpoint)
	if evidence == nil {
		return nil
	}
	evidence.add(now, health)
	t.verifyWitnesses(now, endpoint, evidence)
	if evidence.shouldReport(now) && t.reports.take(now) {
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

// localOf returns the local evidence of an endpoint and creates it if necessary. It returns nil if there are too many
// endpoints.
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
		e.last, e.consecutive = health, 0
	}
	e.consecutive++
	if health == Failing {
		e.lastFailureAt = now
	} else {
		e.lastSuccessAt = now
	}
}

// shouldReport reports whether enough consecutive attempts agree and the same health was not reported recently. Good
// health is only reported to revoke another report.
func (e *localEvidence) shouldReport(now float64) bool {
	if e.reported == e.last && now < e.reportedAt+repeatInterval {
		return false
	}
	if e.last == Healthy && (e.reported == 0 || e.reported == Healthy) {
		return false
	}
	return e.consecutive >= attemptsToReport(e.last)
}

// attemptsToReport returns the number of consecutive attempts that must agree before a health is reported.
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

// Tick removes expired observations and returns the doubts that changed as a result, sorted by endpoint.
func (t *Tracker) Tick(now float64) (changed []Doubt) {
	endpoints := slices.Sorted(maps.Keys(t.doubts))
	t.expire(now)
	for _, endpoint := range endpoints {
		changed = append(changed, t.updateDoubt(now, endpoint)...)
	}
	return changed
}

func (t *Tracker) expire(now float64) {
	t.removeStored(func(h storedObservation) bool { return now >= h.expiresAt })
	for endpoint, e := range t.local {
		if now > max(e.lastSuccessAt, e.lastFailureAt)+localEvidenceTTL {
			delete(t.local, endpoint)
		}
	}
}

// removeStored removes the observations that match a condition.
func (t *Tracker) removeStored(condition func(storedObservation) bool) {
	for endpoint, list := range t.stored {
		before := len(list)
		list = slices.DeleteFunc(list, condition)
		t.storedCount -= before - len(list)
		if len(list) == 0 {
			delete(t.stored, endpoint)
		} else {
			t.stored[endpoint] = list
		}
	}
}

// EndpointEvidence lists the stored observations of an endpoint, in reports for operators.
type EndpointEvidence struct {
	Endpoint  routing.EndpointID
	Doubt     float64
	Witnesses []swim.MemberID
	Healths   []Health // the health observed by each witness
}

// Snapshot returns the observations that have not expired, sorted by endpoint.
func (t *Tracker) Snapshot(now float64) (list []EndpointEvidence) {
	for _, endpoint := range slices.Sorted(maps.Keys(t.stored)) {
		evidence := EndpointEvidence{Endpoint: endpoint, Doubt: t.doubts[endpoint].Level}
		for _, h := range t.stored[endpoint] {
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
