package cacheproto

import (
	"testing"

	"cairnfront/internal/request"
	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a result that is taken for another one, as the result decides whether a request may run again. Every
// word of the protocol must be parsed to its result and detail.
func TestResponsesAreParsed(t *testing.T) {
	for _, c := range []struct {
		line string
		want Response
	}{
		{
			"ab served digest=d1,dated=176,remark=f 7",
			Response{ID: "ab", BodyBytes: 7, AttemptEnd: request.AttemptEnd{
				Result:           routing.Completed,
				ETag:             "d1",
				Detail:           routing.Filled,
				OriginUnixMillis: 176,
			}},
		},
		{
			"ab still_good digest=d1,dated=176 0",
			Response{ID: "ab", AttemptEnd: request.AttemptEnd{
				Result:           routing.Completed,
				ETag:             "d1",
				NotModified:      true,
				OriginUnixMillis: 176,
			}},
		},
		{ // the response to a write has no ETag
			"ab served - 0",
			Response{ID: "ab", AttemptEnd: request.AttemptEnd{Result: routing.Completed}},
		},
		{
			"ab not_here remark=j 0",
			Response{ID: "ab", AttemptEnd: request.AttemptEnd{Result: routing.CacheMiss, Detail: routing.JoinedFill}},
		},
		{"ab overload - 0", Response{ID: "ab", AttemptEnd: request.AttemptEnd{Result: routing.Overloaded}}},
		{
			"ab crashed remark=zz 3",
			Response{ID: "ab", BodyBytes: 3, AttemptEnd: request.AttemptEnd{Result: routing.ServerError}},
		},
		{"ab nobody - 0", Response{ID: "ab", AttemptEnd: request.AttemptEnd{Result: routing.NotSent}}},
		{
			"c1 green report=inflight:7;x1:0.6;y:NaN 0",
			Response{ID: "c1", IsProbeReply: true, AttemptEnd: request.AttemptEnd{
				Result:     routing.Completed,
				LoadReport: []routing.LoadMetric{{Name: "inflight", Value: 7}, {Name: "link_fill", Value: 0.6}},
			}},
		},
		{
			"c1 red - 0",
			Response{ID: "c1", IsProbeReply: true, AttemptEnd: request.AttemptEnd{Result: routing.ServerError}},
		},
	} {
		got, err := ParseResponse([]byte(c.line))
		require.NoError(t, err, c.line)
		assert.Equal(t, c.want, got, c.line)
	}
}

// Guards against assigning a body to the wrong request: after a malformed line the boundaries of the following lines
// are unknown. Each malformed line must be reported.
func TestMalformedResponsesAreReported(t *testing.T) {
	for _, line := range []string{
		"",
		"ab",
		"ab served -",
		"ab what - 0",
		"ab served - -1",
		"ab served - 240001",
		"ab served - x",
		" served - 0",
		"ab still_good digest=d 4",
	} {
		_, err := ParseResponse([]byte(line))
		assert.ErrorIs(t, err, ErrMalformed, line)
	}
}

// Guards against differences between the writer and the parser of replies, which are separate code: the router would
// use another load than the cache reported. A written reply must be parsed to the same values.
func TestWrittenRepliesAreParsedTheSame(t *testing.T) {
	for _, reply := range []AttemptReply{
		{
			Result:           routing.Completed,
			Detail:           routing.CacheHit,
			ETag:             "t",
			OriginUnixMillis: 7,
			PurgeGroup:       12,
			BodyBytes:        4,
		},
		{
			Result:           routing.Completed,
			NotModified:      true,
			Detail:           routing.StaleHit,
			ETag:             "t",
			OriginUnixMillis: 7,
			PurgeGroup:       UnknownPurgeGroup,
		},
		{Result: routing.Overloaded, PurgeGroup: UnknownPurgeGroup},
		{Result: routing.CacheMiss, PurgeGroup: UnknownPurgeGroup},
		{Result: routing.ServerError, PurgeGroup: UnknownPurgeGroup},
	} {
		line := AppendAttemptReply(nil, "ab", reply)
		got, err := ParseResponse(line[:len(line)-len(LineEnd)])
		require.NoError(t, err, string(line))
		assert.Equal(t, Response{ID: "ab", BodyBytes: reply.BodyBytes, AttemptEnd: request.AttemptEnd{
			Result:            reply.Result,
			Detail:            reply.Detail,
			ETag:              reply.ETag,
			OriginUnixMillis:  reply.OriginUnixMillis,
			PurgeGroupPlusOne: (reply.PurgeGroup + 1) % (UnknownPurgeGroup + 1),
			NotModified:       reply.NotModified,
		}}, got)
	}
}

// FuzzParseResponse checks that no line causes a panic, and that an accepted response has an ID and a body within the
// limit.
func FuzzParseResponse(f *testing.F) {
	f.Add([]byte("ab served digest=d1,dated=176,remark=f,report=util:0.5;x 7"))
	f.Fuzz(func(t *testing.T, line []byte) {
		r, err := ParseResponse(line)
		if err == nil && (r.ID == "" || r.BodyBytes < 0 || r.BodyBytes > MaxObjectBytes) {
			t.Fatalf("%+v", r)
		}
	})
}
