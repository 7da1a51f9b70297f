package handler

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/diskcache/validity"
	"cairnfront/internal/golden"
	"cairnfront/routing"
)

func printCopy(c *Copy) string {
	if c == nil {
		return "-"
	}
	return fmt.Sprintf("%d/%d,%s,at=%d,g=%d,r=%d,seq=%d,conf=%d,%dB",
		c.Object, c.Chunk, c.ETag, c.IssuedAt, c.Group, c.Rank, c.Seq, c.ConfirmedEpoch, len(c.Body))
}

// printActions writes actions as text without Go identifiers, so that renaming them leaves the golden files valid.
func printActions(out *strings.Builder, actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Respond:
			fmt.Fprintf(out, "  answer %d code=%d remark=%d same=%v passed=%v copy=%s\n",
				a.Request, a.Result, a.Detail, a.NotModified, a.Forwarded != nil, printCopy(a.Copy))
		case ReadDisk:
			fmt.Fprintf(out, "  read %d/%d\n", a.Key.Object, a.Key.Chunk)
		case Fetch:
			fmt.Fprintf(out, "  fetch %d txn=%d %d/%d rule=%s source=%s tag=%s wait=%.6f maxage=%v "+
				"rank=%d nofetch=%v notrace=%v join=%v\n",
				a.Fill, a.Request, a.Key.Object, a.Key.Chunk, a.Class, a.Source, a.ETag, a.TimeoutSeconds,
				a.MaxAgeSeconds,
				a.Rank, a.CacheOnly, a.NoStore, a.JoinFill)
		case CancelFetch:
			fmt.Fprintf(out, "  abandon %d\n", a.Fill)
		case WriteDisk:
			fmt.Fprintf(out, "  keep %s doubts=%d\n", printCopy(a.Copy), a.Epoch)
		case TouchDisk:
			fmt.Fprintf(out, "  used %s\n", printCopy(a.Copy))
		case DeleteFromDisk:
			fmt.Fprintf(out, "  forget %d/%d\n", a.Key.Object, a.Key.Chunk)
		case ConfirmOnDisk:
			fmt.Fprintf(out, "  confirm %d/%d seq=%d doubts=%d\n", a.Key.Object, a.Key.Chunk, a.Seq, a.Epoch)
		}
	}
}

// session drives a handler with a seeded random sequence of requests, fetch and disk read results, cancellations,
// purges, validity verdicts and ticks.
type session struct {
	rnd          *rand.Rand
	handler      *Handler
	env          *fakeEnvironment
	clock        float64
	out          strings.Builder
	fetches      []Fetch
	reads        []eviction.Key
	openRequests []Request
}

func (s *session) recordActions(actions []Action) {
	printActions(&s.out, actions)
	for _, action := range actions {
		switch a := action.(type) {
		case Fetch:
			s.fetches = append(s.fetches, a)
		case ReadDisk:
			s.reads = append(s.reads, a.Key)
		}
	}
	fmt.Fprintf(&s.out, "  bytes=%d fills=%d\n", s.handler.Bytes(), s.handler.Fills())
}

func (s *session) chance(percent int) bool { return s.rnd.IntN(100) < percent }

func (s *session) request(id uint64) {
	request := Request{
		ID:         id,
		Key:        eviction.Key{Object: uint64(s.rnd.IntN(9)), Chunk: uint32(s.rnd.IntN(2))},
		Class:      []Class{video, page, order}[s.rnd.IntN(3)],
		Deadline:   s.clock + 5,
		Rank:       s.rnd.IntN(4),
		JoinFill:   s.chance(80),
		CacheOnly:  s.chance(10),
		NoStore:    s.chance(10),
		Revalidate: s.chance(50),
	}
	request.Class.Name = "c"
	if s.chance(85) {
		request.Source = "s-1"
	}
	if s.chance(30) {
		request.MaxAgeSeconds = 5 + 25*s.rnd.Float64()
	}
	if s.chance(20) {
		request.ETag = "v2"
	}
	s.env.disk[request.Key] = s.chance(25)
	s.openRequests = append(s.openRequests, request)
	fmt.Fprintf(
		&s.out,
		"%.3f ask %d %d/%d kept=%v\n",
		s.clock,
		id,
		request.Key.Object,
		request.Key.Chunk,
		request.Class.Cacheable,
	)
	s.recordActions(s.handler.HandleRequest(s.clock, request))
}

func (s *session) finishFetch() {
	if len(s.fetches) == 0 {
		return
	}
	i := s.rnd.IntN(len(s.fetches))
	f := s.fetches[i]
	s.fetches = append(s.fetches[:i:i], s.fetches[i+1:]...)
	codes := []routing.AttemptResult{
		routing.Completed, routing.Completed, routing.Completed, routing.Completed,
		routing.Overloaded, routing.CacheMiss, routing.TimedOut, routing.ConnectFailed, routing.NotSent,
	}
	result := FetchResult{
		Result:   codes[s.rnd.IntN(len(codes))],
		ETag:     fmt.Sprint("v", s.rnd.IntN(4)),
		IssuedAt: int64((s.clock - 12*s.rnd.Float64()) * 1000),
		Group:    uint16(s.rnd.IntN(3)),
		Body:     make([]byte, 100+s.rnd.IntN(2500)),
	}
	if f.ETag != "" && s.chance(60) {
		result.NotModified, result.Body = true, nil
	}
	if s.chance(20) {
		result.Group = validity.UnknownGroup
	}
	fmt.Fprintf(&s.out, "%.3f fetched %d code=%d same=%v\n", s.clock, f.Fill, result.Result, result.NotModified)
	s.recordActions(s.handler.HandleFetched(s.clock, f.Fill, result))
}

func (s *session) finishDiskRead() {
	if len(s.reads) == 0 {
		return
	}
	k := s.reads[0]
	s.reads = s.reads[1:]
	var c *Copy
	if s.chance(70) {
		c = &Copy{
			Key:      k,
			ETag:     "v2",
			IssuedAt: int64((s.clock - 15*s.rnd.Float64()) * 1000),
			Group:    1,
			Rank:     s.rnd.IntN(4),
			Seq:      1 + uint64(s.rnd.IntN(50)),
			Body:     make([]byte, 700),
		}
	}
	fmt.Fprintf(&s.out, "%.3f disk %d/%d found=%v\n", s.clock, k.Object, k.Chunk, c != nil)
	s.recordActions(s.handler.HandleDiskRead(s.clock, k, c))
}

func (s *session) step(id uint64) {
	s.clock += s.rnd.Float64() * 0.5
	switch choice := s.rnd.IntN(20); {
	case choice < 7:
		s.request(id)
	case choice < 13:
		s.finishFetch()
	case choice < 15:
		s.finishDiskRead()
	case choice == 15 && len(s.openRequests) > 0:
		request := s.openRequests[s.rnd.IntN(len(s.openRequests))]
		fmt.Fprintf(&s.out, "%.3f leave %d\n", s.clock, request.ID)
		s.recordActions(s.handler.HandleCancel(s.clock, request.ID, request.Key))
	case choice == 16:
		object := uint64(s.rnd.IntN(9))
		s.env.purgedAt[object] = int64(s.clock*1000) - int64(s.rnd.IntN(4000))
		fmt.Fprintf(&s.out, "purge %d\n", object)
	case choice == 17:
		object := uint64(s.rnd.IntN(9))
		s.env.verdict[object] = validity.Verdict(s.rnd.IntN(2))
		s.env.epoch++
		fmt.Fprintf(&s.out, "verdict %d %d\n", object, s.env.verdict[object])
	default:
		fmt.Fprintf(&s.out, "%.3f tick\n", s.clock)
		s.recordActions(s.handler.HandleTick(s.clock))
	}
}

func runSession(seed uint64, steps int) string {
	h, env := newHandler()
	s := &session{rnd: rand.New(rand.NewPCG(seed, 9)), handler: h, env: env, clock: now}
	for id := range uint64(steps) {
		s.step(id + 1)
	}
	return s.out.String()
}

// TestGoldenSession compares the actions of two sessions with golden files: those of a short session as text, those of
// a long one by their hash.
func TestGoldenSession(t *testing.T) {
	golden.Compare(t, "session.txt", runSession(3, 400))
	long := runSession(4, 20000)
	golden.Compare(
		t,
		"session-long.txt",
		fmt.Sprintf("%d lines, sha256 %x\n", strings.Count(long, "\n"), sha256.Sum256([]byte(long))),
	)
}
