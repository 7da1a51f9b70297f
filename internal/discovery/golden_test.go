package discovery

import (
	"testing"

	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// goldenEvents lists the encoded frame and the decoded event for each kind.
var goldenEvents = []struct {
	name  string
	frame string
	event Event
}{
	{
		"heartbeat",
		"\x00\x00\x00\x09\x00\x00\x00\x00\x00\x00\x01\x02\x00",
		Event{Revision: 258, Kind: Heartbeat},
	},
	{
		"snapshot",
		"\x00\x00\x00\x3f\x00\x00\x00\x00\x00\x00\x01\x02\x01" +
			"\x00\xc4\x1f\x7a\x0a\x01\x00\x09\x23\x82" +
			"\x00\x01\x02\x00\x05\x00\x00\x0f\xa0\x00\x00\x00\x00\x00\x00\x00\x00" +
			"\x00\x00\x00\x02\x7f\x00\x00\x02\x00\x50" +
			"\x01\x00\x01\x01\x00\x00\x00\x40\x74\x00\x00\x01\x9a\xd8\xed\xa0\x7b",
		Event{Revision: 258, Kind: Snapshot, Endpoints: []Endpoint{
			{Address: "10.1.0.9:9090", Endpoint: routing.Endpoint{
				ID:     "s-00c41f7a",
				Zone:   1,
				Kind:   2,
				Cell:   5,
				Weight: 4,
			}},
			{Address: "127.0.0.2:80", Endpoint: routing.Endpoint{
				ID:        "s-00000002",
				Zone:      0,
				Kind:      1,
				Cell:      256,
				Status:    routing.Draining,
				Weight:    16.5,
				StartedAt: 1764576043.131,
			}},
		}},
	},
	{
		"changes",
		"\x00\x00\x00\x24\x00\x00\x00\x00\x00\x00\x01\x03\x02" +
			"\x00\xc4\x1f\x7a\x0a\x01\x00\x09\x23\x82" +
			"\x02\x01\x02\x00\x05\x00\x00\x0f\xa0\x00\x00\x00\x00\x00\x00\x00\x00",
		Event{Revision: 259, Kind: Update, Endpoints: []Endpoint{{Address: "10.1.0.9:9090", Endpoint: routing.Endpoint{
			ID:     "s-00c41f7a",
			Zone:   1,
			Kind:   2,
			Cell:   5,
			Status: routing.Removed,
			Weight: 4,
		}}}},
	},
	{
		"purge of an object",
		"\x00\x00\x00\x19\x00\x00\x00\x00\x00\x00\x01\x04\x03" +
			"\x7f\x3a\x9c\x21\xe0\xb4\xd6\x55\x00\x00\x01\x9a\xd8\xed\xa0\x7b",
		Event{Revision: 260, Kind: PurgeObject, Purge: Purge{Object: "7f3a9c21e0b4d655", PurgedAt: 1764576043.131}},
	},
	{
		"purge of a group",
		"\x00\x00\x00\x13\x00\x00\x00\x00\x00\x00\x01\x05\x04\x00\x11\x00\x00\x01\x9a\xd8\xed\xa0\x7b",
		Event{Revision: 261, Kind: PurgeGroup, Purge: Purge{Group: 17, PurgedAt: 1764576043.131}},
	},
}

// Guards against a change of the format in both the encoder and the decoder, which a round-trip test does not detect:
// the client could not parse the events of a service of another version. The encoded bytes must equal the golden bytes.
func TestEncodedEventsMatchTheGoldenBytes(t *testing.T) {
	for _, c := range goldenEvents {
		frame, err := AppendEvent(nil, c.event)
		require.NoError(t, err, c.name)
		assert.Equal(t, c.frame, string(frame), c.name)

		header, err := ParseHeader([]byte(c.frame))
		require.NoError(t, err, c.name)
		assert.Equal(t, len(c.frame)-HeaderSize, header.PayloadBytes, c.name)
		event, err := ParsePayload(header, []byte(c.frame[HeaderSize:]))
		require.NoError(t, err, c.name)
		assert.Equal(t, c.event, event, c.name)
	}
}
