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

// three are codecs of three peers with keys that are the same in each run.
func three(t testing.TB) [3]*Codec {
	var people []Identity
	var keys []ed25519.PrivateKey
	for i := range 3 {
		key := ed25519.NewKeyFromSeed([]byte(strings.Repeat(string(rune('a'+i)), 32)))
		keys = append(keys, key)
		people = append(people, Identity{Name: "router-" + string(rune('a'+i)), Key: key.Public().(ed25519.PublicKey)})
	}
	var out [3]*Codec
	for i := range out {
		c, err := New(swim.MemberID(i), keys[i], "127.0.0.1:1000", "zone", people)
		require.NoError(t, err)
		out[i] = c
	}
	return out
}

func all(swim.MemberID, swim.Incarnation) bool { return true }

func TestWhatIsSaidComesAcross(t *testing.T) {
	c := three(t)
	m := swim.Message{Kind: swim.Ping, Nonce: 7, Requester: 0, ViewHash: 5, Records: []swim.MemberRecord{{Member: 0, Incarnation: swim.Incarnation{StartMillis: 9, Refutations: 2}, InstanceID: 3, State: swim.Alive}},
		Accusations: []swim.Accusation{{Accuser: 0, Member: 2, Incarnation: swim.Incarnation{StartMillis: 4, Refutations: 1}}}, Entries: []swim.PushPullEntry{{Member: 1, Incarnation: swim.Incarnation{StartMillis: 8}, State: swim.Failed}}}
	r := observation.Observation{Witness: 0, WitnessStartMillis: 9, Sequence: 1, Endpoint: "s-00000001", Health: observation.Failing, Zone: "zone"}
	seal, err := c[0].SignObservation(r)
	require.NoError(t, err)
	text, err := c[0].Encode(9, 1, m, [][]byte{seal})
	require.NoError(t, err)
	h, err := c[1].Decode(text, all)
	require.NoError(t, err)
	assert.Zero(t, h.Skipped)
	assert.Equal(t, [4]any{swim.MemberID(0), uint64(9), uint64(7), uint64(5)}, [4]any{h.From, h.StartMillis, h.Message.Nonce, h.Message.ViewHash})
	require.Len(t, h.Message.Records, 1)
	assert.Equal(t, m.Records[0].Incarnation, h.Message.Records[0].Incarnation)
	assert.Equal(t, m.Entries, h.Message.Entries)
	require.Len(t, h.Observations, 1)
	assert.Equal(t, routing.EndpointID("s-00000001"), h.Observations[0].Endpoint)
	addr, zone := RecordLocation(h.Message.Records[0].Signed)
	assert.Equal(t, []string{"127.0.0.1:1000", "zone"}, []string{addr, zone})
	// What one hears it hands on, and the next one holds it against its author's key.
	text, err = c[1].Encode(1, 2, swim.Message{Kind: swim.Push, Records: h.Message.Records, Accusations: h.Message.Accusations}, [][]byte{h.Observations[0].Signed})
	require.NoError(t, err)
	h, err = c[2].Decode(text, all)
	require.NoError(t, err)
	assert.Zero(t, h.Skipped)
	assert.Len(t, h.Message.Records, 1)
	assert.Len(t, h.Message.Accusations, 1)
	assert.Len(t, h.Observations, 1)
}

func TestForgeriesAreRefused(t *testing.T) {
	c := three(t)
	text, err := c[0].Encode(9, 1, swim.Message{Kind: swim.Ping, Requester: 0}, nil)
	require.NoError(t, err)
	for i := range text { // one wrong bit anywhere
		bad := append([]byte(nil), text...)
		bad[i] ^= 1
		_, err := c[1].Decode(bad, all)
		assert.Error(t, err, "byte %d", i)
	}
	_, err = c[2].Decode(text, all)
	assert.ErrorIs(t, err, ErrWrongRecipient, "what was for another")
	_, err = c[1].Decode(text, all)
	assert.NoError(t, err)
	_, err = c[1].Decode(text, all)
	assert.ErrorIs(t, err, ErrReplayed)
	_, err = c[1].Decode(make([]byte, MaxSize+1), all)
	assert.ErrorIs(t, err, ErrMalformed)
	// The third peer says in the first one's name that it is alive, that it charges the second, and that a member fails.
	claim, err := c[2].seal(swim.MemberRecord{Member: 2, Incarnation: swim.Incarnation{StartMillis: 1 << 60}, State: swim.Alive})
	require.NoError(t, err)
	for _, name := range []string{"router-a", "router-c"} {
		forged := []byte(strings.Replace(string(claim), "router-c", name, 1))
		text, err = c[2].Encode(1, 1, swim.Message{Kind: swim.Push, Records: []swim.MemberRecord{{Member: 0, Signed: forged}}}, nil)
		require.NoError(t, err)
		h, err := c[1].Decode(text, all)
		require.NoError(t, err)
		assert.Equal(t, name != "router-c", h.Skipped == 1, name)
	}
	text, err = c[2].Encode(1, 1, swim.Message{Kind: swim.IndirectAck, Requester: 1, Target: 0, Nonce: 4, Proof: make([]byte, 64)}, nil)
	require.NoError(t, err)
	_, err = c[1].Decode(text, all)
	assert.ErrorIs(t, err, ErrBadSignature, "an answer for the dead")
}

func TestProofGoesThroughAnother(t *testing.T) {
	c := three(t)
	ack, err := c[2].Encode(1, 1, swim.Message{Kind: swim.Ack, Nonce: 77, Requester: 0}, nil) // asked by b for a
	require.NoError(t, err)
	h, err := c[1].Decode(ack, all)
	require.NoError(t, err)
	told, err := c[1].Encode(1, 0, swim.Message{Kind: swim.IndirectAck, Nonce: 77, Requester: 0, Target: 2, Proof: h.Message.Proof}, nil)
	require.NoError(t, err)
	_, err = c[0].Decode(told, all)
	assert.NoError(t, err)
	other, err := c[1].Encode(1, 0, swim.Message{Kind: swim.IndirectAck, Nonce: 78, Requester: 0, Target: 2, Proof: h.Message.Proof}, nil)
	require.NoError(t, err)
	_, err = c[0].Decode(other, all)
	assert.ErrorIs(t, err, ErrBadSignature, "a proof is for one question")
}

func TestLivesAndCounters(t *testing.T) {
	var g guard
	for _, x := range []struct {
		start, count uint64
		want         error
	}{{5, 1, nil}, {5, 1, ErrReplayed}, {5, 3, nil}, {5, 2, nil}, {5, 2, ErrReplayed}, {5, 300, nil}, {5, 44, ErrReplayed}, {5, 45, nil}, {4, 900, ErrStaleIncarnation},
		{5, 299, nil}, {5, 1 << 40, nil}, {5, 300, ErrReplayed}, {5, 1<<40 - 255, nil}, {5, 1<<40 - 255, ErrReplayed}, {6, 1, nil}, {5, 1<<40 + 1, ErrStaleIncarnation}} {
		assert.Equal(t, x.want, g.fresh(x.start, x.count), "%+v", x)
	}
}

func TestDatagramsStayShort(t *testing.T) {
	c := three(t)
	var m swim.Message
	m.Kind = swim.PushPullRequest
	for range 20 {
		m.Entries = append(m.Entries, swim.PushPullEntry{Member: 1, Incarnation: swim.Incarnation{StartMillis: 1 << 50, Refutations: 9}, State: swim.Alive})
		m.Records = append(m.Records, swim.MemberRecord{Member: 0, Incarnation: swim.Incarnation{StartMillis: 1 << 50}, State: swim.Alive})
		m.Accusations = append(m.Accusations, swim.Accusation{Accuser: 0, Member: 1})
	}
	text, err := c[0].Encode(1, 1, m, [][]byte{make([]byte, 300), make([]byte, 300)})
	require.NoError(t, err)
	assert.LessOrEqual(t, len(text), MaxSize)
}

// TestLaterVersionsPartsAreSkipped: a datagram with keys, kinds and states that this version does not know is taken, what is
// known of it counts; another version of the envelope is refused.
func TestLaterVersionsPartsAreSkipped(t *testing.T) {
	c := three(t)
	inner, err := enc.Marshal(map[int]any{1: 200, 6: 5, 99: "later", 9: []any{map[int]any{1: "router-c", 4: 77}}})
	require.NoError(t, err)
	for v, want := range map[int]error{1: nil, 2: ErrUnsupportedVersion} {
		text, err := enc.Marshal(map[int]any{1: v, 2: "router-a", 3: "router-b", 4: 1, 5: 1, 6: map[int]any{}, 50: "later"})
		require.NoError(t, err)
		_, err = c[1].Decode(c[0].sign(forDatagram, text), all)
		assert.ErrorIs(t, err, want)
	}
	text, err := enc.Marshal(envelope{Version, "router-a", "router-b", 1, 2, inner})
	require.NoError(t, err)
	h, err := c[1].Decode(c[0].sign(forDatagram, text), all)
	require.NoError(t, err)
	assert.Equal(t, []any{swim.MessageKind(0), uint64(5)}, []any{h.Message.Kind, h.Message.ViewHash})
	assert.Empty(t, h.Message.Entries)
}

func FuzzDecode(f *testing.F) {
	c := three(f)
	text, err := c[0].Encode(9, 1, swim.Message{Kind: swim.PushPullRequest, Entries: []swim.PushPullEntry{{Member: 1}}, Records: []swim.MemberRecord{{Member: 0, State: swim.Alive}}}, nil)
	require.NoError(f, err)
	f.Add(text[sigSize:])
	inner, err := enc.Marshal(body{Kind: swim.IndirectAck, For: "router-b", Of: "router-c", Proof: []byte("x"), Claims: [][]byte{{1}}, Charges: [][]byte{{2}}, Rumours: [][]byte{{3}}})
	require.NoError(f, err)
	text, err = enc.Marshal(envelope{Version, "router-a", "router-b", 1, 1, inner})
	require.NoError(f, err)
	f.Add(text)
	f.Fuzz(func(t *testing.T, text []byte) {
		c[1].guards[0] = guard{}
		_, _ = c[1].Decode(text, all)
		// Signed by one of the roster all the same: a liar can sign anything.
		h, err := c[1].Decode(c[0].sign(forDatagram, text), all)
		if err == nil && (int(h.From) >= 3 || len(h.Message.Records) > mostList) {
			t.Fatal(h)
		}
	})
}
