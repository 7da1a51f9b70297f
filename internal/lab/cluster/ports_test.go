package cluster

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestReusablePortsAreDrawnOnce: a process that restarts takes its port again. If another process had it meanwhile, the
// restart fails for a reason that the scenario did not cause. No port is drawn twice.
func TestReusablePortsAreDrawnOnce(t *testing.T) {
	drawn := map[int]bool{}
	for range 1000 {
		drawn[randomReusablePort()] = true
	}
	assert.Len(t, drawn, 1000)
}
