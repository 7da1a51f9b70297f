package cluster

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestReusablePortsAreDrawnOnce: a port that a process gave back for its restart is not given to another one.
func TestReusablePortsAreDrawnOnce(t *testing.T) {
	drawn := map[int]bool{}
	for range 1000 {
		drawn[randomReusablePort()] = true
	}
	assert.Len(t, drawn, 1000)
}
