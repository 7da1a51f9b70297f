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

// validityTrace plays a seeded script of events, restarts and questions and prints every decision.
func validityTrace(seed uint64, steps int) string {
	rnd := rand.New(rand.NewPCG(seed, 5))
	var out strings.Builder
	var log []Record
	const limit = 24
	tracker, now, top, number := NewTracker(limit), startMS, uint64(0), uint64(0)
	tracker.StreamOpened()
	write := func(records []Record) {
		printRecords(&out, records)
		log = append(log, records...)
	}
	apply := func(event Event) {
		records, again := tracker.Apply(now, top, event)
		fmt.Fprintf(&out, "event %d beat=%v purge=%v all=%v -> again=%v\n",
			event.Number, event.Heartbeat, event.Purge, event.ByGroup, again)
		write(records)
		if again {
			tracker.StreamOpened()
		}
	}
	for range steps {
		now += int64(rnd.IntN(900))
		switch choice := rnd.IntN(20); {
		case choice < 6:
			number++
			apply(Event{
				Number:   number,
				Checksum: uint32(number) * 7,
				Purge:    true,
				ByGroup:  rnd.IntN(5) == 0,
				Object:   uint64(rnd.IntN(60)),
				Group:    uint16(rnd.IntN(6)),
				PurgedAt: now - int64(rnd.IntN(3000)),
			})
		case choice < 8:
			number++
			apply(Event{Number: number, Checksum: uint32(number) * 7})
		case choice < 12:
			apply(Event{Heartbeat: true})
		case choice == 12:
			number += uint64(rnd.IntN(3))
			apply(Event{Number: number, Checksum: uint32(rnd.IntN(9))})
		case choice == 13:
			tracker.StreamOpened()
			apply(Event{Number: tracker.ResumeAfter() + 1, Checksum: uint32(tracker.ResumeAfter()+1) * 7})
		case choice == 14:
			tracker = NewTracker(limit)
			now -= int64(rnd.IntN(4000))
			write(tracker.Restore(log, top, now))
			tracker.StreamOpened()
			fmt.Fprintf(&out, "restart: ask %d\n", tracker.ResumeAfter())
		case choice == 15:
			log = tracker.Records(now)
			printRecords(&out, log)
		case choice == 16:
			tracker.PrunePurges(now - int64(rnd.IntN(20000)))
			write([]Record{tracker.Checkpoint(now)})
		default:
			top++
		}
		for range 3 {
			c := Copy{
				Object:         uint64(rnd.IntN(60)),
				Group:          uint16(rnd.IntN(6)),
				IssuedAt:       now - int64(rnd.IntN(9000)) + 500,
				Seq:            uint64(rnd.IntN(int(top) + 2)),
				ConfirmedEpoch: uint16(rnd.IntN(int(tracker.Epoch()) + 1)),
			}
			if rnd.IntN(8) == 0 {
				c.Group = UnknownGroup
			}
			fmt.Fprintf(&out, "judge %d/%d -> %d\n", c.Object, c.Group, tracker.Evaluate(now, c))
		}
		s := tracker.Status(now)
		position, linked := tracker.Position()
		fmt.Fprintf(&out, "state %d %v %v %d %d %d %d %d %v %d\n", s.Number, s.UpToDate, s.Continuous, s.SuspectUpTo,
			s.PurgeFloor, s.Purges, s.ClockHighWater, position, linked, tracker.Epoch())
	}
	return out.String()
}

// The decisions of a script drawn from a seed stay the same, by hash; they are printed without any Go name.
func TestGoldenTrace(t *testing.T) {
	trace := validityTrace(11, 3000)
	golden.Compare(
		t,
		"trace.txt",
		fmt.Sprintf("%d lines, sha256 %x\n", strings.Count(trace, "\n"), sha256.Sum256([]byte(trace))),
	)
}
