package datagram

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cairnfront/internal/golden"
	"cairnfront/internal/membership/observation"
	"cairnfront/internal/membership/swim"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// goldenMessages returns one message of each kind, from router-a to router-b.
func goldenMessages(t *testing.T, c [3]*Codec) map[string]swim.Message {
	t.Helper()
	at := swim.Incarnation{StartMillis: 1_700_000_000_123, Refutations: 2}
	other := swim.Incarnation{StartMillis: 44}
	foreign, err := c[2].signRecord(swim.MemberRecord{Member: 2, Incarnation: other, InstanceID: 6, State: swim.Stuck})
	require.NoError(t, err)
	accused, err := c[2].signAccusation(swim.Accusation{Accuser: 2, Member: 1, Incarnation: at})
	require.NoError(t, err)
	ack, err := c[2].Encode(1, 0, swim.Message{Kind: swim.Ack, Nonce: 77, Requester: 1}, nil)
	require.NoError(t, err)
	h, err := c[0].Decode(ack, allNewer)
	require.NoError(t, err)
	records := []swim.MemberRecord{
		{Member: 0, Incarnation: at, InstanceID: 1 << 60, State: swim.Alive},
		{Member: 2, Incarnation: swim.Incarnation{StartMillis: 44}, InstanceID: 6, State: swim.Stuck, Signed: foreign},
	}
	accusations := []swim.Accusation{
		{Accuser: 0, Member: 2, Incarnation: swim.Incarnation{StartMillis: 44}},
		{Accuser: 2, Member: 1, Incarnation: at, Signed: accused},
	}
	entries := []swim.PushPullEntry{
		{Member: 0, Incarnation: at, State: swim.Alive},
		{Member: 1, State: swim.Unknown},
		{Member: 2, Incarnation: swim.Incarnation{StartMillis: 44, Refutations: 1}, State: swim.Failed},
	}
	return map[string]swim.Message{
		"ping": {
			Kind:        swim.Ping,
			Nonce:       1 << 63,
			Requester:   0,
			ViewHash:    5,
			Records:     records,
			Accusations: accusations,
		},
		"ack":             {Kind: swim.Ack, Nonce: 7, Requester: 1, ViewHash: 1<<64 - 1},
		"ack-for-another": {Kind: swim.Ack, Nonce: 7, Requester: 2, ViewHash: 9},
		"indirect-ping": {
			Kind:        swim.IndirectPing,
			Nonce:       8,
			Requester:   0,
			Target:      2,
			ViewHash:    9,
			Accusations: accusations[:1],
		},
		"indirect-ping-accepted": {Kind: swim.IndirectPingAccepted, Nonce: 8, ViewHash: 9},
		"indirect-ack": {
			Kind:      swim.IndirectAck,
			Nonce:     77,
			Requester: 1,
			Target:    2,
			Proof:     h.Message.Proof,
			ViewHash:  9,
		},
		"push-pull-request": {Kind: swim.PushPullRequest, ViewHash: 9, Entries: entries, Records: records[:1]},
		"push-pull-reply":   {Kind: swim.PushPullReply, ViewHash: 9, Entries: entries[1:], Records: records[1:]},
		"push":              {Kind: swim.Push, ViewHash: 9, Records: records},
	}
}

// formatReceived formats the values of a decoded datagram. Members, kinds and states are written as numbers.
func formatReceived(h Received) string {
	var b strings.Builder
	m := h.Message
	fmt.Fprintf(&b, "from %d start %d skipped %d\n", h.From, h.StartMillis, h.Skipped)
	fmt.Fprintf(&b, "message %d %d %d %d %x %d\n", m.Kind, m.Nonce, m.Requester, m.Target, m.Proof, m.ViewHash)
	for _, r := range m.Records {
		address, zone := RecordLocation(r.Signed)
		at := r.Incarnation
		fmt.Fprintf(&b, "record %d %d %d %d %d %s %s %x\n",
			r.Member, at.StartMillis, at.Refutations, r.InstanceID, r.State, address, zone, r.Signed)
	}
	for _, a := range m.Accusations {
		at := a.Incarnation
		fmt.Fprintf(&b, "accusation %d %d %d %d %t %t %x\n",
			a.Accuser, a.Member, at.StartMillis, at.Refutations, a.Dead, a.FromPushPull, a.Signed)
	}
	for _, e := range m.Entries {
		fmt.Fprintf(&b, "entry %d %d %d %d\n", e.Member, e.Incarnation.StartMillis, e.Incarnation.Refutations, e.State)
	}
	for _, o := range h.Observations {
		fmt.Fprintf(&b, "observation %d %d %d %s %d %s %x\n",
			o.Witness, o.WitnessStartMillis, o.Sequence, o.Endpoint, o.Health, o.Zone, o.Signed)
	}
	return b.String()
}

// TestGoldenDatagrams checks the bytes of a datagram of each kind, and the values that are decoded from them.
func TestGoldenDatagrams(t *testing.T) {
	c := testCodecs(t)
	messages := goldenMessages(t, c)
	require.Len(t, messages, 9)
	for name, m := range messages {
		t.Run(name, func(t *testing.T) {
			c := testCodecs(t) // new codecs, whose counters start at 1
			o := observation.Observation{
				Witness:            0,
				WitnessStartMillis: 9,
				Sequence:           1,
				Endpoint:           "s-00000001",
				Health:             observation.Failing,
				Zone:               "zone",
			}
			signed, err := c[0].SignObservation(o)
			require.NoError(t, err)
			text, err := c[0].Encode(1_700_000_000_123, 1, m, [][]byte{signed})
			require.NoError(t, err)
			golden.Compare(t, filepath.Join("golden", name+".hex"), hex.EncodeToString(text)+"\n")
			stored, err := os.ReadFile(filepath.Join("testdata", "golden", name+".hex"))
			require.NoError(t, err)
			raw, err := hex.DecodeString(string(bytes.TrimSpace(stored)))
			require.NoError(t, err)
			h, err := c[1].Decode(raw, allNewer)
			require.NoError(t, err)
			golden.Compare(t, filepath.Join("golden", name+".txt"), formatReceived(h))
		})
	}
}

// TestGoldenKeys checks the format of the keys in the configuration file.
func TestGoldenKeys(t *testing.T) {
	key, err := ParsePrivateKey("YWFhYWFhYWFhYWFhYWFhYWFhYWFhYWFhYWFhYWFhYWE=")
	require.NoError(t, err)
	assert.True(t, testCodecs(t)[0].key.Equal(key))
	_, err = ParsePublicKey("YWFhYWFhYWFhYWFhYWFhYWFhYWFhYWFhYWFhYWFhYWE=")
	require.NoError(t, err)
	for _, bad := range []string{"", "YWFh", "not base64 at all"} {
		_, err = ParsePrivateKey(bad)
		require.ErrorIs(t, err, ErrMalformedKey, bad)
		_, err = ParsePublicKey(bad)
		require.ErrorIs(t, err, ErrMalformedKey, bad)
	}
}
