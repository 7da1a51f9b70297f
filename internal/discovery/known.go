package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"

	"cairnfront/routing"
)

// Errors of ParseKnownEvents, in addition to those of encoding/json.
var (
	ErrNoEvents        = errors.New("no events")
	ErrEmptyEvent      = errors.New("event has neither endpoints nor a purge")
	ErrInvalidEndpoint = errors.New("invalid endpoint")
	ErrInvalidObject   = errors.New("invalid object")
)

// IndexNames lists the names of zones and endpoint kinds; the position of a name is the index of its zone or kind.
type IndexNames struct {
	Zones []string
	Kinds []string
}

// knownFile is the JSON form of the events in a bootstrap file. The keys and values of that format are used only in
// this file: notices are events, pool is a list of endpoints, flush a purge, asset an object, collection a purge group,
// and group a cell; SERVING, DRAINING and DELETED mean ready, draining and removed.
type knownFile struct {
	LastRevision uint64       `json:"rev"`
	Events       []knownEvent `json:"notices"`
}

type knownEvent struct {
	Revision uint64      `json:"rev"`
	List     *knownList  `json:"pool"`
	Purge    *knownPurge `json:"flush"`
}

type knownList struct {
	Snapshot  bool            `json:"snapshot"`
	Endpoints []knownEndpoint `json:"endpoints"`
}

type knownEndpoint struct {
	ID            string  `json:"name"`
	Address       string  `json:"address"`
	Zone          string  `json:"zone"`
	Kind          string  `json:"type"`
	Cell          int     `json:"group"`
	Status        string  `json:"status"`
	Weight        float64 `json:"weight"`
	StartedMillis float64 `json:"since_ms"`
}

type knownPurge struct {
	Object       string  `json:"asset"`
	Group        int     `json:"collection"`
	PurgedMillis float64 `json:"ms"`
}

// knownStatuses maps the status strings of the bootstrap file to endpoint statuses.
var knownStatuses = map[string]routing.EndpointStatus{
	"SERVING":  routing.Ready,
	"DRAINING": routing.Draining,
	"DELETED":  routing.Removed,
}

// ParseKnownEvents parses the events in a bootstrap file and returns them with the last revision that the file states,
// which is not compared with the events. The first event is always a Snapshot or a purge.
func ParseKnownEvents(text []byte, names IndexNames) (events []Event, lastRevision uint64, err error) {
	var file knownFile
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, 0, err
	}
	for i, known := range file.Events {
		ev, err := known.event(names)
		if err != nil {
			return nil, 0, fmt.Errorf("revision %d: %w", known.Revision, err)
		}
		if i == 0 && ev.Kind == Update {
			ev.Kind = Snapshot
		}
		events = append(events, ev)
	}
	if len(events) == 0 {
		return nil, 0, ErrNoEvents
	}
	return events, file.LastRevision, nil
}

func (k knownEvent) event(names IndexNames) (Event, error) {
	switch {
	case k.List != nil:
		return k.List.event(k.Revision, names)
	case k.Purge != nil:
		return k.Purge.event(k.Revision)
	default:
		return Event{}, ErrEmptyEvent
	}
}

func (k *knownList) event(revision uint64, names IndexNames) (Event, error) {
	ev := Event{Revision: revision, Kind: Update}
	if k.Snapshot {
		ev.Kind = Snapshot
	}
	for _, known := range k.Endpoints {
		endpoint, err := known.endpoint(names)
		if err != nil {
			return Event{}, err
		}
		ev.Endpoints = append(ev.Endpoints, endpoint)
	}
	return ev, nil
}

func (k knownEndpoint) endpoint(names IndexNames) (Endpoint, error) {
	status, ok := knownStatuses[k.Status]
	endpoint := Endpoint{
		Address: k.Address,
		Endpoint: routing.Endpoint{
			ID:        routing.EndpointID(k.ID),
			Zone:      slices.Index(names.Zones, k.Zone),
			Kind:      slices.Index(names.Kinds, k.Kind),
			Cell:      k.Cell,
			Status:    status,
			Weight:    k.Weight,
			StartedAt: k.StartedMillis / millisInSecond,
		},
	}
	_, err := netip.ParseAddrPort(k.Address)
	if err != nil || !ok || endpoint.Zone < 0 || endpoint.Kind < 0 || k.ID == "" {
		return Endpoint{}, fmt.Errorf("%w %q: address %q, zone %q, type %q, status %q",
			ErrInvalidEndpoint, k.ID, k.Address, k.Zone, k.Kind, k.Status)
	}
	return endpoint, nil
}

func (k *knownPurge) event(revision uint64) (Event, error) {
	ev := Event{
		Revision: revision,
		Kind:     PurgeGroup,
		Purge:    Purge{Object: k.Object, Group: k.Group, PurgedAt: k.PurgedMillis / millisInSecond},
	}
	if k.Object == "" {
		return ev, nil
	}
	ev.Kind = PurgeObject
	if _, err := strconv.ParseUint(k.Object, 16, 64); err != nil {
		return Event{}, fmt.Errorf("%w %q", ErrInvalidObject, k.Object)
	}
	return ev, nil
}
