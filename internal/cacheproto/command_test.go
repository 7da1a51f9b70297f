package cacheproto

import (
	"testing"

	"cairnfront/internal/request"
	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// testRequest returns a request with every field that is sent in a command.
func testRequest() *request.Request {
	return &request.Request{
		ID:             "9b1f03aa5c7e2d41",
		ClassName:      "page",
		Object:         "7f3a9c21e0b4d655",
		Part:           "3",
		IdempotencyKey: "k1",
		ETag:           "t1",
		Body:           &request.Body{Bytes: []byte("ab")},
	}
}

// testOptions has every option that is sent in a command.
var testOptions = routing.StartAttempt{
	RetentionRank: 2,
	MaxAgeSeconds: 0.012,
	JoinFill:      true,
	CacheOnly:     true,
	ParentNoStore: true,
	Revalidate:    true,
}

// Guards against a field that is missing from a command: the cache would use its default, such as another maximum age
// or retention rank. Every field of an attempt must be written.
func TestAttemptIsWrittenInFull(t *testing.T) {
	r := testRequest()
	options := testOptions
	options.MaxAgeSeconds = 0.0129
	attempt := Attempt{Request: r, TimeoutSeconds: 1.5004, FillSource: "s-1", StartAttempt: options}
	assert.Equal(t, goldenAttempt, string(AppendAttempt(nil, attempt)))

	r.Body = nil
	r.IdempotencyKey = ""
	r.ETag = ""
	shortest := Attempt{Request: r, TimeoutSeconds: 1e-5, StartAttempt: routing.StartAttempt{MaxAgeSeconds: 2e-6}}
	assert.Equal(t, "do 9b1f03aa5c7e2d41 profile=page,thing=7f3a9c21e0b4d655,nth=3,max=1,accept=1 0\r\n",
		string(AppendAttempt(nil, shortest)), "a positive timeout or age is never written as 0")

	b := AppendCancel(nil, "ab")
	b = AppendProbe(b, "c1", false)
	b = AppendProbe(b, "c2", true)
	assert.Equal(t, "undo ab\r\nping c1\r\ntop c2\r\n", string(b))
}

// Guards against differences between the writer and the parser of commands, which are separate code: the edge cache
// would run another command than the router sent. A written command must be parsed to the same values.
func TestWrittenAttemptIsParsedTheSame(t *testing.T) {
	r := testRequest()
	attempt := Attempt{Request: r, TimeoutSeconds: 1.5, FillSource: "s-1", StartAttempt: testOptions}
	line := AppendAttempt(nil, attempt)
	got, err := ParseCommand(line[:len(line)-len(LineEnd)])
	require.NoError(t, err)
	assert.Equal(t, Command{
		ID:             string(r.ID),
		ClassName:      "page",
		Object:         r.Object,
		ObjectID:       0x7f3a9c21e0b4d655,
		Part:           "3",
		PartNumber:     3,
		TimeoutSeconds: 1.5,
		IdempotencyKey: "k1",
		FillSource:     "s-1",
		ETag:           "t1",
		RetentionRank:  2,
		MaxAgeSeconds:  0.012,
		JoinFill:       true,
		CacheOnly:      true,
		ParentNoStore:  true,
		Revalidate:     true,
		BodyBytes:      2,
	}, got)
}

// Guards against taking a body for a command: after a malformed line the boundaries of the following lines are unknown.
// Each malformed line must be reported with its reason.
func TestMalformedCommandsAreReported(t *testing.T) {
	const valid = "do a profile=p,thing=7f3a9c21e0b4d655,nth=1"
	for line, wantText := range map[string]string{
		"go a - 0":                             "unknown command",
		valid + " 0":                           "max is missing",
		"do a profile=p,thing=x,nth=1,max=5 0": "thing=x",
		valid + ",max=5,max=6 0":               "twice",
		valid + ",max=5,shelf=4 0":             "shelf=4",
		valid + ",max=5,hints=ride+other 0":    "hints=ride+other",
		valid + ",max=5,other 0":               "other",
		"do a - 48001":                         "bad length",
		"undo":                                 "words",
		"undo ":                                "bad ID",
	} {
		_, err := ParseCommand([]byte(line))
		require.ErrorIs(t, err, ErrMalformed, line)
		assert.ErrorContains(t, err, wantText, line)
	}
}

// FuzzParseCommand checks that no line causes a panic, and that an accepted command has an ID and lengths within their
// limits.
func FuzzParseCommand(f *testing.F) {
	f.Add([]byte("do 9b profile=page,thing=7f3a9c21e0b4d655,nth=3,max=1500,hints=ride+update,accept=9 2"))
	f.Add([]byte("undo 9b"))
	f.Fuzz(func(t *testing.T, line []byte) {
		c, err := ParseCommand(line)
		if err != nil {
			return
		}
		if c.ID == "" || c.BodyBytes < 0 || c.BodyBytes > MaxRequestBodyBytes {
			t.Fatalf("%+v", c)
		}
		if c.RetentionRank > maxRetentionRank || c.TimeoutSeconds < 0 || c.MaxAgeSeconds < 0 {
			t.Fatalf("%+v", c)
		}
	})
}
