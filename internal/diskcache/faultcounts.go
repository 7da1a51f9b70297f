package diskcache

import "encoding/json"

// FaultCounts is a number of faults by their code.
type FaultCounts map[FaultCode]int

// faultCodeKeys are the codes as keys of JSON, which readers of the tools' output rely on. They differ from the codes'
// texts.
var faultCodeKeys = [...]string{
	CodeBadHeader:      "bad-head",
	CodeBadBody:        "bad-body",
	CodeTruncated:      "cut-off",
	CodeMissingSegment: "missing-segment",
	CodeBadSegment:     "bad-segment",
	CodeBadPurgeLog:    "bad-notices",
	CodeBadSnapshot:    "bad-snapshot",
	CodeReadFailed:     "read-failed",
	CodeDiskFull:       "disk-full",
	CodeWriteFailed:    "write-failed",
	CodeOtherFormat:    "other-format",
}

// MarshalJSON encodes the counts as an object with a key for each code.
func (c FaultCounts) MarshalJSON() ([]byte, error) {
	counts := make(map[string]int, len(c))
	for code, count := range c {
		counts[faultCodeKeys[code]] = count
	}
	return json.Marshal(counts)
}
