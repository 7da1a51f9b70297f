package observation

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"cairnfront/internal/golden"
	"cairnfront/internal/membership/swim"
	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
)

// isStored reports whether an observation by a witness is still stored.
func isStored(list []EndpointEvidence, witness swim.MemberID) bool {
	return slices.ContainsFunc(list, func(e EndpointEvidence) bool { return slices.Contains(e.Witnesses, witness) })
}

const (
	traceEvents    = 8000
	traceMembers   = 9 // number of members used as witnesses and receivers
	traceEndpoints = 12
)

// traceRun makes random calls of a tracker, drawn from a seed, and logs the results.
type traceRun struct {
	tracker   *Tracker
	random    *rand.Rand
	now       float64
	sequences map[swim.MemberID]uint32
	log       strings.Builder
	doubts    int // number of doubts returned so far
	signed    int // number of this router's observations so far
}

func (p *traceRun) drawMember() swim.MemberID { return swim.MemberID(p.random.IntN(traceMembers)) }

func (p *traceRun) writeDoubts(list []Doubt) {
	p.doubts += len(list)
	for _, d := range list {
		fmt.Fprintf(&p.log, "D %s %.9f %.9f\n", d.Endpoint, d.Level, d.Until)
	}
}

// step makes one random call, or a few related ones.
func (p *traceRun) step() {
	p.now += 0.05 * p.random.Float64()
	endpoint := routing.EndpointID(fmt.Sprint("e-", p.random.IntN(traceEndpoints)))
	health := Health(1 + min(p.random.IntN(4), 2))
	fmt.Fprintf(&p.log, "%.9f\n", p.now)
	switch p.random.IntN(6) {
	case 0, 1:
		p.writeDoubts(p.tracker.AttemptEnded(p.now, endpoint, health))
	case 2, 3:
		p.receive(endpoint, health)
	case 4:
		p.gossip()
	case 5:
		p.inspect()
	}
}

// receive passes an observation by a random witness to the tracker.
func (p *traceRun) receive(endpoint routing.EndpointID, health Health) {
	witness := p.drawMember()
	p.sequences[witness] += uint32(p.random.IntN(3))
	o := Observation{
		Witness:            witness,
		WitnessStartMillis: 50 + uint64(p.now/40),
		Sequence:           p.sequences[witness],
		Endpoint:           endpoint,
		Health:             health,
		Zone:               fmt.Sprint("zone-", witness%4),
	}
	list, fresh := p.tracker.HandleObservation(p.now, o)
	p.writeDoubts(list)
	fmt.Fprintf(&p.log, "F %t\n", fresh)
}

// gossip queues the tracker's own observations, and takes those for a datagram to a random member.
func (p *traceRun) gossip() {
	for _, o := range p.tracker.TakeUnsigned() {
		p.signed++
		fmt.Fprintf(&p.log, "U %d %d %d %s %d %s\n",
			o.Witness, o.WitnessStartMillis, o.Sequence, o.Endpoint, o.Health, o.Zone)
		p.tracker.Enqueue(o)
	}
	for _, o := range p.tracker.Piggyback(p.drawMember(), traceMembers) {
		fmt.Fprintf(&p.log, "P %d %d %d %s %d\n", o.Witness, o.WitnessStartMillis, o.Sequence, o.Endpoint, o.Health)
	}
}

// inspect expires observations, occasionally removes a witness, and logs the state of the tracker.
func (p *traceRun) inspect() {
	p.writeDoubts(p.tracker.Tick(p.now))
	forgotten := p.drawMember()
	if p.random.IntN(10) == 0 && !isStored(p.tracker.Snapshot(p.now), forgotten) {
		p.tracker.ForgetWitness(forgotten)
	}
	for _, l := range p.tracker.Snapshot(p.now) {
		fmt.Fprintf(&p.log, "L %s %.9f %v %d\n", l.Endpoint, l.Doubt, l.Witnesses, len(l.Healths))
	}
	right, wrong, trusted := p.tracker.Reputation(p.drawMember())
	stored, queued := p.tracker.Sizes()
	fmt.Fprintf(&p.log, "R %.9f %.9f %t %d %d\n", right, wrong, trusted, stored, queued)
}

// TestResultsMatchRecordedTrace compares the results of several thousand random calls with a hash recorded from an
// earlier version. A refactoring that changes a decision, or the order of the results, gives another hash.
func TestResultsMatchRecordedTrace(t *testing.T) {
	p := &traceRun{
		tracker:   New(0, "zone-0", 1, 100),
		random:    rand.New(rand.NewPCG(5, 6)),
		sequences: map[swim.MemberID]uint32{},
	}
	for range traceEvents {
		p.step()
	}
	t.Logf("%d doubts, %d own observations", p.doubts, p.signed)
	assert.Greater(t, p.doubts, 100)
	assert.Greater(t, p.signed, 20)
	hash := sha256.Sum256([]byte(p.log.String()))
	golden.Compare(t, "trace.sha256", hex.EncodeToString(hash[:])+"\n")
}
