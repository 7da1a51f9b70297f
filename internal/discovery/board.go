// Package board reads the notice board: the codec of its events, which does no I/O, and the client that follows it.
package discovery

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"cairnfront/routing"
)

// Row is one member of the list with the address at which it listens.
type Endpoint struct {
	routing.Endpoint
	Address string
}

// Event is one notice. It holds rows, or a purge where Purged is set.
type Event struct {
	Revision  uint64
	Heartbeat bool // nothing new
	Full      bool // the rows are the whole list
	Endpoints []Endpoint
	Purged    bool
	Object    string  // empty for the whole group
	Group     int     //
	At        float64 // Unix seconds of the purge
	Checksum  uint32  // a checksum of the whole frame, for who proves that numbers go on
}

// HeadSize is the size of length, number and kind.
const (
	HeaderSize = 13
	recordSize = 27
	mostFrame  = 1 << 20
)

var statuses = [...]routing.EndpointStatus{routing.Ready, routing.Draining, routing.Removed}

// ParseHead reads the first HeadSize bytes of a frame and returns the size of its payload.
func ParseHeader(b []byte) (number uint64, kind byte, size int, err error) {
	n := binary.BigEndian.Uint32(b)
	if n < 9 || n > mostFrame {
		return 0, 0, 0, fmt.Errorf("frame length %d is out of bounds", n)
	}
	return binary.BigEndian.Uint64(b[4:]), b[12], int(n) - 9, nil
}

// Parse reads the payload of an event.
func ParsePayload(number uint64, kind byte, b []byte) (Event, error) {
	ev := Event{Revision: number}
	switch kind {
	case 0:
		ev.Heartbeat = true
	case 1, 2:
		ev.Full = kind == 1
		if len(b)%recordSize != 0 {
			return ev, fmt.Errorf("%d bytes are no whole number of records", len(b))
		}
		for ; len(b) > 0; b = b[recordSize:] {
			if int(b[10]) >= len(statuses) {
				return ev, fmt.Errorf("unknown state %d", b[10])
			}
			addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[4:8])), binary.BigEndian.Uint16(b[8:]))
			ev.Endpoints = append(ev.Endpoints, Endpoint{Address: addr.String(), Endpoint: routing.Endpoint{
				ID: fmt.Sprintf("s-%08x", binary.BigEndian.Uint32(b)), Status: statuses[b[10]],
				Zone: int(b[11]), Kind: int(b[12]), Cell: int(binary.BigEndian.Uint16(b[13:])),
				Weight:    float64(binary.BigEndian.Uint32(b[15:])) / 1000,
				StartedAt: float64(binary.BigEndian.Uint64(b[19:])) / 1000}})
		}
	case 3, 4:
		ev.Purged = true
		size := 16 - 6*int(kind-3)
		if len(b) != size {
			return ev, fmt.Errorf("a purge of %d bytes", len(b))
		}
		if kind == 3 {
			ev.Object = fmt.Sprintf("%016x", binary.BigEndian.Uint64(b))
		} else {
			ev.Group = int(binary.BigEndian.Uint16(b))
		}
		ev.At = float64(binary.BigEndian.Uint64(b[size-8:])) / 1000
	default:
		return ev, fmt.Errorf("unknown kind %d", kind)
	}
	return ev, nil
}

// Names are the lists in which text finds its places.
type IndexNames struct{ Zones, Kinds []string }

var words = map[string]routing.EndpointStatus{"SERVING": routing.Ready, "DRAINING": routing.Draining, "DELETED": routing.Removed}

// ParseKnown reads the events that the router's start file holds.
func ParseKnownEvents(text []byte, names IndexNames) ([]Event, uint64, error) {
	var known struct {
		Rev     uint64 `json:"rev"`
		Notices []struct {
			Rev  uint64 `json:"rev"`
			Pool *struct {
				Snapshot  bool `json:"snapshot"`
				Endpoints []struct {
					Name    string  `json:"name"`
					Address string  `json:"address"`
					Zone    string  `json:"zone"`
					Type    string  `json:"type"`
					Group   int     `json:"group"`
					Status  string  `json:"status"`
					Weight  float64 `json:"weight"`
					Since   float64 `json:"since_ms"`
				} `json:"endpoints"`
			} `json:"pool"`
			Flush *struct {
				Asset      string  `json:"asset"`
				Collection int     `json:"collection"`
				MS         float64 `json:"ms"`
			} `json:"flush"`
		} `json:"notices"`
	}
	if err := json.Unmarshal(text, &known); err != nil {
		return nil, 0, err
	}
	var out []Event
	for i, n := range known.Notices {
		ev := Event{Revision: n.Rev}
		switch {
		case n.Pool != nil:
			ev.Full = n.Pool.Snapshot || i == 0
			for _, e := range n.Pool.Endpoints {
				status, ok := words[e.Status]
				row := Endpoint{Address: e.Address, Endpoint: routing.Endpoint{ID: e.Name, Cell: e.Group, Status: status, Weight: e.Weight,
					StartedAt: e.Since / 1000, Zone: slices.Index(names.Zones, e.Zone), Kind: slices.Index(names.Kinds, e.Type)}}
				if _, err := netip.ParseAddrPort(e.Address); err != nil || !ok || row.Zone < 0 || row.Kind < 0 || e.Name == "" {
					return nil, 0, fmt.Errorf("notice %d: member %q can't be used", n.Rev, e.Name)
				}
				ev.Endpoints = append(ev.Endpoints, row)
			}
		case n.Flush != nil:
			ev.Purged, ev.Object, ev.Group, ev.At = true, n.Flush.Asset, n.Flush.Collection, n.Flush.MS/1000
			if _, err := strconv.ParseUint(ev.Object, 16, 64); ev.Object != "" && err != nil {
				return nil, 0, fmt.Errorf("notice %d: object %q can't be used", n.Rev, ev.Object)
			}
		default:
			return nil, 0, fmt.Errorf("notice %d holds neither members nor a purge", n.Rev)
		}
		out = append(out, ev)
	}
	if len(out) == 0 {
		return nil, 0, errors.New("no notices")
	}
	return out, known.Rev, nil
}

// ErrGap ends a connection of a reader that wants to ask from another number.
var ErrRevisionGap = errGap

// Append writes an event as the board does: for stand-ins.
func AppendEvent(b []byte, ev Event) ([]byte, error) {
	var payload []byte
	kind := byte(0)
	switch {
	case ev.Heartbeat:
	case ev.Purged && ev.Object != "":
		kind = 3
		n, err := strconv.ParseUint(ev.Object, 16, 64)
		if err != nil {
			return b, fmt.Errorf("object %q: %w", ev.Object, err)
		}
		payload = binary.BigEndian.AppendUint64(nil, n)
	case ev.Purged:
		kind = 4
		payload = binary.BigEndian.AppendUint16(nil, uint16(ev.Group))
	default:
		if kind = 2; ev.Full {
			kind = 1
		}
		for _, row := range ev.Endpoints {
			id, err := strconv.ParseUint(strings.TrimPrefix(row.ID, "s-"), 16, 32)
			addr, err2 := netip.ParseAddrPort(row.Address)
			if err = errors.Join(err, err2); err != nil || !addr.Addr().Is4() {
				return b, fmt.Errorf("member %q at %q can't be told: %w", row.ID, row.Address, err)
			}
			ip := addr.Addr().As4()
			payload = binary.BigEndian.AppendUint32(payload, uint32(id))
			payload = append(payload, ip[:]...)
			payload = binary.BigEndian.AppendUint16(payload, addr.Port())
			payload = append(payload, byte(row.Status), byte(row.Zone), byte(row.Kind))
			payload = binary.BigEndian.AppendUint16(payload, uint16(row.Cell))
			payload = binary.BigEndian.AppendUint32(payload, uint32(row.Weight*1000))
			payload = binary.BigEndian.AppendUint64(payload, uint64(row.StartedAt*1000))
		}
	}
	if ev.Purged {
		payload = binary.BigEndian.AppendUint64(payload, uint64(math.Round(ev.At*1000)))
	}
	b = binary.BigEndian.AppendUint32(b, uint32(9+len(payload)))
	b = binary.BigEndian.AppendUint64(b, ev.Revision)
	return append(append(b, kind), payload...), nil
}
