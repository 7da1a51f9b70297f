package simadapter

import (
	"bytes"
	"os"
	"testing"

	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestRecordedSessionGivesTheSameBytes replays a recorded session of two routers, with every kind of event, to the real
// decision module. The reply must equal the recorded one byte for byte.
func TestRecordedSessionGivesTheSameBytes(t *testing.T) {
	in, err := os.Open("testdata/session.in")
	require.NoError(t, err)
	defer func() { assert.NoError(t, in.Close()) }()
	want, err := os.ReadFile("testdata/session.out")
	require.NoError(t, err)

	var out bytes.Buffer
	newRouter := func(seed uint64, settings routing.Settings) routing.Decider { return routing.New(seed, settings) }
	require.NoError(t, Serve(in, &out, newRouter))

	wantLines, gotLines := bytes.Split(want, []byte("\n")), bytes.Split(out.Bytes(), []byte("\n"))
	for i := range min(len(wantLines), len(gotLines)) {
		require.Equal(t, string(wantLines[i]), string(gotLines[i]), "line %d", i+1)
	}
	assert.Len(t, gotLines, len(wantLines))
}
