package membership

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"

	"cairnfront/internal/membership/swim"
)

// Why a request to the node failed.
var (
	ErrStopped  = errors.New("membership: the node has stopped")
	ErrNoAnswer = errors.New("membership: the node did not answer in time")
)

// Why a roster is refused.
var (
	ErrNotInRoster = errors.New("this router's name is not in the roster")
	ErrKeyChanged  = errors.New("its key cannot change while the router runs: give the machine a new name")
)

// request is a call from another goroutine, handled by the one that owns the cores.
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

// Report is what the node knows, for operators.
func (n *Node) Report(ctx context.Context) (Report, error) {
	r := reportRequest{reply: make(chan Report, 1)}
	return call(ctx, n, r, r.reply)
}

// Leave makes the node leave the group; it takes part again after the router's next start.
func (n *Node) Leave(ctx context.Context) error {
	r := leaveRequest{reply: make(chan struct{}, 1)}
	_, err := call(ctx, n, r, r.reply)
	return err
}

// UpdateRoster takes a roster that was read again. Added members get places behind the others; missing ones are
// removed.
func (n *Node) UpdateRoster(ctx context.Context, roster []RosterEntry) error {
	r := rosterRequest{roster: roster, reply: make(chan error, 1)}
	result, err := call(ctx, n, r, r.reply)
	return errors.Join(err, result)
}

// call hands a request to the node and waits for its answer.
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
	case <-n.stopped: // a node that stopped leaves the requests in its queue unanswered
	case <-ctx.Done():
		return answer, ErrNoAnswer
	}
	select {
	case answer = <-reply: // it was answered just before
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
		n.carryOut(n.view.SetRemoved(n.now(), id, !listed[entry.Name]))
		if !listed[entry.Name] {
			n.observations.ForgetWitness(id)
		}
	}
	return nil
}

// mergeRosters is the old roster with the addresses of the new one, and behind it the members that were added.
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
