package verify

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestLogLinesAreParsed: verdicts follow from the routers' logs; a value that is cut at a space would hide a state
// change. Values with and without quotes are read in full.
func TestLogLinesAreParsed(t *testing.T) {
	assert.Equal(t, map[string]string{"time": "x", "msg": "a b", "code": "c"}, logFields(`time=x msg="a b" code=c`))
}
