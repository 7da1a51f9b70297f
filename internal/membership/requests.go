package membership

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"

	"cairnfront/internal/membership/swim"
)

// Errors of requests to the node.
var (
	ErrStopped  = errors.New("membership: the node has stopped")
	ErrNoAnswer = errors.New("membership: the node did not answer in time")
)

// Reasons for refusing a roster.
var (
	ErrNotInRoster = errors.New("this router's name is not in the roster")
	ErrKeyChanged  = errors.New("a member's key cannot change while the router runs: give the machine a new name")
)

// request is a request from another goroutine to the goroutine that owns the cores.
type request interface{ isRequest() }

type reportRequest struct{ reply chan Report }

type leaveRequest struct{ reply chan struct{} }

type rosterRequest struct {
	roster []RosterEntry
	reply  chan error
}

func (reportRequest) isRequest() {}
func (leaveRequest) isRequest()  {}
func (rosterRequest) isRequest() {}

// Report returns the state of the node, for operators.
func (n *Node) Report(ctx context.Context) (Report, error) {
	r := reportRequest{reply: make(chan Report, 1)}
	return call(ctx, n, r, r.reply)
}

// Leave makes the node leave the cluster. It joins again at the router's next start.
func (n *Node) Leave(ctx context.Context) error {
	r := leaveRequest{reply: make(chan struct{}, 1)}
	_, err := call(ctx, n, r, r.reply)
	return err
}

// UpdateRoster applies a roster that was read again from the configuration. New members are appended, and missing
// ones are removed.
func (n *Node) UpdateRoster(ctx context.Context, roster []RosterEntry) error {
	r := rosterRequest{roster: roster, reply: make(chan error, 1)}
	result, err := call(ctx, n, r, r.reply)
	return errors.Join(err, result)
}

// call sends a request to the node and waits for its reply.
func call[T any](ctx context.Context, n *Node, r request, reply chan T) (answer T, err error) {
	select {
	case n.requests <- r:
	case <-n.stopped:
		return answer, ErrStopped
	case <-ctx.Done():
		return answer, ErrNoAnswer
	}
	select {
	case answer = <-reply:
		return answer, nil
	case <-n.stopped: // a stopped node does not reply to queued requests
	case <-ctx.Done():
		return answer, ErrNoAnswer
	}
	select {
	case answer = <-reply: // the node replied just before it stopped
		return answer, nil
	default:
		return answer, ErrStopped
	}
}

func (n *Node) handleRequest(r request) {
	switch r := r.(type) {
	case reportRequest:
		r.reply <- n.report()
	case leaveRequest:
		n.leave()
		r.reply <- struct{}{}
	case rosterRequest:
		r.reply <- n.updateRoster(r.roster)
	}
}

func (n *Node) updateRoster(roster []RosterEntry) error {
	merged, err := mergeRosters(n.config.Roster, roster)
	if err != nil {
		return err
	}
	listed := map[string]bool{}
	for _, entry := range roster {
		listed[entry.Name] = true
	}
	if !listed[n.config.Name] {
		return fmt.Errorf("peers.roster: %w: %q", ErrNotInRoster, n.config.Name)
	}
	if err := n.codec.SetRoster(identitiesOf(merged)); err != nil {
		return err
	}
	n.config.Roster = merged
	n.view.Grow(nameHashesOf(merged))
	n.growLocations(merged)
	for i, entry := range merged {
		id := swim.MemberID(i)
		if address, err := netip.ParseAddrPort(entry.Address); err == nil {
			n.locations[i].address, n.locations[i].configured = address, true
		}
		n.executeActions(n.view.SetRemoved(n.now(), id, !listed[entry.Name]))
		if !listed[entry.Name] {
			n.observations.ForgetWitness(id)
		}
	}
	return nil
}

// mergeRosters returns the old roster with the addresses of the new one, followed by the members that were added.
func mergeRosters(old, updated []RosterEntry) ([]RosterEntry, error) {
	merged := slices.Clone(old)
	for _, entry := range updated {
		i := slices.IndexFunc(merged, func(known RosterEntry) bool { return known.Name == entry.Name })
		switch {
		case i < 0:
			merged = append(merged, entry)
		case !merged[i].Key.Equal(entry.Key):
			return nil, fmt.Errorf("peers.roster: peer %q: %w", entry.Name, ErrKeyChanged)
		default:
			merged[i].Address = entry.Address
		}
	}
	return merged, nil
}
