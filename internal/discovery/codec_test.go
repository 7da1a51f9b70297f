package discovery

import (
	"encoding/binary"
	"testing"

	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// drainingRecord is the endpoint record of drainingEndpoint.
const drainingRecord = "\x00\xc4\x1f\x7a\x0a\x01\x00\x09\x23\x82" +
	"\x01\x01\x02\x00\x05\x00\x00\x0f\xa0\x00\x00\x00\x00\x00\x00\x13\x88"

var drainingEndpoint = Endpoint{
	Address: "10.1.0.9:9090",
	Endpoint: routing.Endpoint{
		ID:        "s-00c41f7a",
		Zone:      1,
		Kind:      2,
		Cell:      5,
		Weight:    4,
		StartedAt: 5,
		Status:    routing.Draining,
	},
}

// Guards against a truncated payload, or one of unknown kind, that is parsed as a different event: an endpoint would be
// lost, or the wrong copy purged. Well-formed payloads of each kind must be parsed completely, and any other payload
// must be rejected as malformed.
func TestPayloadsOfEachKindAreParsed(t *testing.T) {
	const (
		object      = "\x7f\x3a\x9c\x21\xe0\xb4\xd6\x55"
		group       = "\x00\x11"
		oneSecond   = "\x00\x00\x00\x00\x00\x00\x03\xe8"
		unknownKind = PurgeGroup + 1
	)
	for kind, c := range map[EventKind]struct {
		payload string
		want    Event
	}{
		Heartbeat: {"", Event{}},
		Snapshot:  {drainingRecord, Event{Endpoints: []Endpoint{drainingEndpoint}}},
		Update: {
			drainingRecord + drainingRecord,
			Event{Endpoints: []Endpoint{drainingEndpoint, drainingEndpoint}},
		},
		PurgeObject: {object + oneSecond, Event{Purge: Purge{Object: "7f3a9c21e0b4d655", PurgedAt: 1}}},
		PurgeGroup:  {group + oneSecond, Event{Purge: Purge{Group: 17, PurgedAt: 1}}},
	} {
		got, err := ParsePayload(Header{Revision: 9, Kind: kind}, []byte(c.payload))
		require.NoError(t, err)
		c.want.Revision = 9
		c.want.Kind = kind
		assert.Equal(t, c.want, got)
	}
	for _, c := range []struct {
		kind    EventKind
		payload string
	}{
		{Snapshot, drainingRecord[:26]},
		{Update, drainingRecord[:10] + "\x03" + drainingRecord[11:]},
		{PurgeObject, oneSecond},
		{PurgeGroup, object + oneSecond},
		{unknownKind, ""},
	} {
		_, err := ParsePayload(Header{Revision: 9, Kind: c.kind}, []byte(c.payload))
		assert.ErrorIs(t, err, ErrMalformed)
	}
}

// Guards against an invalid length field that makes the client wait for bytes that never arrive, or allocate gigabytes.
// A length below the header size or above the maximum must be rejected as malformed.
func TestFrameLengthOutOfBoundsIsMalformed(t *testing.T) {
	for _, length := range []uint32{0, 8, maxFrameLength + 1} {
		_, err := ParseHeader(append(binary.BigEndian.AppendUint32(nil, length), make([]byte, 9)...))
		require.ErrorIs(t, err, ErrMalformed)
		assert.ErrorContains(t, err, "length")
	}
}

func FuzzParsePayload(f *testing.F) {
	f.Add(byte(Snapshot), []byte(drainingRecord))
	f.Add(byte(PurgeObject), []byte("0123456789abcdef"))
	f.Fuzz(func(t *testing.T, kind byte, payload []byte) {
		ev, err := ParsePayload(Header{Revision: 1, Kind: EventKind(kind)}, payload)
		if err != nil {
			return
		}
		if ev.Kind != Heartbeat && !ev.IsPurge() && len(ev.Endpoints)*endpointSize != len(payload) {
			t.Fatalf("%+v", ev)
		}
	})
}
