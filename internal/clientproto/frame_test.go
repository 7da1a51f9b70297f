package clientproto

import (
	"strings"
	"testing"

	"cairnfront/internal/request"

	"github.com/stretchr/testify/assert"
)

var good = []Field{{"op", "page"}, {"call", "9b1f03aa5c7e2d41"}, {"ttl", "1500"}, {"dedupe", "k1"}, {"row", "7F3a9c21e0b4d655"},
	{"seg", "3"}, {"bucket", "17"}, {"heap", "412.5"}, {"etag", "4be0"}, {"later", "what"}}

func TestTxnIsRead(t *testing.T) {
	a, err := ParseRequest(append(AppendFields(nil, good...), "body"...))
	assert.NoError(t, err)
	assert.Equal(t, Request{TimeoutSeconds: 1.5, RawBody: []byte("body"), Request: request.Request{ID: "9b1f03aa5c7e2d41", ClassName: "page", IdempotencyKey: "k1",
		Object: "7F3a9c21e0b4d655", Part: "3", PartNumber: 3, PurgeGroup: 17, SizeKB: 412.5, ETag: "4be0"}}, a)
}

func TestUnusableTxnsAreNamed(t *testing.T) {
	for i, bad := range map[int][]string{0: {""}, 1: {"", "12", "9b1f03aa5c7e2d4x"}, 2: {"0", "-1", "x", "4294967296", ""},
		3: {"", "a,b", "a b", "a\r\nb", "a=b", strings.Repeat("x", 257)}, 4: {"xyz"}, 5: {"", "-1", "1.5"}, 6: {"256", "x"},
		7: {"x", "NaN", "-1", "1e99"}, 8: {"a\nb", ""}} {
		for _, v := range bad {
			fields := append([]Field{}, good...)
			fields[i].Value = v
			_, err := ParseRequest(AppendFields(nil, fields...))
			assert.ErrorContains(t, err, fields[i].Name, v)
		}
	}
	for _, gone := range []int{0, 1, 2, 4, 5} {
		_, err := ParseRequest(AppendFields(nil, append(append([]Field{}, good[:gone]...), good[gone+1:]...)...))
		assert.ErrorContains(t, err, good[gone].Name)
	}
	_, err := ParseRequest(AppendFields(nil, append(good, good[0])...))
	assert.ErrorContains(t, err, "op", "twice")
	_, err = ParseRequest(AppendFields(nil, append(good, Field{strings.Repeat("n", 255), "x"})...))
	assert.NoError(t, err, "a name may be as long as its size can say")
	_, err = ParseRequest(append(AppendFields(nil, good...), make([]byte, MaxBodyBytes+1)...))
	assert.ErrorContains(t, err, "body")
	whole := AppendFields(nil, good...)
	for n := range whole {
		_, err := ParseRequest(whole[:n])
		assert.Error(t, err, "cut at %d", n)
	}
}

func TestHeadsHaveBounds(t *testing.T) {
	h, err := ParseHeader(AppendHeader(nil, TypeRequest, 7, 100))
	assert.NoError(t, err)
	assert.Equal(t, Header{TypeRequest, 7, 100}, h)
	for _, size := range []int{-1, 262140} {
		_, err := ParseHeader(AppendHeader(nil, TypeRequest, 7, size))
		assert.ErrorContains(t, err, "length")
	}
}

func TestAnswersAreWritten(t *testing.T) {
	body := &request.Body{Bytes: []byte("abc")}
	for want, a := range map[string]request.Response{
		"\x00\x00\x00\x14\x65\x00\x00\x00\x07\x01\x01\x04etag\x00\x02t1":       {ETag: "t1", Body: body},
		"\x00\x00\x00\x11\x65\x00\x00\x00\x07\x01\x01\x06notmod\x00\x011":      {NotModified: true},
		"\x00\x00\x00\x13\x65\x00\x00\x00\x07\x00\x01\x08pushback\x00\x01\x32": {Result: request.Rejected, RetryAfterSeconds: 0.0011},
		"\x00\x00\x00\x07\x65\x00\x00\x00\x07\x09\x00":                         {Result: request.Aborted, RetryAfterSeconds: 1},
	} {
		got := AppendResponse(nil, 7, a)
		head, err := ParseHeader(got)
		assert.NoError(t, err)
		assert.Equal(t, len(got)-HeaderSize+a.Body.Len(), head.PayloadBytes, "the length counts the body that follows")
		assert.Equal(t, want[4:], string(got[4:]))
	}
	assert.Equal(t, "\x00\x00\x00\x07\x6f\x00\x00\x00\x03\x01\x00", string(AppendReadinessReply(nil, 3, true)))
	assert.Equal(t, "\x00\x00\x00\x07\x6f\x00\x00\x00\x03\x00\x00", string(AppendReadinessReply(nil, 3, false)))
}

func FuzzParseTxn(f *testing.F) {
	f.Add(append(AppendFields(nil, good...), "body"...))
	f.Fuzz(func(t *testing.T, b []byte) {
		if a, err := ParseRequest(b); err == nil && (a.TimeoutSeconds <= 0 || len(a.ID) != 16 || a.SizeKB < 0 || len(a.RawBody) > MaxBodyBytes) {
			t.Fatalf("%+v", a)
		}
	})
}
