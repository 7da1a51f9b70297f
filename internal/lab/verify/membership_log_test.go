package verify

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestLogLinesAreParsed: the checks depend on the routers' logs, and a value that is truncated at a space would hide a
// state change. Values with and without quotes are read completely.
func TestLogLinesAreParsed(t *testing.T) {
	assert.Equal(t, map[string]string{"time": "x", "msg": "a b", "code": "c"}, logFields(`time=x msg="a b" code=c`))
}
