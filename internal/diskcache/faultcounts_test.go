package diskcache

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestFaultCodeTextsAndJSONKeys checks the texts of fault codes in log lines and counters, and their JSON keys.
func TestFaultCodeTextsAndJSONKeys(t *testing.T) {
	texts := []string{
		"bad_header", "bad_body", "truncated", "missing_segment", "bad_segment", "bad_purge_log", "bad_snapshot",
		"read_failed", "disk_full", "write_failed", "unsupported_format",
	}
	counts := FaultCounts{}
	for i, want := range texts {
		code := FaultCode(i + 1)
		assert.Equal(t, want, code.String())
		counts[code] = i + 1
	}
	assert.Len(t, faultCodeTexts, len(texts)+1)
	assert.Len(t, faultCodeKeys, len(texts)+1)
	encoded, err := json.Marshal(struct{ FaultsByCode FaultCounts }{counts})
	require.NoError(t, err)
	//nolint:testifylint // the bytes count, not only what they mean
	assert.Equal(t, `{"FaultsByCode":{"bad-body":2,"bad-head":1,"bad-notices":6,"bad-segment":5,"bad-snapshot":7,`+
		`"cut-off":3,"disk-full":9,"missing-segment":4,"other-format":11,"read-failed":8,"write-failed":10}}`,
		string(encoded))
	encoded, err = json.Marshal(FaultCounts{})
	require.NoError(t, err)
	assert.Equal(t, "{}", string(encoded))
}
