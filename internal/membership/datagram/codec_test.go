package datagram

import (
	"crypto/ed25519"
	"strings"
	"testing"

	"cairnfront/internal/membership/observation"
	"cairnfront/internal/membership/swim"
	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// testCodecs returns the codecs of three members with fixed keys.
func testCodecs(tb testing.TB) [3]*Codec {
	tb.Helper()
	var roster []Identity
	var keys []ed25519.PrivateKey
	for i := range 3 {
		letter := string(rune('a' + i))
		key := ed25519.NewKeyFromSeed([]byte(strings.Repeat(letter, ed25519.SeedSize)))
		public, ok := key.Public().(ed25519.PublicKey)
		require.True(tb, ok)
		keys = append(keys, key)
		roster = append(roster, Identity{Name: "router-" + letter, Key: public})
	}
	var codecs [3]*Codec
	for i := range codecs {
		c, err := New(swim.MemberID(i), keys[i], "127.0.0.1:1000", "zone", roster)
		require.NoError(tb, err)
		codecs[i] = c
	}
	return codecs
}

func allNewer(swim.MemberID, swim.Incarnation) bool { return true }

// TestMessageRoundTripAndRelay encodes a message with each kind of list, decodes it at the second member and relays
// its parts to the third. The signature of each part must be valid at both.
func TestMessageRoundTripAndRelay(t *testing.T) {
	c := testCodecs(t)
	m := swim.Message{
		Kind:      swim.Ping,
		Nonce:     7,
		Requester: 0,
		ViewHash:  5,
		Records: []swim.MemberRecord{{
			Member:      0,
			Incarnation: swim.Incarnation{StartMillis: 9, Refutations: 2},
			InstanceID:  3,
			State:       swim.Alive,
		}},
		Accusations: []swim.Accusation{{
			Accuser:     0,
			Member:      2,
			Incarnation: swim.Incarnation{StartMillis: 4, Refutations: 1},
		}},
		Entries: []swim.PushPullEntry{{Member: 1, Incarnation: swim.Incarnation{StartMillis: 8}, State: swim.Failed}},
	}
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
	raw, err := c[0].Encode(9, 1, m, [][]byte{signed})
	require.NoError(t, err)
	r, err := c[1].Decode(raw, allNewer)
	require.NoError(t, err)
	assert.Zero(t, r.Skipped)
	assert.Equal(t, [4]any{swim.MemberID(0), uint64(9), uint64(7), uint64(5)},
		[4]any{r.From, r.StartMillis, r.Message.Nonce, r.Message.ViewHash})
	require.Len(t, r.Message.Records, 1)
	assert.Equal(t, m.Records[0].Incarnation, r.Message.Records[0].Incarnation)
	assert.Equal(t, m.Entries, r.Message.Entries)
	require.Len(t, r.Observations, 1)
	assert.Equal(t, routing.EndpointID("s-00000001"), r.Observations[0].Endpoint)
	address, zone := RecordLocation(r.Message.Records[0].Signed)
	assert.Equal(t, []string{"127.0.0.1:1000", "zone"}, []string{address, zone})
	// The recipient relays all parts, and the third member verifies them with the keys of their authors.
	relayed := swim.Message{Kind: swim.Push, Records: r.Message.Records, Accusations: r.Message.Accusations}
	raw, err = c[1].Encode(1, 2, relayed, [][]byte{r.Observations[0].Signed})
	require.NoError(t, err)
	r, err = c[2].Decode(raw, allNewer)
	require.NoError(t, err)
	assert.Zero(t, r.Skipped)
	assert.Len(t, r.Message.Records, 1)
	assert.Len(t, r.Message.Accusations, 1)
	assert.Len(t, r.Observations, 1)
}

// TestForgeriesAreRefused changes a bit, a recipient, a name or a signature of datagrams, and sends one twice. If
// forged datagrams were accepted, anyone in the network could remove a router. Each must be refused for its own
// reason, and the genuine one accepted.
func TestForgeriesAreRefused(t *testing.T) {
	c := testCodecs(t)
	raw, err := c[0].Encode(9, 1, swim.Message{Kind: swim.Ping, Requester: 0}, nil)
	require.NoError(t, err)
	for i := range raw { // a wrong bit in each byte
		bad := append([]byte(nil), raw...)
		bad[i] ^= 1
		_, err := c[1].Decode(bad, allNewer)
		require.Error(t, err, "byte %d", i)
	}
	_, err = c[2].Decode(raw, allNewer)
	require.ErrorIs(t, err, ErrWrongRecipient)
	_, err = c[1].Decode(raw, allNewer)
	require.NoError(t, err)
	_, err = c[1].Decode(raw, allNewer)
	require.ErrorIs(t, err, ErrReplayed)
	_, err = c[1].Decode(make([]byte, MaxSize+1), allNewer)
	require.ErrorIs(t, err, ErrMalformed)
	// The third member sends a record in the first member's name.
	record, err := c[2].signRecord(swim.MemberRecord{
		Member:      2,
		Incarnation: swim.Incarnation{StartMillis: 1 << 60},
		State:       swim.Alive,
	})
	require.NoError(t, err)
	for _, name := range []string{"router-a", "router-c"} {
		forged := []byte(strings.Replace(string(record), "router-c", name, 1))
		push := swim.Message{Kind: swim.Push, Records: []swim.MemberRecord{{Member: 0, Signed: forged}}}
		raw, err = c[2].Encode(1, 1, push, nil)
		require.NoError(t, err)
		r, err := c[1].Decode(raw, allNewer)
		require.NoError(t, err)
		assert.Equal(t, name != "router-c", r.Skipped == 1, name)
	}
	unproven := swim.Message{Kind: swim.IndirectAck, Requester: 1, Target: 0, Nonce: 4, Proof: make([]byte, 64)}
	raw, err = c[2].Encode(1, 1, unproven, nil)
	require.NoError(t, err)
	_, err = c[1].Decode(raw, allNewer)
	assert.ErrorIs(t, err, ErrBadSignature, "an ack on behalf of a member that sent none")
}

// TestIndirectAckProofIsValidForOneNonce relays the proof of an indirect ack. If a proof were valid for any nonce, a
// member could confirm that a dead member is alive. The proof must be valid only for the nonce of the ping.
func TestIndirectAckProofIsValidForOneNonce(t *testing.T) {
	c := testCodecs(t)
	ack, err := c[2].Encode(1, 1, swim.Message{Kind: swim.Ack, Nonce: 77, Requester: 0}, nil) // b pinged c for a
	require.NoError(t, err)
	r, err := c[1].Decode(ack, allNewer)
	require.NoError(t, err)
	for nonce, want := range map[uint64]error{77: nil, 78: ErrBadSignature} {
		indirect := swim.Message{Kind: swim.IndirectAck, Nonce: nonce, Requester: 0, Target: 2, Proof: r.Message.Proof}
		raw, err := c[1].Encode(1, 0, indirect, nil)
		require.NoError(t, err)
		_, err = c[0].Decode(raw, allNewer)
		assert.ErrorIs(t, err, want, "nonce %d", nonce)
	}
}

// TestReplayGuardAcceptsEachCounterOnce passes counters inside and outside of the window, and alternating starts. A
// datagram that is accepted twice could end a suspicion that began after it was sent. Each counter must be accepted
// once, in any order within the window, and only from the latest start.
func TestReplayGuardAcceptsEachCounterOnce(t *testing.T) {
	var g replayGuard
	for _, test := range []struct {
		start, counter uint64
		want           error
	}{
		{5, 1, nil},
		{5, 1, ErrReplayed},
		{5, 3, nil},
		{5, 2, nil},
		{5, 2, ErrReplayed},
		{5, 300, nil},
		{5, 44, ErrReplayed},
		{5, 45, nil},
		{4, 900, ErrStaleIncarnation},
		{5, 299, nil},
		{5, 1 << 40, nil},
		{5, 300, ErrReplayed},
		{5, 1<<40 - 255, nil},
		{5, 1<<40 - 255, ErrReplayed},
		{6, 1, nil},
		{5, 1<<40 + 1, ErrStaleIncarnation},
	} {
		assert.Equal(t, test.want, g.accept(test.start, test.counter), "%+v", test)
	}
}

// TestDatagramsStayWithinMaxSize encodes a message that exceeds MaxSize. A datagram over this size is fragmented, and
// many networks drop fragments, so that a member with much gossip would seem dead. Parts must be left out instead.
func TestDatagramsStayWithinMaxSize(t *testing.T) {
	c := testCodecs(t)
	m := swim.Message{Kind: swim.PushPullRequest}
	incarnation := swim.Incarnation{StartMillis: 1 << 50, Refutations: 9}
	for range 20 {
		m.Entries = append(m.Entries, swim.PushPullEntry{Member: 1, Incarnation: incarnation, State: swim.Alive})
		m.Records = append(m.Records, swim.MemberRecord{
			Member:      0,
			Incarnation: swim.Incarnation{StartMillis: 1 << 50},
			State:       swim.Alive,
		})
		m.Accusations = append(m.Accusations, swim.Accusation{Accuser: 0, Member: 1})
	}
	raw, err := c[0].Encode(1, 1, m, [][]byte{make([]byte, 300), make([]byte, 300)})
	require.NoError(t, err)
	assert.LessOrEqual(t, len(raw), MaxSize)
}

// TestPartsOfLaterVersionsAreSkipped checks that a datagram with keys, kinds and states unknown to this version is
// accepted and its known parts are used, and that another version of the envelope is refused.
func TestPartsOfLaterVersionsAreSkipped(t *testing.T) {
	c := testCodecs(t)
	entry := map[int]any{1: "router-c", 4: 77}
	inner, err := encMode.Marshal(map[int]any{1: 200, 6: 5, 99: "later", 9: []any{entry}})
	require.NoError(t, err)
	for version, want := range map[int]error{1: nil, 2: ErrUnsupportedVersion} {
		text, err := encMode.Marshal(map[int]any{
			1: version, 2: "router-a", 3: "router-b", 4: 1, 5: 1, 6: map[int]any{}, 50: "later",
		})
		require.NoError(t, err)
		_, err = c[1].Decode(c[0].sign(purposeDatagram, text), allNewer)
		require.ErrorIs(t, err, want)
	}
	text, err := encMode.Marshal(envelope{
		Version:     Version,
		From:        "router-a",
		To:          "router-b",
		StartMillis: 1,
		Counter:     2,
		Payload:     inner,
	})
	require.NoError(t, err)
	r, err := c[1].Decode(c[0].sign(purposeDatagram, text), allNewer)
	require.NoError(t, err)
	assert.Equal(t, []any{swim.MessageKind(0), uint64(5)}, []any{r.Message.Kind, r.Message.ViewHash})
	assert.Empty(t, r.Message.Entries)
}

// TestInvalidRosterErrorsNameCauseAndPeer gives a codec rosters and locations with one fault each. If an error states
// only that the roster is invalid, operators must search hundreds of lines for the fault. Each kind of fault must
// have its own error that names the peer, and the old roster must stay in use.
func TestInvalidRosterErrorsNameCauseAndPeer(t *testing.T) {
	c := testCodecs(t)[0]
	known := c.identities
	for name, test := range map[string]struct {
		roster []Identity
		want   error
		peer   string
	}{
		"no name":      {[]Identity{{Key: known[0].Key}}, ErrInvalidIdentity, `""`},
		"a short key":  {[]Identity{{Name: "router-a", Key: known[0].Key[1:]}}, ErrInvalidIdentity, "router-a"},
		"another name": {[]Identity{{Name: "router-x", Key: known[0].Key}}, ErrRosterOrder, "router-x"},
		"listed twice": {[]Identity{known[0], known[1], known[2], known[1]}, ErrRosterOrder, "router-b"},
	} {
		err := c.SetRoster(test.roster)
		require.ErrorIs(t, err, test.want, name)
		require.ErrorContains(t, err, test.peer, name)
	}
	assert.Equal(t, "router-c", c.Name(2))
	_, err := New(0, c.key, strings.Repeat("a", maxAddressBytes+1), "zone", known)
	require.ErrorIs(t, err, ErrInvalidLocation)
	_, err = New(1, c.key, "127.0.0.1:1000", "zone", known)
	require.ErrorIs(t, err, ErrKeyMismatch)
}

// FuzzDecode decodes arbitrary bytes as a datagram, signed and unsigned, because a byzantine member can sign
// anything. Decoding must not end the process, return a member outside the roster or exceed the limits of the lists.
func FuzzDecode(f *testing.F) {
	c := testCodecs(f)
	text, err := c[0].Encode(9, 1, swim.Message{
		Kind:    swim.PushPullRequest,
		Entries: []swim.PushPullEntry{{Member: 1}},
		Records: []swim.MemberRecord{{Member: 0, State: swim.Alive}},
	}, nil)
	require.NoError(f, err)
	f.Add(text[signatureSize:])
	inner, err := encMode.Marshal(payload{
		Kind:         swim.IndirectAck,
		Requester:    "router-b",
		Target:       "router-c",
		Proof:        []byte("x"),
		Records:      [][]byte{{1}},
		Accusations:  [][]byte{{2}},
		Observations: [][]byte{{3}},
	})
	require.NoError(f, err)
	text, err = encMode.Marshal(envelope{
		Version:     Version,
		From:        "router-a",
		To:          "router-b",
		StartMillis: 1,
		Counter:     1,
		Payload:     inner,
	})
	require.NoError(f, err)
	f.Add(text)
	f.Fuzz(func(t *testing.T, text []byte) {
		c[1].replayGuards[0] = replayGuard{}
		_, _ = c[1].Decode(text, allNewer)
		// The same bytes with a valid signature: a byzantine member can sign anything.
		r, err := c[1].Decode(c[0].sign(purposeDatagram, text), allNewer)
		if err == nil && (int(r.From) >= 3 || len(r.Message.Records) > maxListLength) {
			t.Fatal(r)
		}
	})
}
