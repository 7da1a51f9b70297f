// Package simadapter connects the routing module to the simulator: it reads batches of events from one stream, passes
// them to the routers that it hosts, and writes their actions to another stream.
//
// It owns the syntax of the simulator's lines and the routers of the process. It makes no decisions and has no clock.
// Routers share nothing but the numbered endpoint lists that the simulator sends.
//
// The keywords of the lines are those of the simulator's protocol and appear in this package only. Their meanings:
//
//	of the process    NEW_INSTANCE starts a router, DOWN stops it, BUG reports its panic, BATCH begins a batch, EOR
//	                  ends its reply, SNAPSHOT_ROWS begins a numbered endpoint list, ROW is an endpoint of the list
//	events            ENDPOINTS EndpointUpdate, ACCEPT RequestArrived, REPLY AttemptEnded, STATUS_BACK ProbeResult,
//	                  TIMED_OUT_CLIENT ClientDisconnected, BELL TimerFired, EXPIRED_NOW Purge
//	actions           ANSWER_FROM StartAttempt, STOP_ATTEMPT CancelAttempt, DENY RejectRequest, LOSE AbortRequest,
//	                  NOTIFY_ME SetTimer, CHECK Probe, KEEP_INFORMED SubscribeEndpoints, NOTE_DOWN LogNote
//
// Results of attempts are HTTP-like status codes, see attemptResults. Package wirenames translates the names of
// settings and of load metrics.
package simadapter

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"cairnfront/routing"
)

// NewRouterFunc creates the decision logic of a router.
type NewRouterFunc func(seed uint64, settings routing.Settings) routing.Decider

var (
	// ErrTruncated is returned if the input ends within a batch or within a line.
	ErrTruncated = errors.New("the input ends within a batch")

	// ErrSyntax is wrapped by errors about malformed lines.
	ErrSyntax = errors.New("bad line")

	// ErrUnknownRouter is wrapped by errors about events for a router that is not started.
	ErrUnknownRouter = errors.New("router is not started")
)

// reply holds the actions of one router for one event, or the text of its panic.
type reply struct {
	router    int
	actions   []routing.Action
	panicText string
}

type server struct {
	lines         *lineReader
	actions       *actionWriter
	newRouter     NewRouterFunc
	routers       map[int]routing.Decider
	endpointLists map[int][]routing.Endpoint // by list number, as assigned by the simulator

	now     float64 // simulator time of the current batch, in seconds
	batch   string  // number of the current batch
	replies []reply // replies to the events of the current batch
}

// Serve processes batches until the input ends.
func Serve(in io.Reader, out io.Writer, newRouter NewRouterFunc) error {
	s := &server{
		lines:         newLineReader(in),
		actions:       newActionWriter(out),
		newRouter:     newRouter,
		routers:       map[int]routing.Decider{},
		endpointLists: map[int][]routing.Endpoint{},
	}
	for {
		err := s.serveBatch()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("batch %s line %d: %w", s.batch, s.lines.number, err)
		}
	}
}

// serveBatch reads one batch, processes its events and writes the reply. It returns io.EOF at the end of the input.
func (s *server) serveBatch() error {
	if err := s.readBatchHeader(); err != nil {
		return err
	}
	for {
		line, err := s.lines.nextInBatch()
		if err != nil {
			return err
		}
		if string(line) == "END" {
			break
		}
		if len(line) == 0 {
			continue
		}
		if err := s.handleLine(line); err != nil {
			return err
		}
	}
	return s.writeReplies()
}

func (s *server) readBatchHeader() error {
	var line []byte
	for len(line) == 0 {
		var err error
		if line, err = s.lines.next(); err != nil {
			return err
		}
	}
	f := fieldReader{rest: line}
	if string(f.next()) != "BATCH" {
		return fmt.Errorf("%w: expected a batch, found %q", ErrSyntax, clip(line))
	}
	s.now = f.float()
	s.batch = f.text()
	s.lines.number = 1
	s.replies = s.replies[:0]
	if f.err != nil || s.batch == "" {
		return fmt.Errorf("%w: batch %q", ErrSyntax, clip(line))
	}
	return nil
}

func (s *server) writeReplies() error {
	for _, reply := range s.replies {
		for _, action := range reply.actions {
			s.actions.writeAction(reply.router, action)
		}
		if reply.panicText != "" {
			s.actions.writePanic(reply.router, reply.panicText)
		}
	}
	s.actions.writeEndOfReply(s.batch)
	return s.actions.flush()
}

// handleLine processes one line of a batch. Lines with unknown names are skipped.
func (s *server) handleLine(line []byte) error {
	f := fieldReader{rest: line}
	name := string(f.next())
	switch name {
	case "SNAPSHOT_ROWS":
		return s.readEndpointList(&f, line)
	case "NEW_INSTANCE":
		return s.startRouter(&f, line)
	case "DOWN":
		return s.stopRouter(&f, line)
	default:
		return s.decide(name, &f, line)
	}
}

// startRouter creates a router from its seed and settings. It replaces a router of the same number.
func (s *server) startRouter(f *fieldReader, line []byte) error {
	router := f.router()
	seed := f.unsigned()
	settings := f.settings()
	if f.err != nil {
		return f.errorIn(line)
	}
	s.callRouter(router, func() []routing.Action {
		s.routers[router] = s.newRouter(seed, settings)
		return nil
	})
	return nil
}

// stopRouter removes a router and drops its pending actions of this batch.
func (s *server) stopRouter(f *fieldReader, line []byte) error {
	router := f.router()
	if f.err != nil {
		return f.errorIn(line)
	}
	delete(s.routers, router)
	for i := range s.replies {
		if s.replies[i].router == router {
			s.replies[i].actions = nil
		}
	}
	return nil
}

// decide passes an event to its router.
func (s *server) decide(name string, f *fieldReader, line []byte) error {
	router := f.router()
	event := s.parseEvent(name, f)
	if event == nil {
		return nil
	}
	if f.err != nil {
		return f.errorIn(line)
	}
	decider := s.routers[router]
	if decider == nil {
		return fmt.Errorf("%w: number %d in %q", ErrUnknownRouter, router, clip(line))
	}
	s.callRouter(router, func() []routing.Action { return decider.Decide(s.now, event) })
	return nil
}

// callRouter calls the routing module for one event and records its reply. A panic is reported as a fault of that
// router, and the other routers continue.
func (s *server) callRouter(router int, call func() []routing.Action) {
	defer func() {
		if p := recover(); p != nil {
			text := strings.ReplaceAll(fmt.Sprint(p), "\n", " ")
			s.replies = append(s.replies, reply{router: router, panicText: text})
		}
	}()
	if actions := call(); len(actions) > 0 { // the module may reuse the slice for its next event
		s.replies = append(s.replies, reply{router: router, actions: slices.Clone(actions)})
	}
}
