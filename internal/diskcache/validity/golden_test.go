package validity

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"cairnfront/internal/golden"
)

// TestGoldenRecordBytes compares each kind of encoded record with the bytes specified in docs/disk-cache-format.md.
func TestGoldenRecordBytes(t *testing.T) {
	var text strings.Builder
	for kind := PurgeObject; kind <= PurgeFloor; kind++ {
		record := Record{
			Kind:      kind,
			Group:     0x1122,
			Object:    0x0102030405060708,
			PurgedAt:  0x21222324252627,
			Number:    0x31323334353637,
			Checksum:  0x41424344,
			WrittenAt: 0x51525354555657,
			Seq:       0x61626364656667,
		}
		text.WriteString(hex.Dump(AppendRecord(nil, record)))
	}
	golden.Compare(t, "records.txt", text.String())
}

func printRecords(out *strings.Builder, records []Record) {
	for _, r := range records {
		fmt.Fprintf(out, "  write kind=%d group=%d object=%d at=%d number=%d sum=%d clock=%d seq=%d\n",
			r.Kind, r.Group, r.Object, r.PurgedAt, r.Number, r.Checksum, r.WrittenAt, r.Seq)
	}
}

const (
	tracePurgeLimit = 24 // maximum number of purges that the tracker remembers
	traceObjects    = 60
	traceGroups     = 6
)

// validityTrace executes random events, restarts and evaluations on a tracker and prints every decision.
type validityTrace struct {
	random  *rand.Rand
	out     strings.Builder
	tracker *Tracker
	log     []Record // content of the purge log on the disk
	now     int64    // Unix ms
	lastSeq uint64   // highest sequence number on the disk
	number  uint64   // number of the last event sent
}

func (p *validityTrace) write(records []Record) {
	printRecords(&p.out, records)
	p.log = append(p.log, records...)
}

func (p *validityTrace) apply(event Event) {
	records, reconnect := p.tracker.Apply(p.now, p.lastSeq, event)
	fmt.Fprintf(&p.out, "event %d beat=%v purge=%v all=%v -> again=%v\n",
		event.Number, event.Heartbeat, event.Purge, event.ByGroup, reconnect)
	p.write(records)
	if reconnect {
		p.tracker.StreamOpened()
	}
}

// step executes one random action.
func (p *validityTrace) step() {
	p.now += int64(p.random.IntN(900))
	switch choice := p.random.IntN(20); {
	case choice < 6:
		p.number++
		p.apply(Event{
			Number:   p.number,
			Checksum: uint32(p.number) * 7,
			Purge:    true,
			ByGroup:  p.random.IntN(5) == 0,
			Object:   uint64(p.random.IntN(traceObjects)),
			Group:    uint16(p.random.IntN(traceGroups)),
			PurgedAt: p.now - int64(p.random.IntN(3000)),
		})
	case choice < 8:
		p.number++
		p.apply(Event{Number: p.number, Checksum: uint32(p.number) * 7})
	case choice < 12:
		p.apply(Event{Heartbeat: true})
	case choice == 12: // a gap
		p.number += uint64(p.random.IntN(3))
		p.apply(Event{Number: p.number, Checksum: uint32(p.random.IntN(9))})
	case choice == 13:
		p.tracker.StreamOpened()
		p.apply(Event{Number: p.tracker.ResumeAfter() + 1, Checksum: uint32(p.tracker.ResumeAfter()+1) * 7})
	case choice == 14:
		p.restart()
	case choice == 15:
		p.log = p.tracker.Records(p.now)
		printRecords(&p.out, p.log)
	case choice == 16:
		p.tracker.PrunePurges(p.now - int64(p.random.IntN(20000)))
		p.write([]Record{p.tracker.Checkpoint(p.now)})
	default:
		p.lastSeq++
	}
}

// restart creates a new tracker from the log, with the clock set back by a random time below 4 s.
func (p *validityTrace) restart() {
	p.tracker = NewTracker(tracePurgeLimit)
	p.now -= int64(p.random.IntN(4000))
	p.write(p.tracker.Restore(p.log, p.lastSeq, p.now))
	p.tracker.StreamOpened()
	fmt.Fprintf(&p.out, "restart: ask %d\n", p.tracker.ResumeAfter())
}

// evaluateRandomCopy evaluates a random copy and prints the verdict.
func (p *validityTrace) evaluateRandomCopy() {
	c := Copy{
		Object:         uint64(p.random.IntN(traceObjects)),
		Group:          uint16(p.random.IntN(traceGroups)),
		IssuedAt:       p.now - int64(p.random.IntN(9000)) + 500,
		Seq:            uint64(p.random.IntN(int(p.lastSeq) + 2)),
		ConfirmedEpoch: uint16(p.random.IntN(int(p.tracker.Epoch()) + 1)),
	}
	if p.random.IntN(8) == 0 {
		c.Group = UnknownGroup
	}
	fmt.Fprintf(&p.out, "judge %d/%d -> %d\n", c.Object, c.Group, p.tracker.Evaluate(p.now, c))
}

func (p *validityTrace) printState() {
	s := p.tracker.Status(p.now)
	position, continuous := p.tracker.Position()
	fmt.Fprintf(&p.out, "state %d %v %v %d %d %d %d %d %v %d\n", s.Number, s.UpToDate, s.Continuous, s.SuspectUpTo,
		s.PurgeFloor, s.Purges, s.ClockHighWater, position, continuous, p.tracker.Epoch())
}

func runValidityTrace(seed uint64, steps int) string {
	p := &validityTrace{
		random:  rand.New(rand.NewPCG(seed, 5)),
		tracker: NewTracker(tracePurgeLimit),
		now:     startMS,
	}
	p.tracker.StreamOpened()
	for range steps {
		p.step()
		for range 3 {
			p.evaluateRandomCopy()
		}
		p.printState()
	}
	return p.out.String()
}

// TestGoldenTrace checks by hash that the decisions for a fixed seed are the same as before. The text contains no Go
// identifiers, so renames do not change it.
func TestGoldenTrace(t *testing.T) {
	trace := runValidityTrace(11, 3000)
	golden.Compare(
		t,
		"trace.txt",
		fmt.Sprintf("%d lines, sha256 %x\n", strings.Count(trace, "\n"), sha256.Sum256([]byte(trace))),
	)
}
