package discovery

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"strings"

	"cairnfront/routing"
)

// HeaderSize is the size in bytes of a frame's header: its length, revision and kind.
const HeaderSize = 13

const (
	lengthSize        = 4
	countedHeaderSize = HeaderSize - lengthSize // bytes of the header that are included in the frame's length
	maxFrameLength    = 1 << 20
	endpointSize      = 27
	purgeObjectSize   = 16
	purgeGroupSize    = 10
	purgeTimeSize     = 8 // the time is the last field of both kinds of purge
)

// endpointIDPrefix is the prefix of an endpoint ID; 8 hex digits follow.
const endpointIDPrefix = "s-"

// Units in the protocol: weights are in thousandths, times in milliseconds.
const (
	weightScale    = 1000
	millisInSecond = 1000
)

// ErrMalformed is wrapped by all errors about frames that violate the protocol. Client closes the connection after each
// of them: after a length that is out of bounds, the start of the next frame is unknown.
var ErrMalformed = errors.New("malformed frame")

// errNotIPv4 is returned if an endpoint's address does not fit into the record, which has four bytes for it.
var errNotIPv4 = errors.New("is not an IPv4 address")

// Header is the start of a frame.
type Header struct {
	Revision     uint64
	Kind         EventKind
	PayloadBytes int
}

// endpointStatuses maps the state byte of an endpoint record to the endpoint's status.
var endpointStatuses = [...]routing.EndpointStatus{routing.Ready, routing.Draining, routing.Removed}

// ParseHeader parses the first HeaderSize bytes of a frame.
func ParseHeader(b []byte) (Header, error) {
	length := binary.BigEndian.Uint32(b)
	if length < countedHeaderSize || length > maxFrameLength {
		return Header{}, fmt.Errorf("%w: length %d is out of bounds", ErrMalformed, length)
	}
	return Header{
		Revision:     binary.BigEndian.Uint64(b[4:]),
		Kind:         EventKind(b[12]),
		PayloadBytes: int(length) - countedHeaderSize,
	}, nil
}

// ParsePayload parses the payload of the frame with the given header.
func ParsePayload(header Header, payload []byte) (Event, error) {
	ev := Event{Revision: header.Revision, Kind: header.Kind}
	var err error
	switch header.Kind {
	case Heartbeat:
	case Snapshot, Update:
		ev.Endpoints, err = parseEndpoints(payload)
	case PurgeObject, PurgeGroup:
		ev.Purge, err = parsePurge(header.Kind, payload)
	default:
		err = fmt.Errorf("%w: unknown kind %d", ErrMalformed, header.Kind)
	}
	return ev, err
}

func parseEndpoints(payload []byte) ([]Endpoint, error) {
	if len(payload)%endpointSize != 0 {
		return nil, fmt.Errorf("%w: %d bytes are no multiple of an endpoint record", ErrMalformed, len(payload))
	}
	var endpoints []Endpoint
	for ; len(payload) > 0; payload = payload[endpointSize:] {
		endpoint, err := parseEndpoint(payload[:endpointSize])
		if err != nil {
			return endpoints, err
		}
		endpoints = append(endpoints, endpoint)
	}
	return endpoints, nil
}

func parseEndpoint(record []byte) (Endpoint, error) {
	state := record[10]
	if int(state) >= len(endpointStatuses) {
		return Endpoint{}, fmt.Errorf("%w: unknown endpoint state %d", ErrMalformed, state)
	}
	ip := netip.AddrFrom4([4]byte(record[4:8]))
	address := netip.AddrPortFrom(ip, binary.BigEndian.Uint16(record[8:]))
	return Endpoint{
		Address: address.String(),
		Endpoint: routing.Endpoint{
			ID:        routing.EndpointID(fmt.Sprintf(endpointIDPrefix+"%08x", binary.BigEndian.Uint32(record))),
			Status:    endpointStatuses[state],
			Zone:      int(record[11]),
			Kind:      int(record[12]),
			Cell:      int(binary.BigEndian.Uint16(record[13:])),
			Weight:    float64(binary.BigEndian.Uint32(record[15:])) / weightScale,
			StartedAt: float64(binary.BigEndian.Uint64(record[19:])) / millisInSecond,
		},
	}, nil
}

func parsePurge(kind EventKind, payload []byte) (Purge, error) {
	size := purgeObjectSize
	if kind == PurgeGroup {
		size = purgeGroupSize
	}
	if len(payload) != size {
		return Purge{}, fmt.Errorf("%w: purge of %d bytes, expected %d", ErrMalformed, len(payload), size)
	}
	millis := binary.BigEndian.Uint64(payload[size-purgeTimeSize:])
	purge := Purge{PurgedAt: float64(millis) / millisInSecond}
	if kind == PurgeObject {
		purge.Object = fmt.Sprintf("%016x", binary.BigEndian.Uint64(payload))
	} else {
		purge.Group = int(binary.BigEndian.Uint16(payload))
	}
	return purge, nil
}

// AppendEvent appends the event's frame to b, in the format of the discovery service. Fake services in tests and in the
// laboratory use it.
func AppendEvent(b []byte, ev Event) ([]byte, error) {
	payload, err := appendPayload(nil, ev)
	if err != nil {
		return b, err
	}
	b = binary.BigEndian.AppendUint32(b, uint32(countedHeaderSize+len(payload)))
	b = binary.BigEndian.AppendUint64(b, ev.Revision)
	b = append(b, byte(ev.Kind))
	return append(b, payload...), nil
}

func appendPayload(b []byte, ev Event) ([]byte, error) {
	switch ev.Kind {
	case Snapshot, Update:
		for _, endpoint := range ev.Endpoints {
			var err error
			if b, err = appendEndpoint(b, endpoint); err != nil {
				return b, err
			}
		}
		return b, nil
	case PurgeObject:
		object, err := strconv.ParseUint(ev.Purge.Object, 16, 64)
		if err != nil {
			return b, fmt.Errorf("encode purge of object %q: %w", ev.Purge.Object, err)
		}
		b = binary.BigEndian.AppendUint64(b, object)
		return appendPurgeTime(b, ev.Purge), nil
	case PurgeGroup:
		b = binary.BigEndian.AppendUint16(b, uint16(ev.Purge.Group))
		return appendPurgeTime(b, ev.Purge), nil
	case Heartbeat:
		return b, nil
	default: // ParsePayload rejects a frame of unknown kind
		return b, nil
	}
}

func appendPurgeTime(b []byte, purge Purge) []byte {
	return binary.BigEndian.AppendUint64(b, uint64(math.Round(purge.PurgedAt*millisInSecond)))
}

func appendEndpoint(b []byte, endpoint Endpoint) ([]byte, error) {
	id, err := strconv.ParseUint(strings.TrimPrefix(string(endpoint.ID), endpointIDPrefix), 16, 32)
	if err != nil {
		return b, fmt.Errorf("encode endpoint %q: %w", endpoint.ID, err)
	}
	address, err := netip.ParseAddrPort(endpoint.Address)
	if err != nil {
		return b, fmt.Errorf("encode endpoint %q: %w", endpoint.ID, err)
	}
	if !address.Addr().Is4() {
		return b, fmt.Errorf("encode endpoint %q: %s %w", endpoint.ID, address, errNotIPv4)
	}
	ip := address.Addr().As4()
	b = binary.BigEndian.AppendUint32(b, uint32(id))
	b = append(b, ip[:]...)
	b = binary.BigEndian.AppendUint16(b, address.Port())
	b = append(b, byte(endpoint.Status), byte(endpoint.Zone), byte(endpoint.Kind))
	b = binary.BigEndian.AppendUint16(b, uint16(endpoint.Cell))
	b = binary.BigEndian.AppendUint32(b, uint32(endpoint.Weight*weightScale))
	return binary.BigEndian.AppendUint64(b, uint64(endpoint.StartedAt*millisInSecond)), nil
}
