//go:build review

package main

import "fmt"

// site is a small deployment: a notice board, a stand-in of the origin, and edge caches of the project as processes.
type site struct {
	board   *board
	origin  *cache
	edges   []*edgeProcess
	entries []*cache // the list of the notice board
}

// startSite starts a site whose origin answers as decide says. The site is returned also with an error, so that it can
// be stopped.
func startSite(env *environment, edgeCount int, decide func(attempt) reply) (*site, error) {
	s := &site{}
	var err error
	if s.board, err = startBoard(); err != nil {
		return s, err
	}
	if s.origin, err = startCache(env.record, "s-000000ff", "hub", "origin", decide); err != nil {
		return s, err
	}
	s.entries = append(s.entries, s.origin)
	for i := range edgeCount {
		e, err := newEdge(fmt.Sprintf("s-%08x", i+1), "z1")
		if err != nil {
			return s, err
		}
		s.entries, s.edges = append(s.entries, e.entry), append(s.edges, e)
	}
	if err := s.board.setList(s.entries); err != nil {
		return s, err
	}
	for _, e := range s.edges {
		if err := e.start(env, s.board.address(), `{name: page, kept: true, effect: repeatable}`,
			`{name: record, kept: false, effect: keyed}`); err != nil {
			return s, err
		}
	}
	return s, nil
}

// stop ends the processes and the stand-ins of the site.
func (s *site) stop() {
	for _, e := range s.edges {
		e.stop()
	}
	if s.origin != nil {
		s.origin.close()
	}
	if s.board != nil {
		s.board.close()
	}
}
