package cacheproto

import (
	"testing"

	"cairnfront/internal/request"
	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
)

func TestDoGoesOutWhole(t *testing.T) {
	x := &request.Request{ID: "9b1f03aa5c7e2d41", ClassName: "page", Object: "7f3a9c21e0b4d655", Part: "3", IdempotencyKey: "k1", ETag: "t1",
		Body: &request.Body{Bytes: []byte("ab")}}
	assert.Equal(t, "do 9b1f03aa5c7e2d41 profile=page,thing=7f3a9c21e0b4d655,nth=3,max=1500,replay=k1,parent=s-1,shelf=2,"+
		"accept=12,hints=ride+have-only+through+update,got=t1 2\r\n",
		string(AppendAttempt(nil, Attempt{Request: x, TimeoutSeconds: 1.5004, FillSource: "s-1", StartAttempt: routing.StartAttempt{RetentionRank: 2, MaxAgeSeconds: 0.0129, JoinFill: true,
			CacheOnly: true, ParentNoStore: true, Revalidate: true}})))
	x.Body, x.IdempotencyKey, x.ETag = nil, "", ""
	assert.Equal(t, "do 9b1f03aa5c7e2d41 profile=page,thing=7f3a9c21e0b4d655,nth=3,max=1,accept=1 0\r\n",
		string(AppendAttempt(nil, Attempt{Request: x, TimeoutSeconds: 1e-5, StartAttempt: routing.StartAttempt{MaxAgeSeconds: 2e-6}})), "no time and no age becomes 0")
	assert.Equal(t, "undo ab\r\nping c1\r\ntop c2\r\n",
		string(AppendProbe(AppendProbe(AppendCancel(nil, "ab"), "c1", false), "c2", true)))
}

func TestAnswersAreRead(t *testing.T) {
	for text, want := range map[string]Response{
		"ab served digest=d1,dated=176,remark=f 7": {ID: "ab", BodyBytes: 7, AttemptEnd: request.AttemptEnd{Result: routing.Completed, ETag: "d1", Detail: routing.Filled}},
		"ab still_good digest=d1,dated=176 0":      {ID: "ab", AttemptEnd: request.AttemptEnd{Result: routing.Completed, ETag: "d1", NotModified: true}},
		"ab served - 0":                            {ID: "ab", AttemptEnd: request.AttemptEnd{Result: routing.Completed}}, // a write's has no digest
		"ab not_here remark=j 0":                   {ID: "ab", AttemptEnd: request.AttemptEnd{Result: routing.CacheMiss, Detail: routing.JoinedFill}},
		"ab overload - 0":                          {ID: "ab", AttemptEnd: request.AttemptEnd{Result: routing.Overloaded}},
		"ab crashed remark=zz 3":                   {ID: "ab", BodyBytes: 3, AttemptEnd: request.AttemptEnd{Result: routing.ServerError}},
		"ab nobody - 0":                            {ID: "ab", AttemptEnd: request.AttemptEnd{Result: routing.NotSent}},
		"c1 green report=inflight:7;x1:0.6;y:NaN 0": {ID: "c1", IsProbeReply: true, AttemptEnd: request.AttemptEnd{Result: routing.Completed,
			LoadReport: []routing.LoadMetric{{Name: "inflight", Value: 7}, {Name: "link_fill", Value: 0.6}}}},
		"c1 red - 0": {ID: "c1", IsProbeReply: true, AttemptEnd: request.AttemptEnd{Result: routing.ServerError}},
	} {
		got, err := ParseResponse([]byte(text))
		assert.NoError(t, err, text)
		if want.ETag != "" {
			want.OriginUnixMillis = 176
		}
		assert.Equal(t, want, got, text)
	}
	for _, text := range []string{"", "ab", "ab served -", "ab what - 0", "ab served - -1", "ab served - 240001",
		"ab served - x", " served - 0", "ab still_good digest=d 4"} {
		_, err := ParseResponse([]byte(text))
		assert.Error(t, err, text)
	}
}

func FuzzParseAnswer(f *testing.F) {
	f.Add([]byte("ab served digest=d1,dated=176,remark=f,report=util:0.5;x 7"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if a, err := ParseResponse(b); err == nil && (a.ID == "" || a.BodyBytes < 0 || a.BodyBytes > MaxObjectBytes) {
			t.Fatalf("%+v", a)
		}
	})
}

// What a router writes a box reads, and the other way round.
func TestBothSidesAgree(t *testing.T) {
	x := &request.Request{ID: "9b1f03aa5c7e2d41", ClassName: "page", Object: "7f3a9c21e0b4d655", Part: "3", IdempotencyKey: "k1", ETag: "t1", Body: &request.Body{Bytes: []byte("hi")}}
	hop := routing.StartAttempt{RetentionRank: 2, MaxAgeSeconds: 0.012, JoinFill: true, CacheOnly: true, ParentNoStore: true, Revalidate: true}
	text := AppendAttempt(nil, Attempt{Request: x, TimeoutSeconds: 1.5, FillSource: "s-1", StartAttempt: hop})
	a, err := ParseCommand(text[:len(text)-2])
	assert.NoError(t, err)
	assert.Equal(t, Command{ID: x.ID, ClassName: "page", Object: x.Object, ObjectID: 0x7f3a9c21e0b4d655, Part: "3", PartNumber: 3, TimeoutSeconds: 1.5, IdempotencyKey: "k1",
		FillSource: "s-1", ETag: "t1", StartAttempt: hop, BodyBytes: 2}, a)
	for _, r := range []AttemptReply{{Result: routing.Completed, Detail: routing.CacheHit, ETag: "t", OriginUnixMillis: 7, PurgeGroup: 12, BodyBytes: 4},
		{Result: routing.Completed, NotModified: true, Detail: routing.StaleHit, ETag: "t", OriginUnixMillis: 7, PurgeGroup: UnknownPurgeGroup}, {Result: routing.Overloaded, PurgeGroup: UnknownPurgeGroup},
		{Result: routing.CacheMiss, PurgeGroup: UnknownPurgeGroup}, {Result: routing.ServerError, PurgeGroup: UnknownPurgeGroup}} {
		text := AppendAttemptReply(nil, "ab", r)
		got, err := ParseResponse(text[:len(text)-2])
		assert.NoError(t, err, string(text))
		group := (r.PurgeGroup + 1) % (UnknownPurgeGroup + 1)
		assert.Equal(t, Response{ID: "ab", BodyBytes: r.BodyBytes, AttemptEnd: request.AttemptEnd{Result: r.Result, Detail: r.Detail, ETag: r.ETag, OriginUnixMillis: r.OriginUnixMillis, PurgeGroupPlusOne: group, NotModified: r.NotModified}}, got)
	}
}

func TestBadCommandsAreNamed(t *testing.T) {
	for text, want := range map[string]string{"go a - 0": "unknown command", "do a profile=p,thing=7f3a9c21e0b4d655,nth=1 0": "max is missing",
		"do a profile=p,thing=x,nth=1,max=5 0": "thing=x", "do a profile=p,thing=7f3a9c21e0b4d655,nth=1,max=5,max=6 0": "twice",
		"do a profile=p,thing=7f3a9c21e0b4d655,nth=1,max=5,shelf=4 0": "shelf=4", "do a - 48001": "bad length", "undo": "words"} {
		_, err := ParseCommand([]byte(text))
		assert.ErrorContains(t, err, want, text)
	}
}

func FuzzParseAsked(f *testing.F) {
	f.Add([]byte("do 9b profile=page,thing=7f3a9c21e0b4d655,nth=3,max=1500,hints=ride+update,accept=9 2"))
	f.Add([]byte("undo 9b"))
	f.Fuzz(func(t *testing.T, b []byte) {
		a, err := ParseCommand(b)
		if err == nil && (a.ID == "" || a.BodyBytes < 0 || a.BodyBytes > MaxRequestBodyBytes || a.RetentionRank > 3 || a.TimeoutSeconds < 0 || a.MaxAgeSeconds < 0) {
			t.Fatalf("%+v", a)
		}
	})
}
