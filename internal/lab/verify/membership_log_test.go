package verify

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestLogLinesAreParsed holds that values with and without quotes are read.
func TestLogLinesAreParsed(t *testing.T) {
	assert.Equal(t, map[string]string{"time": "x", "msg": "a b", "code": "c"}, logFields(`time=x msg="a b" code=c`))
}
