// Package wire is the adapter for the bench's wire: it parses batches of events, hands them to the routers
// that it hosts and prints their actions. It decides nothing.
package simadapter

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	"cairnfront/routing"
)

// Maker starts a router's decision logic.
type NewRouterFunc func(seed uint64, rec routing.Settings) routing.Decider

// said is what one router wants done after one event.
type said struct {
	router  int
	actions []routing.Action
	fault   string
}

type server struct {
	in      *bufio.Reader
	out     *bufio.Writer
	long    []byte // a line that outgrew the reader's buffer
	start   NewRouterFunc
	routers map[int]routing.Decider
	banks   map[int][]routing.Endpoint
	now     float64
	batch   string
	line    int
	said    []said
	buf     []byte
}

// Serve answers batches until the input ends.
func Serve(in io.Reader, out io.Writer, start NewRouterFunc) error {
	s := &server{in: bufio.NewReaderSize(in, 1<<20), out: bufio.NewWriterSize(out, 1<<18), start: start,
		routers: map[int]routing.Decider{}, banks: map[int][]routing.Endpoint{}}
	for {
		err := s.round()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("batch %s line %d: %w", s.batch, s.line, err)
		}
	}
}

var errCut = errors.New("the input ends within a batch")

// next returns the next line without its end; the bytes are good until the next call.
func (s *server) next() ([]byte, error) {
	s.long = s.long[:0]
	for {
		part, err := s.in.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			s.long = append(s.long, part...)
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(part)+len(s.long) > 0 {
				return nil, errCut
			}
			return nil, err
		}
		s.line++
		if len(s.long) > 0 {
			part = append(s.long, part...)
			s.long = part
		}
		return bytes.TrimRight(part, "\r\n"), nil
	}
}

// round reads one batch, hands its events out and writes the reply.
func (s *server) round() error {
	var head []byte
	for len(head) == 0 {
		var err error
		if head, err = s.next(); err != nil {
			return err
		}
	}
	f := fields{rest: head}
	if string(f.next()) != "BATCH" {
		return fmt.Errorf("expected a batch, found %q", clip(head))
	}
	s.now = f.float()
	s.batch, s.line, s.said = f.text(), 1, s.said[:0]
	if f.err != nil || s.batch == "" {
		return fmt.Errorf("bad batch line %q", clip(head))
	}
	for {
		line, err := s.next()
		if errors.Is(err, io.EOF) {
			return errCut
		}
		if err != nil {
			return err
		}
		if string(line) == "END" {
			break
		}
		if len(line) == 0 {
			continue
		}
		if err := s.event(line); err != nil {
			return err
		}
	}
	for _, x := range s.said {
		for _, a := range x.actions {
			s.action(x.router, a)
		}
		if x.fault != "" {
			s.buf = append(append(s.word("BUG", x.router), ' '), x.fault...)
			s.emit()
		}
	}
	s.buf = append(append(s.buf[:0], "EOR "...), s.batch...)
	s.emit()
	return s.out.Flush()
}

func clip(line []byte) string { return string(line[:min(len(line), 80)]) }

// event parses one line and hands it to its router. Events with unknown names are skipped.
func (s *server) event(line []byte) error {
	f := fields{rest: line}
	name := string(f.next())
	if name == "SNAPSHOT_ROWS" {
		return s.bank(&f, line)
	}
	var ev routing.Event
	router := f.integer()
	if len(line) == len(name) {
		f.fail("missing router")
	}
	switch name {
	case "NEW_INSTANCE":
		seed, rec := f.token(), routing.Settings{}
		for w := f.next(); len(w) > 0; w = f.next() {
			key, value, _ := strings.Cut(string(w), "=")
			key, value = TranslateSetting(key, value)
			rec[key] = value
		}
		if f.err != nil {
			return fmt.Errorf("%w in %q", f.err, clip(line))
		}
		s.guard(router, func() []routing.Action {
			s.routers[router] = s.start(seed, rec)
			return nil
		})
		return nil
	case "DOWN":
		delete(s.routers, router)
		for i := range s.said { // what a killed router said in this batch is void
			if s.said[i].router == router && s.said[i].fault == "" {
				s.said[i].actions = nil
			}
		}
		if f.err != nil {
			return fmt.Errorf("%w in %q", f.err, clip(line))
		}
		return nil
	case "ENDPOINTS":
		bank, mode := f.integer(), f.text()
		kind, ok := listKinds[mode]
		if !ok {
			f.fail("unknown kind of list")
		}
		l := routing.EndpointUpdate{Kind: kind}
		if kind != routing.Unavailable {
			if l.Endpoints, ok = s.banks[bank]; !ok {
				f.fail("unknown list")
			}
		}
		ev = l
	case "ACCEPT":
		a := routing.RequestArrived{Request: routing.RequestID(f.id()), Class: routing.ClassIndex(f.integer())}
		f.next() // tenant
		a.Object, a.Deadline, a.SizeKB, a.ObjectGroup, a.Chunk = f.text(), f.float(), f.float(), f.integer(), f.integer()
		a.Write = f.integer()&4 != 0
		ev = a
	case "REPLY":
		o := routing.AttemptEnded{Request: routing.RequestID(f.id()), FirstByteSeconds: f.float()}
		o.Result = f.code()
		o.Detail = routing.ResultDetail(f.integer())
		o.Endpoint, o.ElapsedSeconds, o.Attempt, o.RequestDone = routing.EndpointID(f.text()), f.float(), f.integer(), f.integer() == 1
		o.LoadReport = f.load()
		ev = o
	case "TIMED_OUT_CLIENT":
		ev = routing.ClientDisconnected{Request: routing.RequestID(f.id())}
	case "BELL":
		ev = routing.TimerFired{Token: f.token()}
	case "STATUS_BACK":
		c := routing.ProbeResult{Endpoint: routing.EndpointID(f.id())}
		c.Result = f.code()
		c.ElapsedSeconds, c.LoadReport = f.float(), f.load()
		ev = c
	case "EXPIRED_NOW":
		p := routing.Purge{AgeSeconds: f.float(), ObjectGroup: f.integer()}
		if p.Object = f.text(); p.Object == "0" {
			p.Object = ""
		}
		ev = p
	default: // nothing that the decisions listen to
		return nil
	}
	if f.err != nil {
		return fmt.Errorf("%w in %q", f.err, clip(line))
	}
	d := s.routers[router]
	if d == nil {
		return fmt.Errorf("event for router %d, which is not started: %q", router, clip(line))
	}
	s.guard(router, func() []routing.Action { return d.Decide(s.now, ev) })
	return nil
}

// guard runs the module for one event; a panic there is kept as that router's fault.
func (s *server) guard(router int, run func() []routing.Action) {
	defer func() {
		if p := recover(); p != nil {
			text := strings.ReplaceAll(fmt.Sprint(p), "\n", " ")
			s.said = append(s.said, said{router: router, fault: text})
		}
	}()
	if acts := run(); len(acts) > 0 {
		s.said = append(s.said, said{router: router, actions: append([]routing.Action(nil), acts...)})
	}
}

// bank reads a numbered list of members. Lists in use are not changed: a new one takes the number.
func (s *server) bank(f *fields, line []byte) error {
	bank, count := f.integer(), f.integer()
	if f.err != nil || count < 0 {
		return fmt.Errorf("bad list line %q", clip(line))
	}
	var rows []routing.Endpoint
	for range count {
		line, err := s.next()
		if errors.Is(err, io.EOF) {
			return errCut
		}
		if err != nil {
			return err
		}
		g := fields{rest: line}
		if string(g.next()) != "ROW" {
			return fmt.Errorf("expected a row of the list, found %q", clip(line))
		}
		r := routing.Endpoint{ID: routing.EndpointID(g.id()), Zone: g.integer(), Kind: g.integer(), Cell: g.integer()}
		status, ok := statuses[string(g.next())]
		if !ok {
			g.fail("unknown status")
		}
		r.Status, r.Weight, r.StartedAt = status, g.float(), g.float()
		if g.err != nil {
			return fmt.Errorf("%w in %q", g.err, clip(line))
		}
		rows = append(rows, r)
	}
	s.banks[bank] = rows
	return nil
}

// fields takes the values of a line one by one. The first error stays.
type fields struct {
	rest []byte
	err  error
}

func (f *fields) fail(what string) {
	if f.err == nil {
		f.err = errors.New(what)
	}
}

func (f *fields) next() []byte {
	word, rest, _ := bytes.Cut(f.rest, []byte{' '})
	f.rest = rest
	if string(word) == "-" {
		return nil
	}
	return word
}

func (f *fields) text() string { return string(f.next()) }

// id is a text that must be there.
func (f *fields) id() string {
	w := f.next()
	if len(w) == 0 {
		f.fail("missing value")
	}
	return string(w)
}

func (f *fields) integer() int {
	w := f.next()
	if len(w) == 0 {
		return 0
	}
	n, err := strconv.Atoi(string(w))
	if err != nil {
		f.fail("bad number")
	}
	return n
}

func (f *fields) token() uint64 {
	w := f.next()
	if len(w) == 0 {
		return 0
	}
	n, err := strconv.ParseUint(string(w), 10, 64)
	if err != nil {
		f.fail("bad number")
	}
	return n
}

func (f *fields) float() float64 {
	w := f.next()
	if len(w) == 0 {
		return 0
	}
	x, err := strconv.ParseFloat(string(w), 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		f.fail("bad number")
	}
	return x
}

func (f *fields) code() routing.AttemptResult {
	c, ok := codes[string(f.next())]
	if !ok {
		f.fail("unknown result")
	}
	return c
}

func (f *fields) load() []routing.LoadMetric {
	var out []routing.LoadMetric
	for pair := range strings.SplitSeq(f.text(), ",") {
		name, value, ok := strings.Cut(pair, ":")
		if !ok {
			continue
		}
		x, err := strconv.ParseFloat(value, 64)
		if err != nil {
			f.fail("bad load report")
		}
		out = append(out, routing.LoadMetric{Name: TranslateLoadMetric(name), Value: x})
	}
	return out
}

// action prints one action as a line.
func (s *server) action(router int, a routing.Action) {
	switch a := a.(type) {
	case routing.StartAttempt:
		how := flag(a.JoinFill, 1) + flag(a.CacheOnly, 2) + flag(a.ParentNoStore, 4) + flag(a.Revalidate, 8)
		s.buf = s.text(s.text(s.word("ANSWER_FROM", router), string(a.Request)), string(a.Endpoint))
		s.buf = s.text(s.float(s.buf, a.Deadline), string(a.Source))
		s.buf = s.integer(s.float(s.integer(s.buf, a.RetentionRank), a.MaxAgeSeconds), how)
	case routing.CancelAttempt:
		s.buf = s.integer(s.text(s.word("STOP_ATTEMPT", router), string(a.Request)), a.Attempt)
	case routing.RejectRequest:
		s.buf = s.float(s.text(s.word("DENY", router), string(a.Request)), a.RetryAfterSeconds)
	case routing.AbortRequest:
		s.buf = s.text(s.word("LOSE", router), string(a.Request))
	case routing.SetTimer:
		s.buf = s.float(s.word("NOTIFY_ME", router), a.AfterSeconds)
		s.buf = strconv.AppendUint(append(s.buf, ' '), a.Token, 10)
	case routing.Probe:
		s.buf = s.text(s.word("CHECK", router), string(a.Endpoint))
	case routing.SubscribeEndpoints:
		s.buf = s.integer(s.word("KEEP_INFORMED", router), 1)
	case routing.LogNote:
		s.buf = s.text(s.word("NOTE_DOWN", router), strings.ReplaceAll(a.Message, "\n", " "))
	}
	s.emit()
}

func flag(on bool, bit int) int {
	if on {
		return bit
	}
	return 0
}

func (s *server) word(name string, router int) []byte {
	return strconv.AppendInt(append(append(s.buf[:0], name...), ' '), int64(router), 10)
}

func (s *server) text(b []byte, v string) []byte { return append(append(b, ' '), v...) }

func (s *server) integer(b []byte, v int) []byte {
	return strconv.AppendInt(append(b, ' '), int64(v), 10)
}

// float writes a time in whole microseconds, which is what the bench counts in.
func (s *server) float(b []byte, v float64) []byte {
	return strconv.AppendFloat(append(b, ' '), v, 'f', 6, 64)
}

func (s *server) emit() {
	s.out.Write(append(s.buf, '\n')) // an error stays in the writer and comes out of Flush
	s.buf = s.buf[:0]
}
