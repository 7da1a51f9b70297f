package cacheproto

import (
	"testing"

	"cairnfront/internal/request"
	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	goldenAttempt = "do 9b1f03aa5c7e2d41 profile=page,thing=7f3a9c21e0b4d655,nth=3,max=1500," +
		"replay=k1,parent=s-1,shelf=2,accept=12,hints=ride+have-only+through+update,got=t1 2\r\n"
	goldenPlainAttempt = "do 9b1f03aa5c7e2d41 profile=page,thing=7f3a9c21e0b4d655,nth=0,max=250 0\r\n"
)

// goldenResults lists each form of the result of an attempt, as encoded on the wire and as decoded.
var goldenResults = []struct {
	line     string
	encoded  AttemptReply
	response request.AttemptEnd
	bytes    int
}{
	{
		"a1 served digest=d1,dated=1764576000123,bucket=17,remark=h 4\r\n",
		AttemptReply{Detail: routing.CacheHit, ETag: "d1", OriginUnixMillis: 1764576000123, PurgeGroup: 17},
		request.AttemptEnd{
			Detail:            routing.CacheHit,
			ETag:              "d1",
			OriginUnixMillis:  1764576000123,
			PurgeGroupPlusOne: 18,
		},
		4,
	},
	{
		"a1 served digest=d1,dated=7,remark=f 240000\r\n",
		AttemptReply{Detail: routing.Filled, ETag: "d1", OriginUnixMillis: 7, PurgeGroup: UnknownPurgeGroup},
		request.AttemptEnd{Detail: routing.Filled, ETag: "d1", OriginUnixMillis: 7},
		240000,
	},
	{
		"a1 served remark=j 0\r\n",
		AttemptReply{Detail: routing.JoinedFill, PurgeGroup: 3},
		request.AttemptEnd{Detail: routing.JoinedFill},
		0,
	},
	{"a1 served - 0\r\n", AttemptReply{PurgeGroup: UnknownPurgeGroup}, request.AttemptEnd{}, 0},
	{
		"a1 still_good digest=d1,dated=7,bucket=0,remark=s 0\r\n",
		AttemptReply{NotModified: true, Detail: routing.StaleHit, ETag: "d1", OriginUnixMillis: 7},
		request.AttemptEnd{
			NotModified:       true,
			Detail:            routing.StaleHit,
			ETag:              "d1",
			OriginUnixMillis:  7,
			PurgeGroupPlusOne: 1,
		},
		0,
	},
	{
		"a1 not_here - 0\r\n",
		AttemptReply{Result: routing.CacheMiss, Detail: routing.JoinedFill, ETag: "d1"},
		request.AttemptEnd{Result: routing.CacheMiss},
		0,
	},
	{
		"a1 overload - 0\r\n",
		AttemptReply{Result: routing.Overloaded},
		request.AttemptEnd{Result: routing.Overloaded},
		0,
	},
	{
		"a1 crashed - 0\r\n",
		AttemptReply{Result: routing.ServerError},
		request.AttemptEnd{Result: routing.ServerError},
		0,
	},
	{
		"a1 nobody - 0\r\n",
		AttemptReply{Result: routing.NotSent},
		request.AttemptEnd{Result: routing.NotSent},
		0,
	},
}

// Guards against an incompatible change for deployed caches. Every command must be encoded to the same bytes as by
// earlier versions.
func TestCommandsAreEncodedToTheGoldenBytes(t *testing.T) {
	full := testRequest()
	plain := &request.Request{ID: "9b1f03aa5c7e2d41", ClassName: "page", Object: "7f3a9c21e0b4d655", Part: "0"}
	action := routing.StartAttempt{
		RetentionRank: 2,
		MaxAgeSeconds: 0.0129,
		JoinFill:      true,
		CacheOnly:     true,
		ParentNoStore: true,
		Revalidate:    true,
	}
	attempt := Attempt{Request: full, TimeoutSeconds: 1.5, FillSource: "s-1", StartAttempt: action}
	for want, got := range map[string][]byte{
		goldenAttempt:      AppendAttempt(nil, attempt),
		goldenPlainAttempt: AppendAttempt(nil, Attempt{Request: plain, TimeoutSeconds: 0.25}),
		"undo a1\r\n":      AppendCancel(nil, "a1"),
		"ping c1\r\n":      AppendProbe(nil, "c1", false),
		"top c1\r\n":       AppendProbe(nil, "c1", true),
	} {
		assert.Equal(t, want, string(got))
	}
}

// Guards against an incompatible change for deployed routers. Every command that they send must be decoded to the same
// values as by earlier versions.
func TestGoldenCommandsAreDecoded(t *testing.T) {
	for line, want := range map[string]Command{
		goldenAttempt: {
			ID:             "9b1f03aa5c7e2d41",
			ClassName:      "page",
			Object:         "7f3a9c21e0b4d655",
			ObjectID:       0x7f3a9c21e0b4d655,
			Part:           "3",
			PartNumber:     3,
			TimeoutSeconds: 1.5,
			IdempotencyKey: "k1",
			FillSource:     "s-1",
			ETag:           "t1",
			BodyBytes:      2,
			RetentionRank:  2,
			MaxAgeSeconds:  0.012,
			JoinFill:       true,
			CacheOnly:      true,
			ParentNoStore:  true,
			Revalidate:     true,
		},
		goldenPlainAttempt: {
			ID:             "9b1f03aa5c7e2d41",
			ClassName:      "page",
			Object:         "7f3a9c21e0b4d655",
			ObjectID:       0x7f3a9c21e0b4d655,
			Part:           "0",
			TimeoutSeconds: 0.25,
		},
		"undo a1\r\n": {Kind: CommandCancel, ID: "a1"},
		"ping c1\r\n": {Kind: CommandProbe, ID: "c1"},
		"top c1\r\n":  {Kind: CommandProbeLoad, ID: "c1"},
	} {
		got, err := ParseCommand([]byte(line[:len(line)-len(LineEnd)]))
		require.NoError(t, err, line)
		assert.Equal(t, want, got, line)
	}
}

// Programs of different versions exchange the results of attempts. Every result must be encoded to the same bytes and
// decoded from them.
func TestResultsMatchTheGoldenBytes(t *testing.T) {
	for _, c := range goldenResults {
		c.encoded.BodyBytes = c.bytes
		assert.Equal(t, c.line, string(AppendAttemptReply(nil, "a1", c.encoded)))
		got, err := ParseResponse([]byte(c.line[:len(c.line)-len(LineEnd)]))
		require.NoError(t, err, c.line)
		assert.Equal(t, Response{ID: "a1", AttemptEnd: c.response, BodyBytes: c.bytes}, got, c.line)
	}
}

// Programs of different versions exchange replies to probes. Every reply must be encoded to the same bytes and decoded
// from them.
func TestProbeRepliesMatchTheGoldenBytes(t *testing.T) {
	const load = "inflight:7;util:0.61"
	assert.Equal(t, "c1 green report=inflight:7;util:0.61 0\r\n", string(AppendProbeReply(nil, "c1", true, load)))
	assert.EqualValues(t, "inflight:7;util:0.610", NewLoadReport(7, 0.61))
	assert.Equal(t, "c1 green - 0\r\n", string(AppendProbeReply(nil, "c1", true, "")))
	assert.Equal(t, "c1 red - 0\r\n", string(AppendProbeReply(nil, "c1", false, "")))

	got, err := ParseResponse([]byte("c1 green report=inflight:7;concurrent:8;util:0.61;load_share:0.5;x0:1;x1:2 0"))
	require.NoError(t, err)
	want := []routing.LoadMetric{
		{Name: "inflight", Value: 7},
		{Name: "inflight", Value: 8},
		{Name: "util", Value: 0.61},
		{Name: "util", Value: 0.5},
		{Name: "hit_share", Value: 1},
		{Name: "link_fill", Value: 2},
	}
	assert.Equal(t, Response{
		ID:           "c1",
		IsProbeReply: true,
		AttemptEnd:   request.AttemptEnd{Result: routing.Completed, LoadReport: want},
	}, got)
}
