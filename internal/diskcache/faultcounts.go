package diskcache

import "encoding/json"

// FaultCounts maps each fault code to the number of faults.
type FaultCounts map[FaultCode]int

// faultCodeKeys are the JSON keys of the fault codes in the tools' output. Scripts rely on them; they differ from the
// texts that FaultCode.String returns.
var faultCodeKeys = [...]string{
	CodeBadHeader:         "bad-head",
	CodeBadBody:           "bad-body",
	CodeTruncated:         "cut-off",
	CodeMissingSegment:    "missing-segment",
	CodeBadSegment:        "bad-segment",
	CodeBadPurgeLog:       "bad-notices",
	CodeBadSnapshot:       "bad-snapshot",
	CodeReadFailed:        "read-failed",
	CodeDiskFull:          "disk-full",
	CodeWriteFailed:       "write-failed",
	CodeUnsupportedFormat: "other-format",
}

// MarshalJSON encodes the counts as a JSON object with one key per fault code.
func (c FaultCounts) MarshalJSON() ([]byte, error) {
	counts := make(map[string]int, len(c))
	for code, count := range c {
		counts[faultCodeKeys[code]] = count
	}
	return json.Marshal(counts)
}
